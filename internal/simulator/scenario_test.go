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

// TestScenarios runs the scenario files in testdata, each on its own simulated clusters. A command
// after which an invariant is violated fails the test, whatever output the file expects.
// SCENARIO_LOG=1 shows the logs of the clusters, and with the flag -rewrite the test writes the actual
// outputs into the files.
//
// # Files
//
// A scenario file consists of comments, which begin with #, and of commands. A command is one line:
// its name, positional arguments, and options in any order, as OPTION=VALUE or as OPTION alone. Only
// request and when take further lines as input. The line "----" ends the command; the expected output
// follows, up to an empty line.
//
// The clock stands still between commands. It advances during advance and unanswered, and while
// submit, poll, cancel and request wait for the response. These four print its status, 0 if there is
// none within five seconds, and what the response says. A fault lasts until a command ends it, unless
// stated otherwise below.
//
// D stands for a duration such as 500ms, SHARE for a fraction from 0 to 1, and [X=Y] for an option
// with its default Y. JOB is an ID such as run-000001. NODE is a controller: node-0, node-1 and so on,
// "leader", or "follower" for the first running controller that doesn't lead. MACHINE is a machine:
// vm-000000, vm-000001 and so on in the order of creation, or JOB/TASK for one that runs this task.
//
// # Start
//
// The command start must be the first. It starts a new cluster, also in place of an earlier one.
//
//	start [OPTION=VALUE]...
//	nodes=3         number of controllers
//	machines=4      number of on-demand machines of type "small" at the start
//	capacity=20     machines that can run per type, zone, and on-demand or spot
//	zones=a         zones, separated by commas; controllers and machines are spread over them
//	seed=1          seed of the random numbers
//	fleet           settings for a fleet of a thousand machines: heartbeats every 4 s, worker leases
//	                of 28 s, cancelled jobs end within 48 s; otherwise 2 s, 15 s and 40 s
//	limit=CPUS      CPU limit of the teams red and blue: 64 and 32 without this option, 6000 each with
//	                fleet. Each has a guarantee of 16 CPUs, or 2000 with fleet; the team guest has
//	                neither limit nor guarantee
//	cost=0s         processor time that a controller needs for each event
//	shards=0        shards per controller; 0: the leader serves all machines
//	headroom=0      free capacity to keep, as a share of the capacity in use; 0: the default
//	ceiling=SHARE   turns balancing on: the share of a machine that a surging team may use
//	queue=20        with ceiling: seconds of image fetching that may queue on a machine
//	trade=2         with ceiling: seconds of image fetching accepted for a less loaded machine
//	moves           with ceiling: running tasks may migrate
//	margin=1.5      with ceiling: least ratio of the time that a migration saves to its cost
//
// Machines of type small have 4 CPUs and 16 GB, those of type large 16 CPUs and 128 GB.
//
// # Time and triggers
//
//	advance D                 advance the clock
//	when before|after POINT [TARGET] [in=0s] [passes=0]
//	                          run the commands in the input, one a line, at a trigger point, once
//	trigger_output            print the results of commands of when since the last trigger_output
//
// The trigger points, with the targets that they can be limited to:
//
//	write KEYPREFIX           a transaction that writes or deletes such a key is applied: b/q/JOB is
//	                          the record of an unfinished job, b/f/JOB its final state, c/JOB/ its
//	                          tasks, m/ groups of machines, s/o/ owners of shards (package records)
//	answer-lost               a transaction is applied and its response lost (state lost)
//	leader                    the leader key is written; the new leader learns of its election some
//	                          milliseconds later
//	heartbeat NODE[/MACHINE]  a heartbeat arrives at the controller, of the machine with that name
//	done JOB                  the last task of the job completes
//
// The commands run right before or right after the event at the trigger point. With passes=N they
// ignore the first N events that match and run at the next one. With in=D they run D later than they
// would otherwise, so that after "before", too, the event has taken place by then. The commands advance
// and unanswered can't be used in when, as the clock can't advance there, and request has no body. A
// trigger point that is never reached is not an error.
//
// # Users
//
//	submit JOB [node=leader] [PROPERTY]...
//	                          submit a job
//	stream FROM COUNT [every=1s] [cancel=N] [insist] [PROPERTY]...
//	                          submit COUNT jobs, run-FROM and following, at intervals, to the leader;
//	                          while there is none, they are not submitted. insist: submit to random
//	                          controllers, repeatedly until the response is final or a minute has
//	                          passed. cancel=N: cancel the first of every N jobs, up to the run time
//	                          of a task plus one second after it is submitted
//	poll JOB [node=leader] [short]
//	                          query a job; short: without the numbers of tasks
//	cancel JOB [node=leader]  cancel a job
//	request METHOD TARGET [node=leader]
//	                          send any request, with the input as its body
//	cancel_now COUNT [hang=0s]
//	                          cancel up to COUNT random jobs with long remaining run time; hang: up to
//	                          eight of their machines hang for this time
//	cancel_at_end SHARE       from now on cancel this share of the jobs as they complete
//	invalid_requests COUNT [every=500ms]
//	                          send invalid and repeated requests COUNT times
//	query_storm COUNT [over=10s]
//	                          send COUNT queries for random jobs, spread over this time
//	query_after_change on|off from now on query all controllers right after each change of a job
//
// The properties of jobs:
//
//	team=red class=class priority=standard|critical|urgent|low
//	tasks=1                   number of tasks
//	cpus=1 mem=2              CPUs and memory (GB) of each task
//	run=10s                   run time of each task, which is also the user's estimate
//	service                   a service, whose tasks run until it is cancelled, not a batch job
//	image=img-01 gb=1         name and size (GB) of the image
//	types=T,... zone=Z spot   allowed machine types and zone (all if not given); allow spot machines
//	oneZone, spread           all tasks in one zone; at most half of them, rounded up, in each zone
//	checkpoint=0s save=0s     interval and duration of checkpoints; 0s: tasks write none
//	bad                       every task fails, on every machine
//
// # Controllers
//
//	crash NODE|all            end the process
//	restart NAME|all          start controllers that are down; NAME is node-0 and so on
//	power_off NODE            end the process; until restart the host doesn't refuse connections
//	freeze NODE, thaw         suspend the process; resume all, which handle what arrived meanwhile
//	drain NODE                let the controller hand over its leadership and shards
//	crash_leaders COUNT [every=12s] [down=300ms]
//	                          crash the leader COUNT times; each restarts after the time down
//	setting shards=N          shards per controller, for controllers that start from now on
//
// # Machines and the cloud
//
// The machine faults apply to one machine, or with machines:N to each of the first N that run:
//
//	machine hang|resume MACHINE
//	                          the machine does nothing, but its lease expires; it goes on. resume
//	                          prints "gone" if the machine has ended
//	machine fail|terminate MACHINE
//	                          the machine fails, or the cloud terminates it
//	machine notice MACHINE [in=20s]
//	                          it gets a preemption notice and is terminated after this time
//	machine fail_tasks MACHINE
//	                          all tasks that start there fail from now on
//	machine lose_heartbeats|restore_heartbeats MACHINE
//	                          its heartbeats reach no controller, direct commands reach it
//	machine reboot MACHINE    it ends its tasks and starts a new incarnation
//	rent [type=small] [zone=a]
//	                          a machine starts that no controller has requested
//
//	cloud down                requests get status 503
//	cloud late [by=5s]        machines are provisioned and terminated later, without a response
//	cloud never               new machines never boot
//	cloud boots [factor=1] [dead=0] [answers=0s]
//	                          multiply boot times; share of new machines that never boot; delay of
//	                          the responses to requests for machines
//	cloud up                  end these faults
//
// # State service
//
//	state down                requests get status 503, and leases don't expire
//	state refuse [node=leader]
//	                          requests of this controller get status 503
//	state late [by=2s] [more=0s] [share=SHARE]
//	                          transactions are applied by to by+more later, without a response: this
//	                          share of them, all without share
//	state lost [share=0.33]   this share of transactions is applied at once, without a response
//	state slow [by=2s] [share=0.33]
//	                          this share of requests takes up to by longer
//	state slow [by=2s] watches
//	                          responses to watches take by longer
//	state up                  end all of these faults
//	state usage               print the writes (changes=) and the rate-limited requests (limited=)
//	                          since the start or the last state usage
//
// # Network
//
// HOST is a NODE, a MACHINE, state, cloud or users; or several hosts: nodes, machines, machines:N
// (the first N that run), or the controllers and machines in one zone: zone:Z, zone:leader (the
// leader's zone), zone:others (all zones but the leader's).
//
//	cut HOST HOST [hold] [oneway] [reset]
//	                          lose all messages between them. hold: deliver them when the cut ends.
//	                          oneway: only those from the first to the second. reset: connections
//	                          from the first to the second fail at once, instead
//	isolate NODE [refused]    cut a controller off from the other controllers and the state service;
//	                          refused: the state service refuses it instead, until state up
//	heal [HOST HOST]          end all cuts, or those between two hosts
//	links [slow=0s]           every message takes up to slow longer
//	duplicates on|off [reports=0s] [next=0]
//	                          on: deliver direct commands again 30 s later. reports=D: deliver
//	                          heartbeats again, one second and up to D later. next=SHARE: keep copies
//	                          of this share of heartbeats (three of each machine at most) and deliver
//	                          them when the next leader is elected
//
// # Checks
//
//	quiesce                   declare all faults over: from now on queries must be answered, no job
//	                          may wait despite free capacity, and workers must get replies
//	check_ceiling TEAM share=SHARE
//	                          from now on the team may exceed this share of a machine only if no
//	                          other machine has room below it; 0 ends the check
//	unanswered                query every running controller for every accepted job that is not
//	                          cancelled; print the queries that don't succeed
//	long_unanswered           jobs whose queries got no answer for longer than maxTimeUnanswered
//	starved                   see Cluster.Starved
//	has_leader                "one" or "nobody"
//	show, show_count          running tasks by job and kind of machine; numbers of jobs and tasks
//	machine_counts            running machines by type, zone, and on-demand or spot
//	job_starts JOB            starts, completions and failures of the job's tasks
//	migrations                migrated tasks on record, and stop orders carried out
//	shares TEAM               shares of machines that the team uses
//	shards, shard_counts      the owner of each shard; numbers of shards by owner
//	drained NODE              whether the controller neither leads nor serves workers
//	reply_intervals [reset]   times between two responses to a worker; reset: forget those so far
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		r := &scenarioRunner{t: t}
		datadriven.RunTest(t, path, r.run)
	})
}

