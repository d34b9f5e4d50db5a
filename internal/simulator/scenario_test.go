package simulator

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"brasskeel/internal/config"
	"brasskeel/internal/protocol"
)

// TestScenarios runs the files in testdata. A command that leaves a rule
// broken says so in its output and fails the test, whatever the file expects.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		r := &runner{t: t}
		datadriven.RunTest(t, path, r.run)
	})
}

// TestLongScenarios runs the files in testdata_long, which take minutes, if SCENARIO_LONG is
// set.
func TestLongScenarios(t *testing.T) {
	if os.Getenv("SCENARIO_LONG") == "" {
		t.Skip("set SCENARIO_LONG to run them")
	}
	datadriven.Walk(t, "testdata_long", func(t *testing.T, path string) {
		r := &runner{t: t}
		datadriven.RunTest(t, path, r.run)
	})
}

type runner struct {
	t *testing.T
	c *Cluster
	// Within a moment no time may pass: what is asked then is answered later.
	inMoment bool
	heard    []string
}

func (r *runner) run(t *testing.T, d *datadriven.TestData) string {
	if d.Cmd != "start" && r.c == nil {
		d.Fatalf(t, "the first command must be start")
	}
	out := r.command(t, d)
	if broken := r.c.Broken(); len(broken) > 0 {
		t.Errorf("%s: rules broken:\n%s", d.Pos, strings.Join(broken, "\n"))
	}
	return out
}

func arg(d *datadriven.TestData, key, otherwise string) string {
	for _, a := range d.CmdArgs {
		if a.Key == key {
			if len(a.Vals) == 0 {
				return "true"
			}
			return strings.Join(a.Vals, ",")
		}
	}
	return otherwise
}

func number(t *testing.T, d *datadriven.TestData, key, otherwise string) float64 {
	v, err := strconv.ParseFloat(arg(d, key, otherwise), 64)
	if err != nil {
		d.Fatalf(t, "%s: %v", key, err)
	}
	return v
}

func duration(t *testing.T, d *datadriven.TestData, text string) time.Duration {
	v, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return v
}

// first is the first argument, which has no key.
func first(t *testing.T, d *datadriven.TestData) string {
	if len(d.CmdArgs) == 0 {
		d.Fatalf(t, "%s needs an argument", d.Cmd)
	}
	return d.CmdArgs[0].Key
}

func (r *runner) node(t *testing.T, d *datadriven.TestData, name string) int {
	switch name {
	case "leader":
		i := r.c.Leader()
		if i < 0 {
			d.Fatalf(t, "nobody leads")
		}
		return i
	case "follower":
		for i, n := range r.c.nodes {
			if i != r.c.Leader() && n.core != nil {
				return i
			}
		}
		d.Fatalf(t, "nobody follows")
	}
	for i, n := range r.c.nodes {
		if n.name == name {
			return i
		}
	}
	d.Fatalf(t, "no node %q", name)
	return -1
}

// host finds a machine by name, or the one that runs "job/task".
func (r *runner) host(t *testing.T, d *datadriven.TestData, name string) *host {
	if job, task, ok := strings.Cut(name, "/"); ok {
		i, _ := strconv.Atoi(task)
		if j := r.c.jobs[job]; j != nil {
			for w := range j.on[i] {
				return w.host
			}
		}
		d.Fatalf(t, "%s is on no machine", name)
	}
	for _, h := range r.c.cloud.hosts {
		if h.name == name {
			return h
		}
	}
	d.Fatalf(t, "no machine %q", name)
	return nil
}

// ask sends a request and lets time pass until something has come of it. In a moment
// the answer is kept for the command "heard" instead.
func (r *runner) ask(d *datadriven.TestData, send func(done func(out string))) string {
	if r.inMoment {
		send(func(out string) {
			r.heard = append(r.heard, strings.TrimSpace(d.Cmd+" "+d.CmdArgs[0].Key)+": "+strings.TrimSpace(out))
		})
		return ""
	}
	var out string
	done := false
	send(func(o string) { out, done = strings.TrimSpace(o), true })
	for i := 0; !done && i < 6000; i++ {
		r.c.Advance(time.Millisecond)
	}
	return out
}

// moments are the names of those that "when" knows.
var moments = map[string]moment{"write": onWrite, "answer-lost": onLostAnswer, "leader": onLeader, "report": onReport, "done": onDone}

