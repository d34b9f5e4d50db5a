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
		r := &scenarioRunner{t: t}
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
		r := &scenarioRunner{t: t}
		datadriven.RunTest(t, path, r.run)
	})
}

type scenarioRunner struct {
	t       *testing.T
	cluster *Cluster
	// Within a moment no time may pass: what is asked then is answered later.
	inTrigger     bool
	triggerOutput []string
}

func (r *scenarioRunner) run(t *testing.T, d *datadriven.TestData) string {
	if d.Cmd != "start" && r.cluster == nil {
		d.Fatalf(t, "the first command must be start")
	}
	out := r.runCommand(t, d)
	if broken := r.cluster.Violations(); len(broken) > 0 {
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

func numberArg(t *testing.T, d *datadriven.TestData, key, otherwise string) float64 {
	v, err := strconv.ParseFloat(arg(d, key, otherwise), 64)
	if err != nil {
		d.Fatalf(t, "%s: %v", key, err)
	}
	return v
}

func parseDuration(t *testing.T, d *datadriven.TestData, text string) time.Duration {
	v, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return v
}

// firstArg is the first argument, which has no key.
func firstArg(t *testing.T, d *datadriven.TestData) string {
	if len(d.CmdArgs) == 0 {
		d.Fatalf(t, "%s needs an argument", d.Cmd)
	}
	return d.CmdArgs[0].Key
}

func (r *scenarioRunner) controllerIndex(t *testing.T, d *datadriven.TestData, name string) int {
	switch name {
	case "leader":
		i := r.cluster.Leader()
		if i < 0 {
			d.Fatalf(t, "nobody leads")
		}
		return i
	case "follower":
		for i, n := range r.cluster.controllers {
			if i != r.cluster.Leader() && n.core != nil {
				return i
			}
		}
		d.Fatalf(t, "nobody follows")
	}
	for i, n := range r.cluster.controllers {
		if n.name == name {
			return i
		}
	}
	d.Fatalf(t, "no node %q", name)
	return -1
}

// findMachine finds a machine by name, or the one that runs "job/task".
func (r *scenarioRunner) findMachine(t *testing.T, d *datadriven.TestData, name string) *machine {
	if job, task, ok := strings.Cut(name, "/"); ok {
		i, _ := strconv.Atoi(task)
		if j := r.cluster.jobs[job]; j != nil {
			for w := range j.runningOn[i] {
				return w.machine
			}
		}
		d.Fatalf(t, "%s is on no machine", name)
	}
	for _, h := range r.cluster.cloud.machines {
		if h.name == name {
			return h
		}
	}
	d.Fatalf(t, "no machine %q", name)
	return nil
}

// sendAndWait sends a request and lets time pass until something has come of it. In a moment
// the answer is kept for the command "heard" instead.
func (r *scenarioRunner) sendAndWait(d *datadriven.TestData, send func(done func(out string))) string {
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
		r.cluster.Advance(time.Millisecond)
	}
	return out
}

// parseTriggeredCommands are those in the input of "when", one a line.
func parseTriggeredCommands(t *testing.T, d *datadriven.TestData) (list []*datadriven.TestData) {
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

// runWhen before|after MOMENT [WHAT] [in=D] [passes=N], with commands as input, one a line: they
// run once, after N such moments,
// right before or after it, or D later. MOMENT is write KEYPREFIX, answer-lost, leader,
// report NODE, report NODE/MACHINE or done JOB.
func (r *scenarioRunner) runWhen(t *testing.T, d *datadriven.TestData) string {
	if len(d.CmdArgs) < 2 || triggerPoints[d.CmdArgs[1].Key] == 0 || d.CmdArgs[0].Key != "before" && d.CmdArgs[0].Key != "after" {
		d.Fatalf(t, "when needs before or after, and a moment")
	}
	m, what := triggerPoints[d.CmdArgs[1].Key], ""
	if len(d.CmdArgs) > 2 && d.CmdArgs[2].Key != "in" && d.CmdArgs[2].Key != "passes" {
		what = d.CmdArgs[2].Key
	}
	if m == onHeartbeat && what != "" {
		node, machine, of := strings.Cut(what, "/")
		if what = r.cluster.controllers[r.controllerIndex(t, d, node)].name; of {
			what += "/" + machine
		}
	}
	triggered := parseTriggeredCommands(t, d)
	run := func() {
		r.inTrigger = true
		for _, k := range triggered {
			if out := r.runCommand(t, k); out != "" {
				r.triggerOutput = append(r.triggerOutput, k.Cmd+": "+out)
			}
		}
		r.inTrigger = false
	}
	in, passes := parseDuration(t, d, arg(d, "in", "0s")), int(numberArg(t, d, "passes", "0"))
	r.cluster.onNth(m, what, d.CmdArgs[0].Key == "before", passes, func() {
		if in > 0 {
			r.cluster.after(in, run)
			return
		}
		run()
	})
	return ""
}

// scenarioCommands are those of scenario files, by name.
var scenarioCommands map[string]func(r *scenarioRunner, t *testing.T, d *datadriven.TestData) string

func init() {
	// Not in the declaration: "when" runs other commands.
	scenarioCommands = map[string]func(r *scenarioRunner, t *testing.T, d *datadriven.TestData) string{
		"start":         (*scenarioRunner).runStart,
		"advance":       (*scenarioRunner).runAdvance,
		"submit":        (*scenarioRunner).runSubmit,
		"poll":          (*scenarioRunner).runPoll,
		"cancel":        (*scenarioRunner).runCancel,
		"cancel_now":    (*scenarioRunner).runCancelNow,
		"cancel_at_end": (*scenarioRunner).runCancelAtEnd,
		"odd_requests":  (*scenarioRunner).runInvalidRequests,
		"close_looks":   (*scenarioRunner).runQueriesAfterChange,
		"changes":       (*scenarioRunner).runChangeLeaders,
		"calm":          (*scenarioRunner).runBeginQuiescence,
		"when":          (*scenarioRunner).runWhen,
		"heard":         (*scenarioRunner).runTriggerOutput,
		"request":       (*scenarioRunner).runRequest,
		"crash":         (*scenarioRunner).runCrash,
		"restart":       (*scenarioRunner).runRestart,
		"silence":       (*scenarioRunner).runPowerOff,
		"drain":         (*scenarioRunner).runDrain,
		"drained":       (*scenarioRunner).runDrained,
		"setting":       (*scenarioRunner).runSetting,
		"surges":        (*scenarioRunner).runCheckCeiling,
		"moved":         (*scenarioRunner).runMigrations,
		"shares":        (*scenarioRunner).runShares,
		"shards":        (*scenarioRunner).runShards,
		"owners":        (*scenarioRunner).runOwnersByShards,
		"gaps":          (*scenarioRunner).runAnswerGaps,
		"freeze":        (*scenarioRunner).runFreeze,
		"thaw":          (*scenarioRunner).runThaw,
		"storm":         (*scenarioRunner).runQueryStorm,
		"forgotten":     (*scenarioRunner).runForgotten,
		"state":         (*scenarioRunner).runState,
		"cloud":         (*scenarioRunner).runCloud,
		"machine":       (*scenarioRunner).runMachine,
		"cut":           (*scenarioRunner).runCut,
		"isolate":       (*scenarioRunner).runIsolate,
		"links":         (*scenarioRunner).runLinks,
		"heal":          (*scenarioRunner).runHeal,
		"copies":        (*scenarioRunner).runDuplicates,
		"stream":        (*scenarioRunner).runStream,
		"starved":       (*scenarioRunner).runStarved,
		"unanswered":    (*scenarioRunner).runUnanswered,
		"rent":          (*scenarioRunner).runRent,
		"leads":         (*scenarioRunner).runHasLeader,
		"show":          (*scenarioRunner).runShow,
		"show_count":    (*scenarioRunner).runShowCount,
		"fleet":         (*scenarioRunner).runMachineCount,
		"jobs":          (*scenarioRunner).runJobStarts,
	}
}

func (r *scenarioRunner) runCommand(t *testing.T, d *datadriven.TestData) string {
	run := scenarioCommands[d.Cmd]
	if run == nil {
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
	return run(r, t, d)
}

func (r *scenarioRunner) runStart(t *testing.T, d *datadriven.TestData) string {
	o := Options{Seed: uint64(numberArg(t, d, "seed", "1")), Controllers: int(numberArg(t, d, "nodes", "3")),
		Machines: int(numberArg(t, d, "machines", "4")), Capacity: int(numberArg(t, d, "capacity", "20")),
		Zones: strings.Split(arg(d, "zones", "a"), ","), LargeFleet: arg(d, "fleet", "") != "",
		ShardsPerController: int(numberArg(t, d, "shards", "0")), Headroom: numberArg(t, d, "headroom", "0"),
		TeamCPULimit: numberArg(t, d, "limit", "0"), EventCost: parseDuration(t, d, arg(d, "cost", "0s"))}
	if arg(d, "ceiling", "") != "" {
		// ceiling=SHARE [queue=SECONDS] [trade=SECONDS] [moves [margin=N]]: balance is on.
		o.Balance = &config.Balance{CeilingShare: numberArg(t, d, "ceiling", "0.5"),
			MaxFetchBacklogSeconds: numberArg(t, d, "queue", "20"), LoadPenaltySeconds: numberArg(t, d, "trade", "2"),
			AllowMigrations: arg(d, "moves", "") != "", MigrationMargin: numberArg(t, d, "margin", "1.5")}
	}
	if os.Getenv("SCENARIO_LOG") != "" {
		o.Log = os.Stderr
	}
	o.Digest = newDigest(t)
	r.cluster = New(o)
	return ""
}

func (r *scenarioRunner) runAdvance(t *testing.T, d *datadriven.TestData) string {
	r.cluster.Advance(parseDuration(t, d, firstArg(t, d)))
	return ""
}

func (r *scenarioRunner) runPoll(t *testing.T, d *datadriven.TestData) string {
	node := r.controllerIndex(t, d, arg(d, "node", "leader"))
	return r.sendAndWait(d, func(done func(string)) {
		r.cluster.Query(node, firstArg(t, d), func(status int, text string) {
			if arg(d, "short", "") != "" { // without the counts
				text, _, _ = strings.Cut(text, " ")
			}
			done(fmt.Sprintf("%d %s", status, text))
		})
	})
}

func (r *scenarioRunner) runCancel(t *testing.T, d *datadriven.TestData) string {
	node := r.controllerIndex(t, d, arg(d, "node", "leader"))
	return r.sendAndWait(d, func(done func(string)) {
		r.cluster.CancelJob(node, firstArg(t, d), func(status int, state string) { done(fmt.Sprintf("%d %s", status, state)) })
	})
}

func (r *scenarioRunner) runBeginQuiescence(_ *testing.T, _ *datadriven.TestData) string {
	r.cluster.BeginQuiescence()
	return ""
}

// runRequest: request METHOD TARGET, with the body as input.
func (r *scenarioRunner) runRequest(t *testing.T, d *datadriven.TestData) string {
	if len(d.CmdArgs) < 2 {
		d.Fatalf(t, "request needs a method and a target")
	}
	node := r.controllerIndex(t, d, arg(d, "node", "leader"))
	return r.sendAndWait(d, func(done func(string)) {
		r.cluster.userRequest(node, d.CmdArgs[0].Key, d.CmdArgs[1].Key, []byte(d.Input), func(status int, body []byte) {
			done(fmt.Sprintf("%d %s", status, body))
		})
	})
}

func (r *scenarioRunner) runDrain(t *testing.T, d *datadriven.TestData) string {
	n := r.cluster.controllers[r.controllerIndex(t, d, firstArg(t, d))]
	n.runWhenIdle(func() { n.applyEffects(n.core.Drain(r.cluster.now)) })
	return n.name
}

// runSetting: setting shards=N: of controllers that start from now on; 0 for none.
func (r *scenarioRunner) runSetting(t *testing.T, d *datadriven.TestData) string {
	r.cluster.setShards(int(numberArg(t, d, "shards", "0")))
	return ""
}

// runStream: stream FROM COUNT every=D ...: jobs one after the other, numbered from FROM.
func (r *scenarioRunner) runStream(t *testing.T, d *datadriven.TestData) string {
	return r.submitStream(t, d)
}

// runRent: a machine that nobody here asked for.
func (r *scenarioRunner) runRent(_ *testing.T, d *datadriven.TestData) string {
	r.cluster.cloud.startMachine(arg(d, "type", "small"), arg(d, "zone", "a"), false, time.Second)
	return ""
}

func (r *scenarioRunner) runSubmit(t *testing.T, d *datadriven.TestData) string {
	spec, run := r.jobSpec(t, d, firstArg(t, d))
	node := r.controllerIndex(t, d, arg(d, "node", "leader"))
	return r.sendAndWait(d, func(done func(string)) {
		r.cluster.Submit(node, spec, run, arg(d, "bad", "") != "", func(status int, state string) { done(fmt.Sprintf("%d %s", status, state)) })
	})
}

// submitStream submits jobs at intervals, whatever is answered; with cancel=N one in N is
// cancelled on the way, up to a second after it should have ended, and with insist each
// is sent until it is answered for good.
func (r *scenarioRunner) submitStream(t *testing.T, d *datadriven.TestData) string {
	if len(d.CmdArgs) < 2 {
		d.Fatalf(t, "stream needs a first number and a count")
	}
	from, _ := strconv.Atoi(d.CmdArgs[0].Key)
	count, _ := strconv.Atoi(d.CmdArgs[1].Key)
	every, bad := parseDuration(t, d, arg(d, "every", "1s")), arg(d, "bad", "") != ""
	cancel, insist := int(numberArg(t, d, "cancel", "0")), arg(d, "insist", "") != ""
	for i := range count {
		spec, run := r.jobSpec(t, d, fmt.Sprintf("run-%06d", from+i))
		r.cluster.after(time.Duration(i)*every, func() {
			if insist {
				r.cluster.retryUntilAnswered(func(node int, done func(int, string)) { r.cluster.Submit(node, spec, run, bad, done) })
			} else if node := r.cluster.Leader(); node >= 0 {
				r.cluster.Submit(node, spec, run, bad, func(int, string) {})
			}
			if cancel > 0 && i%cancel == 0 {
				r.cluster.after(time.Duration(r.cluster.rng.Int64N(int64(run+time.Second))), func() { r.cluster.retryCancel(spec.ID) })
			}
		})
	}
	return ""
}

// jobSpec is a job as a command's arguments describe it.
func (r *scenarioRunner) jobSpec(t *testing.T, d *datadriven.TestData, id string) (protocol.Job, time.Duration) {
	spec := protocol.Job{ID: id, Class: arg(d, "class", "class"), Team: arg(d, "team", "red"), Kind: protocol.Batch,
		Priority: map[string]protocol.Priority{"critical": protocol.Critical, "urgent": protocol.Urgent,
			"standard": protocol.Standard, "low": protocol.Low}[arg(d, "priority", "standard")],
		Tasks: int(numberArg(t, d, "tasks", "1")), CPUs: numberArg(t, d, "cpus", "1"), MemoryGB: numberArg(t, d, "mem", "2"),
		Image: arg(d, "image", "img-01"), ImageGB: numberArg(t, d, "gb", "1"), Zone: arg(d, "zone", ""),
		OneZone: arg(d, "oneZone", "") != "", Spread: arg(d, "spread", "") != "", AllowSpot: arg(d, "spot", "") != "",
		CheckpointInterval: parseDuration(t, d, arg(d, "checkpoint", "0s")), CheckpointDuration: parseDuration(t, d, arg(d, "save", "0s"))}
	if types := arg(d, "types", ""); types != "" {
		spec.MachineTypes = strings.Split(types, ",")
	}
	run := parseDuration(t, d, arg(d, "run", "10s"))
	if arg(d, "service", "") != "" {
		spec.Kind = protocol.Service
	} else {
		spec.EstimatedRuntime = run
	}
	return spec, run
}
