package simulator

import (
	"fmt"
	"os"
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
	inTrigger     bool
	triggerOutput []string
}

func (r *runner) run(t *testing.T, d *datadriven.TestData) string {
	if d.Cmd != "start" && r.c == nil {
		d.Fatalf(t, "the first command must be start")
	}
	out := r.command(t, d)
	if broken := r.c.Violations(); len(broken) > 0 {
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
		for i, n := range r.c.controllers {
			if i != r.c.Leader() && n.core != nil {
				return i
			}
		}
		d.Fatalf(t, "nobody follows")
	}
	for i, n := range r.c.controllers {
		if n.name == name {
			return i
		}
	}
	d.Fatalf(t, "no node %q", name)
	return -1
}

// host finds a machine by name, or the one that runs "job/task".
func (r *runner) host(t *testing.T, d *datadriven.TestData, name string) *machine {
	if job, task, ok := strings.Cut(name, "/"); ok {
		i, _ := strconv.Atoi(task)
		if j := r.c.jobs[job]; j != nil {
			for w := range j.runningOn[i] {
				return w.machine
			}
		}
		d.Fatalf(t, "%s is on no machine", name)
	}
	for _, h := range r.c.cloud.machines {
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
	if r.inTrigger {
		send(func(out string) {
			r.triggerOutput = append(r.triggerOutput, strings.TrimSpace(d.Cmd+" "+d.CmdArgs[0].Key)+": "+strings.TrimSpace(out))
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

// triggeredCommands are those in the input of "when", one a line.
func triggeredCommands(t *testing.T, d *datadriven.TestData) (list []*datadriven.TestData) {
	t.Helper()
	for line := range strings.Lines(d.Input) {
		cmd, args, err := datadriven.ParseLine(line)
		if err != nil || cmd == "" || cmd == "advance" || cmd == "unanswered" {
			d.Fatalf(t, "%q can't run in a moment", line)
		}
		list = append(list, &datadriven.TestData{Pos: d.Pos, Cmd: cmd, CmdArgs: args})
	}
	return list
}

// triggerPoints are the names of those that "when" knows.
var triggerPoints = map[string]triggerPoint{"write": onWrite, "answer-lost": onLostReply, "leader": onLeader, "report": onHeartbeat, "done": onJobDone}

// when before|after MOMENT [WHAT] [in=D] [passes=N], with commands as input, one a line: they
// run once, after N such moments,
// right before or after it, or D later. MOMENT is write KEYPREFIX, answer-lost, leader,
// report NODE, report NODE/MACHINE or done JOB.
func (r *runner) when(t *testing.T, d *datadriven.TestData) string {
	if len(d.CmdArgs) < 2 || triggerPoints[d.CmdArgs[1].Key] == 0 || d.CmdArgs[0].Key != "before" && d.CmdArgs[0].Key != "after" {
		d.Fatalf(t, "when needs before or after, and a moment")
	}
	m, what := triggerPoints[d.CmdArgs[1].Key], ""
	if len(d.CmdArgs) > 2 && d.CmdArgs[2].Key != "in" && d.CmdArgs[2].Key != "passes" {
		what = d.CmdArgs[2].Key
	}
	if m == onHeartbeat && what != "" {
		node, machine, of := strings.Cut(what, "/")
		if what = r.c.controllers[r.node(t, d, node)].name; of {
			what += "/" + machine
		}
	}
	triggered := triggeredCommands(t, d)
	run := func() {
		r.inTrigger = true
		for _, k := range triggered {
			if out := r.command(t, k); out != "" {
				r.triggerOutput = append(r.triggerOutput, k.Cmd+": "+out)
			}
		}
		r.inTrigger = false
	}
	in, passes := duration(t, d, arg(d, "in", "0s")), int(number(t, d, "passes", "0"))
	r.c.onNth(m, what, d.CmdArgs[0].Key == "before", passes, func() {
		if in > 0 {
			r.c.after(in, run)
			return
		}
		run()
	})
	return ""
}

// commands are those of scenario files, by name.
var commands map[string]func(r *runner, t *testing.T, d *datadriven.TestData) string

func init() {
	// Not in the declaration: "when" runs other commands.
	commands = map[string]func(r *runner, t *testing.T, d *datadriven.TestData) string{
		"start":         (*runner).runStart,
		"advance":       (*runner).runAdvance,
		"submit":        (*runner).submit,
		"poll":          (*runner).runPoll,
		"cancel":        (*runner).runCancel,
		"cancel_now":    (*runner).runCancelNow,
		"cancel_at_end": (*runner).runCancelAtEnd,
		"odd_requests":  (*runner).runOddRequests,
		"close_looks":   (*runner).runCloseLooks,
		"changes":       (*runner).runChanges,
		"calm":          (*runner).runCalm,
		"when":          (*runner).when,
		"heard":         (*runner).runHeard,
		"request":       (*runner).runRequest,
		"crash":         (*runner).runCrash,
		"restart":       (*runner).runRestart,
		"silence":       (*runner).runSilence,
		"drain":         (*runner).runDrain,
		"drained":       (*runner).runDrained,
		"setting":       (*runner).runSetting,
		"surges":        (*runner).runSurges,
		"moved":         (*runner).runMoved,
		"shares":        (*runner).runShares,
		"shards":        (*runner).runShards,
		"owners":        (*runner).runOwners,
		"gaps":          (*runner).runGaps,
		"freeze":        (*runner).runFreeze,
		"thaw":          (*runner).runThaw,
		"storm":         (*runner).runStorm,
		"forgotten":     (*runner).runForgotten,
		"state":         (*runner).runState,
		"cloud":         (*runner).runCloud,
		"machine":       (*runner).runMachine,
		"cut":           (*runner).runCut,
		"isolate":       (*runner).runIsolate,
		"links":         (*runner).runLinks,
		"heal":          (*runner).runHeal,
		"copies":        (*runner).runCopies,
		"stream":        (*runner).runStream,
		"starved":       (*runner).runStarved,
		"unanswered":    (*runner).runUnanswered,
		"rent":          (*runner).runRent,
		"leads":         (*runner).runLeads,
		"show":          (*runner).runShow,
		"show_count":    (*runner).runShowCount,
		"fleet":         (*runner).runFleet,
		"jobs":          (*runner).jobStarts,
	}
}

func (r *runner) command(t *testing.T, d *datadriven.TestData) string {
	run := commands[d.Cmd]
	if run == nil {
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
	return run(r, t, d)
}

func (r *runner) runStart(t *testing.T, d *datadriven.TestData) string {
	o := Options{Seed: uint64(number(t, d, "seed", "1")), Controllers: int(number(t, d, "nodes", "3")),
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
}

func (r *runner) runAdvance(t *testing.T, d *datadriven.TestData) string {
	r.c.Advance(duration(t, d, first(t, d)))
	return ""
}

func (r *runner) runPoll(t *testing.T, d *datadriven.TestData) string {
	node := r.node(t, d, arg(d, "node", "leader"))
	return r.ask(d, func(done func(string)) {
		r.c.Query(node, first(t, d), func(status int, text string) {
			if arg(d, "short", "") != "" { // without the counts
				text, _, _ = strings.Cut(text, " ")
			}
			done(fmt.Sprintf("%d %s", status, text))
		})
	})
}

func (r *runner) runCancel(t *testing.T, d *datadriven.TestData) string {
	node := r.node(t, d, arg(d, "node", "leader"))
	return r.ask(d, func(done func(string)) {
		r.c.CancelJob(node, first(t, d), func(status int, state string) { done(fmt.Sprintf("%d %s", status, state)) })
	})
}

func (r *runner) runCalm(_ *testing.T, _ *datadriven.TestData) string {
	r.c.BeginQuiescence()
	return ""
}

// runRequest: request METHOD TARGET, with the body as input.
func (r *runner) runRequest(t *testing.T, d *datadriven.TestData) string {
	if len(d.CmdArgs) < 2 {
		d.Fatalf(t, "request needs a method and a target")
	}
	node := r.node(t, d, arg(d, "node", "leader"))
	return r.ask(d, func(done func(string)) {
		r.c.userRequest(node, d.CmdArgs[0].Key, d.CmdArgs[1].Key, []byte(d.Input), func(status int, body []byte) {
			done(fmt.Sprintf("%d %s", status, body))
		})
	})
}

func (r *runner) runDrain(t *testing.T, d *datadriven.TestData) string {
	n := r.c.controllers[r.node(t, d, first(t, d))]
	n.whenFree(func() { n.apply(n.core.Drain(r.c.now)) })
	return n.name
}

// runSetting: setting shards=N: of controllers that start from now on; 0 for none.
func (r *runner) runSetting(t *testing.T, d *datadriven.TestData) string {
	r.c.setShards(int(number(t, d, "shards", "0")))
	return ""
}

// runStream: stream FROM COUNT every=D ...: jobs one after the other, numbered from FROM.
func (r *runner) runStream(t *testing.T, d *datadriven.TestData) string {
	return r.stream(t, d)
}

// runRent: a machine that nobody here asked for.
func (r *runner) runRent(_ *testing.T, d *datadriven.TestData) string {
	r.c.cloud.start(arg(d, "type", "small"), arg(d, "zone", "a"), false, time.Second)
	return ""
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
				r.c.retryUntilAnswered(func(node int, done func(int, string)) { r.c.Submit(node, spec, run, bad, done) })
			} else if node := r.c.Leader(); node >= 0 {
				r.c.Submit(node, spec, run, bad, func(int, string) {})
			}
			if cancel > 0 && i%cancel == 0 {
				r.c.after(time.Duration(r.c.rng.Int64N(int64(run+time.Second))), func() { r.c.retryCancel(spec.ID) })
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