// when before|after MOMENT [WHAT] [in=D] [passes=N], with commands as input, one a line: they
// run once, after N such moments,
// right before or after it, or D later. MOMENT is write KEYPREFIX, answer-lost, leader,
// report NODE, report NODE/MACHINE or done JOB.
func (r *runner) when(t *testing.T, d *datadriven.TestData) string {
	if len(d.CmdArgs) < 2 || moments[d.CmdArgs[1].Key] == 0 || d.CmdArgs[0].Key != "before" && d.CmdArgs[0].Key != "after" {
		d.Fatalf(t, "when needs before or after, and a moment")
	}
	m, what := moments[d.CmdArgs[1].Key], ""
	if len(d.CmdArgs) > 2 && d.CmdArgs[2].Key != "in" && d.CmdArgs[2].Key != "passes" {
		what = d.CmdArgs[2].Key
	}
	if m == onReport && what != "" {
		node, machine, of := strings.Cut(what, "/")
		if what = r.c.nodes[r.node(t, d, node)].name; of {
			what += "/" + machine
		}
	}
	var commands []*datadriven.TestData
	for line := range strings.Lines(d.Input) {
		cmd, args, err := datadriven.ParseLine(line)
		if err != nil || cmd == "" || cmd == "advance" || cmd == "unanswered" {
			d.Fatalf(t, "%q can't run in a moment", line)
		}
		commands = append(commands, &datadriven.TestData{Pos: d.Pos, Cmd: cmd, CmdArgs: args})
	}
	run := func() {
		r.inMoment = true
		for _, k := range commands {
			if out := r.command(t, k); out != "" {
				r.heard = append(r.heard, k.Cmd+": "+out)
			}
		}
		r.inMoment = false
	}
	in, passes := duration(t, d, arg(d, "in", "0s")), int(number(t, d, "passes", "0"))
	r.c.whenNext(m, what, d.CmdArgs[0].Key == "before", passes, func() {
		if in > 0 {
			r.c.after(in, run)
			return
		}
		run()
	})
	return ""
}