// TestLongScenarios runs the scenario files in testdata_long, which take minutes, like TestScenarios.
// It is skipped unless SCENARIO_LONG is set.
func TestLongScenarios(t *testing.T) {
	if os.Getenv("SCENARIO_LONG") == "" {
		t.Skip("set SCENARIO_LONG to run them")
	}
	datadriven.Walk(t, "testdata_long", func(t *testing.T, path string) {
		r := &scenarioRunner{t: t}
		datadriven.RunTest(t, path, r.run)
	})
}

// scenarioRunner carries out the commands of a scenario file, which TestScenarios describes, on a
// simulated cluster.
type scenarioRunner struct {
	t       *testing.T
	cluster *Cluster
	// inTrigger is set while commands of "when" run. They run within a step of the simulated clock,
	// which must not advance then, so the responses to their requests arrive later and are collected
	// in triggerOutput.
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

// sendAndWait sends a request and advances the clock until it has a result, which is status 0 after
// userTimeout; the limit of 6 s is above that. Within a trigger it doesn't wait, and the result is
// kept for the command "trigger_output" instead.
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

// parseTriggeredCommands parses the commands in the input of "when", one a line. The commands that
// advance the clock are not allowed there: advance, and unanswered, which waits for the responses to
// its queries. Those that use sendAndWait don't wait in a trigger.
func parseTriggeredCommands(t *testing.T, d *datadriven.TestData) (list []*datadriven.TestData) {
	t.Helper()
	for line := range strings.Lines(d.Input) {
		cmd, args, err := datadriven.ParseLine(line)
		if err != nil || cmd == "" || cmd == "advance" || cmd == "unanswered" {
			d.Fatalf(t, "command %q is malformed or not allowed in when", line)
		}
		list = append(list, &datadriven.TestData{Pos: d.Pos, Cmd: cmd, CmdArgs: args})
	}
	return list
}

// triggerPoints are the trigger points of "when", by the names in scenario files.
var triggerPoints = map[string]triggerPoint{"write": onWrite, "answer-lost": onLostReply, "leader": onLeader, "heartbeat": onHeartbeat, "done": onJobDone}

// runWhen handles "when before|after POINT [TARGET] [in=D] [passes=N]": the commands in its input run
// once, at the match of the trigger point that follows the first N matches, either right before or
// after it, or D after that moment.
func (r *scenarioRunner) runWhen(t *testing.T, d *datadriven.TestData) string {
	if len(d.CmdArgs) < 2 || triggerPoints[d.CmdArgs[1].Key] == 0 || d.CmdArgs[0].Key != "before" && d.CmdArgs[0].Key != "after" {
		d.Fatalf(t, "when needs \"before\" or \"after\", and a trigger point")
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

// runStart handles "start [OPTION=VALUE]...": it starts a cluster, in place of an earlier one.
func (r *scenarioRunner) runStart(t *testing.T, d *datadriven.TestData) string {
	o := Options{Seed: uint64(numberArg(t, d, "seed", "1")), Controllers: int(numberArg(t, d, "nodes", "3")),
		Machines: int(numberArg(t, d, "machines", "4")), Capacity: int(numberArg(t, d, "capacity", "20")),
		Zones: strings.Split(arg(d, "zones", "a"), ","), LargeFleet: arg(d, "fleet", "") != "",
		ShardsPerController: int(numberArg(t, d, "shards", "0")), Headroom: numberArg(t, d, "headroom", "0"),
		TeamCPULimit: numberArg(t, d, "limit", "0"), EventCost: parseDuration(t, d, arg(d, "cost", "0s"))}
	if arg(d, "ceiling", "") != "" {
		// ceiling turns balancing on; queue, trade, moves and margin have an effect only with it.
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

// runPoll handles "poll JOB [node=NODE] [short]": it queries a controller for a job. With short it
// prints no numbers of tasks.
func (r *scenarioRunner) runPoll(t *testing.T, d *datadriven.TestData) string {
	controller := r.controllerIndex(t, d, arg(d, "node", "leader"))
	return r.sendAndWait(d, func(done func(string)) {
		r.cluster.Query(controller, firstArg(t, d), func(status int, text string) {
			if arg(d, "short", "") != "" {
				text, _, _ = strings.Cut(text, " ")
			}
			done(fmt.Sprintf("%d %s", status, text))
		})
	})
}

// runCancel handles "cancel JOB [node=NODE]".
func (r *scenarioRunner) runCancel(t *testing.T, d *datadriven.TestData) string {
	controller := r.controllerIndex(t, d, arg(d, "node", "leader"))
	return r.sendAndWait(d, func(done func(string)) {
		r.cluster.CancelJob(controller, firstArg(t, d), func(status int, state string) { done(fmt.Sprintf("%d %s", status, state)) })
	})
}

// runQuiesce handles "quiesce": it declares all faults over, so that further invariants are checked
// from now on (see BeginQuiescence).
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

// runDrain handles "drain NODE": the controller hands over its leadership and its shards.
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

// runStream handles "stream FROM COUNT [every=D] [cancel=N] [insist] [PROPERTY]...": it submits COUNT
// jobs at intervals, numbered from FROM.
func (r *scenarioRunner) runStream(t *testing.T, d *datadriven.TestData) string {
	return r.submitStream(t, d)
}

// runRent handles "rent [type=T] [zone=Z]": the cloud starts a machine that no controller has
// requested.
func (r *scenarioRunner) runRent(_ *testing.T, d *datadriven.TestData) string {
	r.cluster.cloud.startMachine(arg(d, "type", "small"), arg(d, "zone", "a"), false, time.Second)
	return ""
}

// runSubmit handles "submit JOB [node=NODE] [PROPERTY]...". For the properties see jobSpec; with bad,
// all tasks of the job fail.
func (r *scenarioRunner) runSubmit(t *testing.T, d *datadriven.TestData) string {
	spec, run := r.jobSpec(t, d, firstArg(t, d))
	controller := r.controllerIndex(t, d, arg(d, "node", "leader"))
	return r.sendAndWait(d, func(done func(string)) {
		r.cluster.Submit(controller, spec, run, arg(d, "bad", "") != "", func(status int, state string) { done(fmt.Sprintf("%d %s", status, state)) })
	})
}

// submitStream submits jobs to the leader at intervals, whatever the responses are; a job that is due
// while there is no leader is not submitted. With cancel=N, the first of every N jobs is cancelled
// at a random time up to its run time and one second after its submission. With insist, each job
// is submitted to random controllers until the response is final (see retryUntilAnswered).
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

// jobSpec builds a job from the properties among a command's arguments. It also returns the run time
// of the job's tasks.
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
