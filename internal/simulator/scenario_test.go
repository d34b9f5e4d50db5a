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

// TestScenarios runs the scenario files in testdata. A command after which an invariant is
// violated fails the test, whatever output the file expects.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		r := &scenarioRunner{t: t}
		datadriven.RunTest(t, path, r.run)
	})
}

// TestLongScenarios runs the scenario files in testdata_long, which take minutes. It is skipped
// unless SCENARIO_LONG is set.
func TestLongScenarios(t *testing.T) {
	if os.Getenv("SCENARIO_LONG") == "" {
		t.Skip("set SCENARIO_LONG to run them")
	}
	datadriven.Walk(t, "testdata_long", func(t *testing.T, path string) {
		r := &scenarioRunner{t: t}
		datadriven.RunTest(t, path, r.run)
	})
}

// scenarioRunner carries out the commands of a scenario file on a simulated cluster.
type scenarioRunner struct {
	t       *testing.T
	cluster *Cluster
	// inTrigger is set while commands of "when" run. The simulated clock must not advance then,
	// so the responses to their requests arrive later and are collected in triggerOutput.
	inTrigger     bool
	triggerOutput []string
}

func (r *scenarioRunner) run(t *testing.T, d *datadriven.TestData) string {
	if d.Cmd != "start" && r.cluster == nil {
		d.Fatalf(t, "the first command must be start")
	}
	out := r.runCommand(t, d)
	if violations := r.cluster.Violations(); len(violations) > 0 {
		t.Errorf("%s: invariants violated:\n%s", d.Pos, strings.Join(violations, "\n"))
	}
	return out
}

// arg returns the values of the argument with a key, joined by commas, "true" if it has none, or
// defaultValue if there is no such argument.
func arg(d *datadriven.TestData, key, defaultValue string) string {
	for _, a := range d.CmdArgs {
		if a.Key == key {
			if len(a.Vals) == 0 {
				return "true"
			}
			return strings.Join(a.Vals, ",")
		}
	}
	return defaultValue
}