func (r *runner) command(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "start":
		o := Options{Seed: uint64(number(t, d, "seed", "1")), Nodes: int(number(t, d, "nodes", "3")),
			Machines: int(number(t, d, "machines", "4")), Capacity: int(number(t, d, "capacity", "20")),
			Zones: strings.Split(arg(d, "zones", "a"), ","), Fleet: arg(d, "fleet", "") != "",
			Shards: int(number(t, d, "shards", "0")), Headroom: number(t, d, "headroom", "0"),
			Limit: number(t, d, "limit", "0"), Cost: duration(t, d, arg(d, "cost", "0s"))}
		if arg(d, "ceiling", "") != "" {
			// ceiling=SHARE [queue=SECONDS] [trade=SECONDS] [moves [margin=N]]: balance is on.
			o.Balance = &config.Balance{CeilingShare: number(t, d, "ceiling", "0.5"),
				FetchQueueSeconds: number(t, d, "queue", "20"), TradeSeconds: number(t, d, "trade", "2"),
				Moves: arg(d, "moves", "") != "", MoveMargin: number(t, d, "margin", "1.5")}
		}
		if os.Getenv("SCENARIO_LOG") != "" {
			o.Log = os.Stderr
		}
		o.Digest = newDigest(t)
		r.c = New(o)
		return ""
	case "advance":
		r.c.Advance(duration(t, d, first(t, d)))
		return ""
	case "submit":
		return r.submit(t, d)
	case "poll":
		node := r.node(t, d, arg(d, "node", "leader"))
		return r.ask(d, func(done func(string)) {
			r.c.Poll(node, first(t, d), func(status int, text string) {
				if arg(d, "short", "") != "" { // without the counts
					text, _, _ = strings.Cut(text, " ")
				}
				done(fmt.Sprintf("%d %s", status, text))
			})
		})
	case "cancel":
		node := r.node(t, d, arg(d, "node", "leader"))
		return r.ask(d, func(done func(string)) {
			r.c.CancelJob(node, first(t, d), func(status int, state string) { done(fmt.Sprintf("%d %s", status, state)) })
		})
	case "cancel_now":
		// cancel_now COUNT [hang=D]: jobs that run and have long to go.
		count, _ := strconv.Atoi(first(t, d))
		r.c.CancelNow(count, duration(t, d, arg(d, "hang", "0s")))
		return ""
	case "cancel_at_end":
		// cancel_at_end SHARE, of the jobs that end from now on.
		share, err := strconv.ParseFloat(first(t, d), 64)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		r.c.endShare = share
		return ""
	case "odd_requests":
		// odd_requests COUNT every=D
		count, _ := strconv.Atoi(first(t, d))
		every := duration(t, d, arg(d, "every", "500ms"))
		for i := range count {
			r.c.after(time.Duration(i)*every, r.c.OddRequests)
		}
		return ""
	case "close_looks":
		r.c.closeLooks = first(t, d) == "on"
		return ""
	case "changes":
		// changes COUNT every=D [down=D]: the leader crashes that often, and is back after down.
		count, _ := strconv.Atoi(first(t, d))
		r.c.ChangeLeaders(count, duration(t, d, arg(d, "every", "12s")), duration(t, d, arg(d, "down", "300ms")))
		return ""
	case "calm":
		r.c.Calm()
		return ""
	case "when":
		return r.when(t, d)
	case "heard":
		// What came of the commands that ran in moments since the last time.
		out := strings.Join(r.heard, "\n")
		r.heard = nil
		return out
	case "request":
		// request METHOD TARGET, with the body as input.
		if len(d.CmdArgs) < 2 {
			d.Fatalf(t, "request needs a method and a target")
		}
		node := r.node(t, d, arg(d, "node", "leader"))
		return r.ask(d, func(done func(string)) {
			r.c.user(node, d.CmdArgs[0].Key, d.CmdArgs[1].Key, []byte(d.Input), func(status int, body []byte) {
				done(fmt.Sprintf("%d %s", status, body))
			})
		})
	case "crash":
		if first(t, d) == "all" {
			for _, n := range r.c.nodes {
				n.crash()
			}
			return ""
		}
		r.c.nodes[r.node(t, d, first(t, d))].crash()
		return ""
	case "restart":
		for _, n := range r.c.nodes {
			if n.core == nil && (first(t, d) == "all" || n.name == first(t, d)) {
				n.start()
			}
		}
		return ""
	case "silence":
		// silence NODE: its machine has lost power. It is back with restart.
		n := r.c.nodes[r.node(t, d, first(t, d))]
		n.crash()
		n.silent = true
		return n.name
	case "drain":
		n := r.c.nodes[r.node(t, d, first(t, d))]
		n.run(func() { n.apply(n.core.Drain(r.c.now)) })
		return n.name
	case "drained":
		// drained NODE: whether it neither leads nor serves workers.
		return fmt.Sprint(r.c.nodes[r.node(t, d, first(t, d))].core.Drained())
	case "setting":
		// setting shards=N: of controllers that start from now on; 0 for none.
		r.c.setShards(int(number(t, d, "shards", "0")))
		return ""
	case "surges":
		// surges TEAM share=S: from now on no task of the team's may go above its ceiling
		// while others have room; share=0 ends it.
		r.c.Ceiling(first(t, d), number(t, d, "share", "0"))
		return ""
	case "moved":
		// How many tasks of all jobs are on record as moved, and how often tasks were stopped.
		return r.c.Moved()
	case "shares":
		return r.c.Shares(first(t, d))
	case "shards":
		return strings.Join(r.c.ShardOwners(), "\n")
	case "owners":
		return strings.Join(r.c.Owners(), "\n")
	case "gaps":
		// gaps [reset]: the longest times between two answers to a worker.
		if len(d.CmdArgs) > 0 && d.CmdArgs[0].Key == "reset" {
			r.c.gaps.Reset()
			return ""
		}
		return r.c.Gaps()
	case "freeze":
		n := r.c.nodes[r.node(t, d, first(t, d))]
		n.freeze()
		return n.name
	case "thaw":
		for _, n := range r.c.nodes {
			n.thaw()
		}
		return ""
	case "storm":
		// storm COUNT over=D
		count, _ := strconv.Atoi(first(t, d))
		r.c.Storm(count, duration(t, d, arg(d, "over", "10s")))
		return ""
	case "forgotten":
		return strings.Join(r.c.Forgotten(), "\n")
	case "state":
		switch first(t, d) {
		case "down":
			r.c.state.setOutage(true)
		case "up":
			r.c.state.setOutage(false)
			r.c.state.admit()
			r.c.state.late, r.c.state.lateMore, r.c.state.lateShare = 0, 0, 0
			r.c.state.lostShare, r.c.state.slowShare, r.c.state.slowWatches = 0, 0, 0
		case "refuse":
			r.c.state.refused[r.c.nodes[r.node(t, d, arg(d, "node", "leader"))].name] = true
		case "late":
			// late by=D [more=D] [share=S]
			r.c.state.late = duration(t, d, arg(d, "by", "2s"))
			r.c.state.lateMore = duration(t, d, arg(d, "more", "0s"))
			r.c.state.lateShare = number(t, d, "share", "0")
		case "lost":
			// lost share=S, of transactions: applied at once, answered never
			r.c.state.lostShare = number(t, d, "share", "0.33")
		case "slow":
			// slow by=D share=S, of requests: up to D each; slow by=D watches: new watches, by D
			if arg(d, "watches", "") != "" {
				r.c.state.slowWatches = duration(t, d, arg(d, "by", "2s"))
				return ""
			}
			r.c.state.slow, r.c.state.slowShare = duration(t, d, arg(d, "by", "2s")), number(t, d, "share", "0.33")
		case "spent":
			// Since the start or the last time.
			s := r.c.state
			out := fmt.Sprintf("changes=%d limited=%d", s.changed, s.limited)
			s.changed, s.limited = 0, 0
			return out
		default:
			d.Fatalf(t, "unknown state of the state service")
		}
		return ""
	case "cloud":
		k := r.c.cloud
		switch first(t, d) {
		case "down":
			k.outage = true
		case "up":
			k.outage, k.late, k.never, k.dead, k.factor, k.answers = false, 0, false, 0, 0, 0
		case "late":
			k.late = duration(t, d, arg(d, "by", "5s"))
		case "never":
			k.never = true
		case "boots":
			// boots factor=F [dead=S] [answers=D]: boot times, the share that never comes
			// up, and how late rentals are answered.
			k.factor, k.dead = number(t, d, "factor", "1"), number(t, d, "dead", "0")
			k.answers = duration(t, d, arg(d, "answers", "0s"))
		default:
			d.Fatalf(t, "unknown state of the cloud")
		}
		return ""
	case "machine":
		// machine WHAT NAME
		if strings.HasPrefix(d.CmdArgs[1].Key, "machines:") {
			for _, name := range r.hosts(t, d, d.CmdArgs[1].Key) {
				if out := r.trouble(t, d, name); out != "" {
					return out
				}
			}
			return ""
		}
		return r.trouble(t, d, d.CmdArgs[1].Key)
	case "cut":
		// cut A B [hold] [oneway] [reset]: a host, "zone:Z", "zone:leader", "zone:others", "machines" or "nodes";
		// oneway stops only what A sends to B, reset does so by ending connections.
		for _, a := range r.hosts(t, d, d.CmdArgs[0].Key) {
			for _, b := range r.hosts(t, d, d.CmdArgs[1].Key) {
				switch {
				case a == b:
				case arg(d, "reset", "") != "":
					r.c.ResetOneWay(a, b)
				case arg(d, "oneway", "") != "":
					r.c.CutOneWay(a, b, arg(d, "hold", "") != "")
				default:
					r.c.Cut(a, b, arg(d, "hold", "") != "")
				}
			}
		}
		return ""
	case "isolate":
		// isolate NODE [refused]: it gets no answers from the state service, or 503.
		n := r.c.nodes[r.node(t, d, first(t, d))]
		if arg(d, "refused", "") != "" {
			r.c.IsolateRefused(n)
		} else {
			r.c.Isolate(n)
		}
		return ""
	case "links":
		// links slow=D: every message takes up to D more.
		r.c.slowLinks = duration(t, d, arg(d, "slow", "0s"))
		return ""
	case "heal":
		// heal [A B]
		if len(d.CmdArgs) == 2 {
			for _, a := range r.hosts(t, d, d.CmdArgs[0].Key) {
				for _, b := range r.hosts(t, d, d.CmdArgs[1].Key) {
					r.c.HealBetween(a, b)
				}
			}
			return ""
		}
		r.c.Heal()
		return ""
	case "copies":
		// copies on|off, of direct orders; copies reports=D, of reports up to D late;
		// copies next=SHARE, of reports for the next leader.
		r.c.copies = first(t, d) == "on"
		r.c.keepShare = number(t, d, "next", "0")
		r.c.reportCopies = duration(t, d, arg(d, "reports", "0s"))
		return ""
	case "stream":
		// stream FROM COUNT every=D ...: jobs one after the other, numbered from FROM.
		return r.stream(t, d)
	case "starved":
		return strings.Join(r.c.Starved(), "\n")
	case "unanswered":
		return strings.Join(r.c.Unanswered(), "\n")
	case "rent":
		// A machine that nobody here asked for.
		r.c.cloud.start(arg(d, "type", "small"), arg(d, "zone", "a"), false, time.Second)
		return ""
	case "leads":
		if r.c.Leader() < 0 {
			return "nobody"
		}
		return "one"
	case "show":
		return r.show()
	case "show_count":
		// How many jobs there are, by what their users know and what runs.
		return r.showCount()
	case "fleet":
		return r.fleet()
	case "jobs":
		return r.jobStarts(t, d)
	}
	d.Fatalf(t, "unknown command %q", d.Cmd)
	return ""
}

// trouble befalls a machine.
func (r *runner) trouble(t *testing.T, d *datadriven.TestData, name string) string {
	h := r.host(t, d, name)
	switch first(t, d) {
	case "hang":
		h.worker.hang(true)
	case "resume":
		if h.worker == nil || h.worker.dead {
			return "gone"
		}
		h.worker.hang(false)
	case "fail":
		r.c.cloud.fail(h)
	case "take":
		r.c.cloud.end(h)
	case "notice":
		h.worker.notice = r.c.now.Add(duration(t, d, arg(d, "in", "20s")))
		h.worker.change()
		r.c.after(duration(t, d, arg(d, "in", "20s")), func() { r.c.cloud.end(h) })
	case "sick":
		h.worker.sick = true
	case "mute":
		h.worker.mute = true
	case "unmute":
		h.worker.mute = false
	case "reboot":
		h.worker.reboot()
	default:
		d.Fatalf(t, "unknown trouble")
	}
	return ""
}

// hosts are those that a name stands for: one, "zone:Z", "machines", "machines:N" for
// the first N that run, or "nodes".
func (r *runner) hosts(t *testing.T, d *datadriven.TestData, name string) []string {
	var list []string
	if count, ok := strings.CutPrefix(name, "machines:"); ok {
		n, err := strconv.Atoi(count)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		for _, h := range r.c.cloud.hosts {
			if len(list) < n && h.worker != nil && !h.worker.dead {
				list = append(list, h.name)
			}
		}
		return list
	}
	zone, isZone := strings.CutPrefix(name, "zone:")
	others := zone == "others" // than the leader's
	if zone == "leader" || others {
		zone = r.c.nodes[r.node(t, d, "leader")].zone
	}
	switch {
	case name == "machines" || isZone:
		for _, h := range r.c.cloud.hosts {
			if name == "machines" || (h.zone == zone) != others {
				list = append(list, h.name)
			}
		}
		if isZone {
			for _, n := range r.c.nodes {
				if (n.zone == zone) != others {
					list = append(list, n.name)
				}
			}
		}
	case name == "nodes":
		for _, n := range r.c.nodes {
			list = append(list, n.name)
		}
	case name == "leader" || name == "follower":
		list = append(list, r.c.nodes[r.node(t, d, name)].name)
	case strings.Contains(name, "/"):
		list = append(list, r.host(t, d, name).name)
	default:
		list = append(list, name)
	}
	return list
}