func numberArg(t *testing.T, d *datadriven.TestData, key, defaultValue string) float64 {
	v, err := strconv.ParseFloat(arg(d, key, defaultValue), 64)
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

// firstArg returns the first argument, which is positional: its key is its value.
func firstArg(t *testing.T, d *datadriven.TestData) string {
	if len(d.CmdArgs) == 0 {
		d.Fatalf(t, "%s needs an argument", d.Cmd)
	}
	return d.CmdArgs[0].Key
}

// controllerIndex finds a controller by name, the leader by "leader", or the first running
// controller that doesn't lead by "follower".
func (r *scenarioRunner) controllerIndex(t *testing.T, d *datadriven.TestData, name string) int {
	switch name {
	case "leader":
		i := r.cluster.Leader()
		if i < 0 {
			d.Fatalf(t, "there is no leader")
		}
		return i
	case "follower":
		for i, n := range r.cluster.controllers {
			if i != r.cluster.Leader() && n.core != nil {
				return i
			}
		}
		d.Fatalf(t, "there is no running follower")
	}
	for i, n := range r.cluster.controllers {
		if n.name == name {
			return i
		}
	}
	d.Fatalf(t, "there is no controller %q", name)
	return -1
}

// findMachine finds a machine by name, or by "job/task" one that runs this task.
func (r *scenarioRunner) findMachine(t *testing.T, d *datadriven.TestData, name string) *machine {
	if job, task, ok := strings.Cut(name, "/"); ok {
		i, _ := strconv.Atoi(task)
		if j := r.cluster.jobs[job]; j != nil {
			for w := range j.runningOn[i] {
				return w.machine
			}
		}
		d.Fatalf(t, "task %s runs on no machine", name)
	}
	for _, h := range r.cluster.cloud.machines {
		if h.name == name {
			return h
		}
	}
	d.Fatalf(t, "there is no machine %q", name)
	return nil
}

// sendAndWait sends a request and advances the clock until it has a result. Within a trigger it
// doesn't wait, and the result is kept for the command "trigger_output" instead.
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

// parseTriggeredCommands parses the commands in the input of "when", one a line. Commands that
// advance the clock are not allowed there.
func parseTriggeredCommands(t *testing.T, d *datadriven.TestData) (list []*datadriven.TestData) {
	t.Helper()
	for line := range strings.Lines(d.Input) {
		cmd, args, err := datadriven.ParseLine(line)
		if err != nil || cmd == "" || cmd == "advance" || cmd == "unanswered" {
			d.Fatalf(t, "%q is malformed or can't run in a trigger", line)
		}
		list = append(list, &datadriven.TestData{Pos: d.Pos, Cmd: cmd, CmdArgs: args})
	}
	return list
}

// triggerPoints are the trigger points of "when", by the names in scenario files.
var triggerPoints = map[string]triggerPoint{"write": onWrite, "answer-lost": onLostReply, "leader": onLeader, "heartbeat": onHeartbeat, "done": onJobDone}

// runWhen handles "when before|after POINT [TARGET] [in=D] [passes=N]". Its input is a list of
// commands, one a line. They run once, right before or after the trigger point is reached, or D
// later, after it has been passed N times. POINT with TARGET is one of write KEYPREFIX,
// answer-lost, leader, heartbeat NODE, heartbeat NODE/MACHINE or done JOB.
func (r *scenarioRunner) runWhen(t *testing.T, d *datadriven.TestData) string {
	if len(d.CmdArgs) < 2 || triggerPoints[d.CmdArgs[1].Key] == 0 || d.CmdArgs[0].Key != "before" && d.CmdArgs[0].Key != "after" {
		d.Fatalf(t, "when needs before or after, and a trigger point")
	}
	point, target := triggerPoints[d.CmdArgs[1].Key], ""
	if len(d.CmdArgs) > 2 && d.CmdArgs[2].Key != "in" && d.CmdArgs[2].Key != "passes" {
		target = d.CmdArgs[2].Key
	}
	if point == onHeartbeat && target != "" {
		name, machine, hasMachine := strings.Cut(target, "/")
		if target = r.cluster.controllers[r.controllerIndex(t, d, name)].name; hasMachine {
			target += "/" + machine
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
	delay, skip := parseDuration(t, d, arg(d, "in", "0s")), int(numberArg(t, d, "passes", "0"))
	r.cluster.onNth(point, target, d.CmdArgs[0].Key == "before", skip, func() {
		if delay > 0 {
			r.cluster.after(delay, run)
			return
		}
		run()
	})
	return ""
}

// scenarioCommands are the handlers of the commands in scenario files, by command name.
var scenarioCommands map[string]func(r *scenarioRunner, t *testing.T, d *datadriven.TestData) string

func init() {
	// Set here, as an initializer would be an initialization cycle: "when" runs other commands.
	scenarioCommands = map[string]func(r *scenarioRunner, t *testing.T, d *datadriven.TestData) string{
		"start":              (*scenarioRunner).runStart,
		"advance":            (*scenarioRunner).runAdvance,
		"submit":             (*scenarioRunner).runSubmit,
		"poll":               (*scenarioRunner).runPoll,
		"cancel":             (*scenarioRunner).runCancel,
		"cancel_now":         (*scenarioRunner).runCancelNow,
		"cancel_at_end":      (*scenarioRunner).runCancelAtEnd,
		"invalid_requests":   (*scenarioRunner).runInvalidRequests,
		"query_after_change": (*scenarioRunner).runQueryAfterChange,
		"crash_leaders":      (*scenarioRunner).runCrashLeaders,
		"quiesce":            (*scenarioRunner).runQuiesce,
		"when":               (*scenarioRunner).runWhen,
		"trigger_output":     (*scenarioRunner).runTriggerOutput,
		"request":            (*scenarioRunner).runRequest,
		"crash":              (*scenarioRunner).runCrash,
		"restart":            (*scenarioRunner).runRestart,
		"power_off":          (*scenarioRunner).runPowerOff,
		"drain":              (*scenarioRunner).runDrain,
		"drained":            (*scenarioRunner).runDrained,
		"setting":            (*scenarioRunner).runSetting,
		"check_ceiling":      (*scenarioRunner).runCheckCeiling,
		"migrations":         (*scenarioRunner).runMigrations,
		"shares":             (*scenarioRunner).runShares,
		"shards":             (*scenarioRunner).runShards,
		"shard_counts":       (*scenarioRunner).runShardCounts,
		"reply_intervals":    (*scenarioRunner).runReplyIntervals,
		"freeze":             (*scenarioRunner).runFreeze,
		"thaw":               (*scenarioRunner).runThaw,
		"query_storm":        (*scenarioRunner).runQueryStorm,
		"long_unanswered":    (*scenarioRunner).runLongUnanswered,
		"state":              (*scenarioRunner).runState,
		"cloud":              (*scenarioRunner).runCloud,
		"machine":            (*scenarioRunner).runMachine,
		"cut":                (*scenarioRunner).runCut,
		"isolate":            (*scenarioRunner).runIsolate,
		"links":              (*scenarioRunner).runLinks,
		"heal":               (*scenarioRunner).runHeal,
		"duplicates":         (*scenarioRunner).runDuplicates,
		"stream":             (*scenarioRunner).runStream,
		"starved":            (*scenarioRunner).runStarved,
		"unanswered":         (*scenarioRunner).runUnanswered,
		"rent":               (*scenarioRunner).runRent,
		"has_leader":         (*scenarioRunner).runHasLeader,
		"show":               (*scenarioRunner).runShow,
		"show_count":         (*scenarioRunner).runShowCount,
		"machine_counts":     (*scenarioRunner).runMachineCounts,
		"job_starts":         (*scenarioRunner).runJobStarts,
	}
}

func (r *scenarioRunner) runCommand(t *testing.T, d *datadriven.TestData) string {
	run := scenarioCommands[d.Cmd]
	if run == nil {
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
	return run(r, t, d)
}

// runStart handles "start [OPTION=VALUE]...": it replaces the cluster by a new one.
func (r *scenarioRunner) runStart(t *testing.T, d *datadriven.TestData) string {
	o := Options{Seed: uint64(numberArg(t, d, "seed", "1")), Controllers: int(numberArg(t, d, "nodes", "3")),
		Machines: int(numberArg(t, d, "machines", "4")), Capacity: int(numberArg(t, d, "capacity", "20")),
		Zones: strings.Split(arg(d, "zones", "a"), ","), LargeFleet: arg(d, "fleet", "") != "",
		ShardsPerController: int(numberArg(t, d, "shards", "0")), Headroom: numberArg(t, d, "headroom", "0"),
		TeamCPULimit: numberArg(t, d, "limit", "0"), EventCost: parseDuration(t, d, arg(d, "cost", "0s"))}
	if arg(d, "ceiling", "") != "" {
		// ceiling=SHARE [queue=SECONDS] [trade=SECONDS] [moves [margin=N]] turns on balancing.
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

// runPoll handles "poll JOB [node=NODE] [short]": it queries a controller for a job.
func (r *scenarioRunner) runPoll(t *testing.T, d *datadriven.TestData) string {
	controller := r.controllerIndex(t, d, arg(d, "node", "leader"))
	return r.sendAndWait(d, func(done func(string)) {
		r.cluster.Query(controller, firstArg(t, d), func(status int, text string) {
			if arg(d, "short", "") != "" { // without the numbers of tasks
				text, _, _ = strings.Cut(text, " ")
			}
			done(fmt.Sprintf("%d %s", status, text))
		})
	})
}

func (r *scenarioRunner) runCancel(t *testing.T, d *datadriven.TestData) string {
	controller := r.controllerIndex(t, d, arg(d, "node", "leader"))
	return r.sendAndWait(d, func(done func(string)) {
		r.cluster.CancelJob(controller, firstArg(t, d), func(status int, state string) { done(fmt.Sprintf("%d %s", status, state)) })
	})
}

func (r *scenarioRunner) runQuiesce(_ *testing.T, _ *datadriven.TestData) string {
	r.cluster.BeginQuiescence()
	return ""
}

// runRequest handles "request METHOD TARGET [node=NODE]" with the body as input.
func (r *scenarioRunner) runRequest(t *testing.T, d *datadriven.TestData) string {
	if len(d.CmdArgs) < 2 {
		d.Fatalf(t, "request needs a method and a target")
	}
	controller := r.controllerIndex(t, d, arg(d, "node", "leader"))
	return r.sendAndWait(d, func(done func(string)) {
		r.cluster.userRequest(controller, d.CmdArgs[0].Key, d.CmdArgs[1].Key, []byte(d.Input), func(status int, body []byte) {
			done(fmt.Sprintf("%d %s", status, body))
		})
	})
}

func (r *scenarioRunner) runDrain(t *testing.T, d *datadriven.TestData) string {
	n := r.cluster.controllers[r.controllerIndex(t, d, firstArg(t, d))]
	n.runWhenIdle(func() { n.applyEffects(n.core.Drain(r.cluster.now)) })
	return n.name
}

// runSetting handles "setting shards=N": it sets the shards per controller for controllers that
// start from now on. 0 turns sharding off.
func (r *scenarioRunner) runSetting(t *testing.T, d *datadriven.TestData) string {
	r.cluster.setShards(int(numberArg(t, d, "shards", "0")))
	return ""
}

// runStream handles "stream FROM COUNT [every=D] [cancel=N] [insist] ...": it submits COUNT jobs
// one after the other, numbered from FROM.
func (r *scenarioRunner) runStream(t *testing.T, d *datadriven.TestData) string {
	return r.submitStream(t, d)
}

// runRent handles "rent [type=T] [zone=Z]": the cloud starts a machine that no controller has
// requested.
func (r *scenarioRunner) runRent(_ *testing.T, d *datadriven.TestData) string {
	r.cluster.cloud.startMachine(arg(d, "type", "small"), arg(d, "zone", "a"), false, time.Second)
	return ""
}

// runSubmit handles "submit JOB [node=NODE] ..." with the job's properties as arguments.
func (r *scenarioRunner) runSubmit(t *testing.T, d *datadriven.TestData) string {
	spec, run := r.jobSpec(t, d, firstArg(t, d))
	controller := r.controllerIndex(t, d, arg(d, "node", "leader"))
	return r.sendAndWait(d, func(done func(string)) {
		r.cluster.Submit(controller, spec, run, arg(d, "bad", "") != "", func(status int, state string) { done(fmt.Sprintf("%d %s", status, state)) })
	})
}

// submitStream submits jobs at intervals, whatever the responses are. With cancel=N, one in N is
// cancelled at a random time up to a second after it should have ended. With insist, each
// submission is repeated until it gets a final response.
func (r *scenarioRunner) submitStream(t *testing.T, d *datadriven.TestData) string {
	if len(d.CmdArgs) < 2 {
		d.Fatalf(t, "stream needs the number of its first job and a count")
	}
	from, _ := strconv.Atoi(d.CmdArgs[0].Key)
	count, _ := strconv.Atoi(d.CmdArgs[1].Key)
	every, bad := parseDuration(t, d, arg(d, "every", "1s")), arg(d, "bad", "") != ""
	cancel, insist := int(numberArg(t, d, "cancel", "0")), arg(d, "insist", "") != ""
	for i := range count {
		spec, run := r.jobSpec(t, d, fmt.Sprintf("run-%06d", from+i))
		r.cluster.after(time.Duration(i)*every, func() {
			if insist {
				r.cluster.retryUntilAnswered(func(controller int, done func(int, string)) { r.cluster.Submit(controller, spec, run, bad, done) })
			} else if controller := r.cluster.Leader(); controller >= 0 {
				r.cluster.Submit(controller, spec, run, bad, func(int, string) {})
			}
			if cancel > 0 && i%cancel == 0 {
				r.cluster.after(time.Duration(r.cluster.rng.Int64N(int64(run+time.Second))), func() { r.cluster.retryCancel(spec.ID) })
			}
		})
	}
	return ""
}

// jobSpec builds a job from a command's arguments. The duration is the run time of its tasks.
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