func (r *runner) submit(t *testing.T, d *datadriven.TestData) string {
	spec, run := r.spec(t, d, first(t, d))
	node := r.node(t, d, arg(d, "node", "leader"))
	return r.ask(d, func(done func(string)) {
		r.c.Submit(node, spec, run, arg(d, "bad", "") != "", func(status int, state string) { done(fmt.Sprintf("%d %s", status, state)) })
	})
}

// stream submits jobs at intervals, whatever is answered; with cancel=N one in N is
// cancelled on the way, up to a second after it should have ended, and with insist each
// is sent until it is answered for good.
func (r *runner) stream(t *testing.T, d *datadriven.TestData) string {
	if len(d.CmdArgs) < 2 {
		d.Fatalf(t, "stream needs a first number and a count")
	}
	from, _ := strconv.Atoi(d.CmdArgs[0].Key)
	count, _ := strconv.Atoi(d.CmdArgs[1].Key)
	every, bad := duration(t, d, arg(d, "every", "1s")), arg(d, "bad", "") != ""
	cancel, insist := int(number(t, d, "cancel", "0")), arg(d, "insist", "") != ""
	for i := range count {
		spec, run := r.spec(t, d, fmt.Sprintf("run-%06d", from+i))
		r.c.after(time.Duration(i)*every, func() {
			if insist {
				r.c.insist(func(node int, done func(int, string)) { r.c.Submit(node, spec, run, bad, done) })
			} else if node := r.c.Leader(); node >= 0 {
				r.c.Submit(node, spec, run, bad, func(int, string) {})
			}
			if cancel > 0 && i%cancel == 0 {
				r.c.after(time.Duration(r.c.rng.Int64N(int64(run+time.Second))), func() { r.c.insistCancel(spec.ID) })
			}
		})
	}
	return ""
}

// spec is a job as a command's arguments describe it.
func (r *runner) spec(t *testing.T, d *datadriven.TestData, id string) (protocol.Job, time.Duration) {
	spec := protocol.Job{ID: id, Class: arg(d, "class", "class"), Team: arg(d, "team", "red"), Kind: protocol.Batch,
		Priority: map[string]protocol.Priority{"critical": protocol.Critical, "urgent": protocol.Urgent,
			"standard": protocol.Standard, "low": protocol.Low}[arg(d, "priority", "standard")],
		Tasks: int(number(t, d, "tasks", "1")), CPUs: number(t, d, "cpus", "1"), MemoryGB: number(t, d, "mem", "2"),
		Image: arg(d, "image", "img-01"), ImageGB: number(t, d, "gb", "1"), Zone: arg(d, "zone", ""),
		OneZone: arg(d, "oneZone", "") != "", Spread: arg(d, "spread", "") != "", AllowSpot: arg(d, "spot", "") != "",
		CheckpointInterval: duration(t, d, arg(d, "checkpoint", "0s")), CheckpointDuration: duration(t, d, arg(d, "save", "0s"))}
	if types := arg(d, "types", ""); types != "" {
		spec.MachineTypes = strings.Split(types, ",")
	}
	run := duration(t, d, arg(d, "run", "10s"))
	if arg(d, "service", "") != "" {
		spec.Kind = protocol.Service
	} else {
		spec.EstimatedRuntime = run
	}
	return spec, run
}

// show lists what runs where, by type, zone and kind of machine.
func (r *runner) show() string {
	var b bytes.Buffer
	var ids []string
	for id := range r.c.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		j := r.c.jobs[id]
		where := map[string]int{}
		for task := range j.on {
			for w := range j.on[task] {
				kind := ""
				if w.host.spot {
					kind = " spot"
				}
				where[w.host.typ+" "+w.host.zone+kind]++
			}
		}
		var places []string
		for p, n := range where {
			places = append(places, fmt.Sprintf("%d on %s", n, p))
		}
		slices.Sort(places)
		fmt.Fprintf(&b, "%s: %s\n", id, strings.Join(places, ", "))
	}
	return b.String()
}

// showCount counts jobs by what their users were told, and tasks that run.
func (r *runner) showCount() string {
	told, tasks := map[string]int{}, 0
	for _, j := range r.c.jobs {
		tasks += len(j.on)
		switch {
		case j.told != 0:
			told[j.told.String()]++
		case j.accepted:
			told["unfinished"]++
		default:
			told["not accepted"]++
		}
	}
	var list []string
	for what, n := range told {
		list = append(list, fmt.Sprintf("%d %s", n, what))
	}
	slices.Sort(list)
	return fmt.Sprintf("%s; %d tasks run", strings.Join(list, ", "), tasks)
}

// fleet counts the machines that are paid for.
func (r *runner) fleet() string {
	count := map[string]int{}
	for _, h := range r.c.cloud.hosts {
		if h.gone.IsZero() && h.failed.IsZero() {
			kind := h.typ + " " + h.zone
			if h.spot {
				kind += " spot"
			}
			count[kind]++
		}
	}
	var list []string
	for kind, n := range count {
		list = append(list, fmt.Sprintf("%d %s", n, kind))
	}
	slices.Sort(list)
	return strings.Join(list, "\n")
}

// jobStarts tells how often tasks of a job started.
func (r *runner) jobStarts(t *testing.T, d *datadriven.TestData) string {
	j := r.c.jobs[first(t, d)]
	if j == nil {
		d.Fatalf(t, "no such job")
	}
	if j.failures > 0 {
		return fmt.Sprintf("starts=%d completed=%d failures=%d", j.starts, len(j.completed), j.failures)
	}
	return fmt.Sprintf("starts=%d completed=%d", j.starts, len(j.completed))
}
