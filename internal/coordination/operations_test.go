package coordination

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"brasskeel/internal/config"
	"brasskeel/internal/coordination/autoscaler"
	"brasskeel/internal/coordination/overload"
	"brasskeel/internal/coordination/peers"
	"brasskeel/internal/coordination/quarantine"
	"brasskeel/internal/coordination/queue"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// Tests of problems that occur in operation: faulty jobs and machines, overdue boots, thousands of
// status queries, teams without a guarantee, starvation, overload, and missing logs.

// addTestJob adds a batch job of team red with ten tasks of one CPU, as modified by change.
func addTestJob(l *leader, id string, change func(*protocol.Job)) *job {
	spec := &protocol.Job{ID: id, Class: "c", Team: "red", Kind: protocol.Batch, Priority: protocol.Standard, Tasks: 10, CPUs: 1,
		MemoryGB: 1, Image: "a", ImageGB: 1, AllowSpot: true, EstimatedRuntime: 30 * time.Second}
	change(spec)
	l.addJob(&records.Job{SubmittedAt: records.UnixMillis(l.controller.now), BlockSize: 96, Spec: spec})
	return l.jobs[id]
}

// addTestMachine adds a spot machine with four CPUs. If it is up, it is recorded and its worker is
// registered and in contact; otherwise it is booting.
func addTestMachine(l *leader, name string, up bool) *machine {
	m := l.newMachine(name, "small", "a", true)
	if up {
		m.session.Registered, m.recorded, m.session.LastSeen, m.session.LastAnswered, m.session.LastReached, m.session.Incarnation, m.addr = true, true, l.controller.now, l.controller.now, l.controller.now, 1, "x"
	}
	return m
}

// failTask places a job's next pending task on a machine and makes the attempt fail.
func failTask(l *leader, m *machine, j *job) {
	a := &attempt{job: j, taskIndex: j.nextPendingTask(), machine: m, recorded: true}
	j.popPendingTask()
	l.attach(a)
	l.attemptFailed(m, a)
	l.detach(a, "test")
}

// A machine isn't quarantined because of jobs that fail everywhere, however many of them fail on it.
// It is quarantined after failures of two jobs that are known to work elsewhere.
func TestQuarantinesMachineOnlyForWorkingJobs(t *testing.T) {
	for _, works := range []bool{false, true} {
		c, l := newTestLeader(phaseActive)
		m := addTestMachine(l, "vm-1", true)
		addTestMachine(l, "vm-2", true)
		for i := range 5 {
			failTask(l, m, addTestJob(l, fmt.Sprintf("run-%06d", i), func(*protocol.Job) {}))
		}
		if m.quarantined {
			t.Fatal("machine quarantined after failures of five jobs that never ran anywhere")
		}
		for i := range 2 {
			j := addTestJob(l, fmt.Sprintf("run-%06d", 10+i), func(*protocol.Job) {})
			if works { // its tasks run on another machine
				l.taskStartedRunning(j)
				c.now = c.now.Add(quarantine.MinRunTime)
			}
			failTask(l, m, j)
		}
		if m.quarantined != works {
			t.Errorf("after failures of two more jobs (working elsewhere: %t): quarantined %t, want %t", works, m.quarantined, works)
		}
	}
}

// A job that fails everywhere is tried with one task at a time, with increasing backoff. Once a
// task has run for a while, all of its tasks are placed.
func TestQuarantinedJobRunsTrials(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	l.teamUsage["red"] = &usage{}
	c.teams["red"].MaxCPUs = 100
	j := addTestJob(l, "run-000001", func(*protocol.Job) {})
	for i := range 4 {
		failTask(l, addTestMachine(l, fmt.Sprintf("vm-%d", i), true), j)
	}
	var last time.Duration
	for range 12 {
		c.now = j.backoffUntil
		for _, m := range l.fleetList {
			m.session.LastSeen, m.session.LastAnswered = c.now, c.now
		}
		l.runPlacementRound()
		if j.liveAttempts != 1 {
			t.Fatalf("%d tasks placed of a job that fails everywhere, want 1", j.liveAttempts)
		}
		for _, a := range j.block(0).unrecorded {
			l.attemptFailed(a.machine, a)
			l.detach(a, "test")
		}
		j.block(0).unrecorded = nil
		last = j.backoffUntil.Sub(c.now)
	}
	if last != quarantine.MaxTrialBackoff {
		t.Errorf("backoff %s after 12 trials, want %s", last, quarantine.MaxTrialBackoff)
	}
	c.now = j.backoffUntil
	for _, m := range l.fleetList {
		m.session.LastSeen, m.session.LastAnswered = c.now, c.now
	}
	l.runPlacementRound()
	l.taskStartedRunning(j)
	c.now = c.now.Add(quarantine.MinRunTime)
	l.runPlacementRound()
	if j.liveAttempts != j.Tasks {
		t.Errorf("%d of %d tasks placed after one ran for MinRunTime, want all", j.liveAttempts, j.Tasks)
	}
}

// Replicas that fail on faulty machines are restarted while other replicas of their job run. Tasks
// of a service are never done, so failures must not accumulate until the service is quarantined.
func TestServiceIsNotQuarantined(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	c.teams["red"].MaxCPUs = 100
	l.teamUsage["red"] = &usage{}
	for i := range 8 {
		addTestMachine(l, fmt.Sprintf("vm-%d", i), true)
	}
	j := addTestJob(l, "run-000001", func(j *protocol.Job) { j.Kind, j.Tasks = protocol.Service, 6 })
	l.runPlacementRound()
	for range 5 {
		for _, m := range l.fleetList[:3] {
			for _, a := range m.sortedAttempts() {
				a.recorded = true
				l.setTaskState(a, protocol.Running)
				l.attemptFailed(m, a)
				l.detach(a, "test")
			}
		}
		for _, m := range l.fleetList[3:] {
			for _, a := range m.sortedAttempts() {
				l.setTaskState(a, protocol.Running)
			}
		}
		c.now = c.now.Add(quarantine.MinTimeSinceFailure + time.Second)
		for _, m := range l.fleetList {
			m.session.LastSeen, m.session.LastAnswered = c.now, c.now
		}
		l.runPlacementRound()
		if j.liveAttempts != j.Tasks {
			t.Fatalf("%d of %d replicas placed after failures on three machines, want all", j.liveAttempts, j.Tasks)
		}
	}
}

// Machines whose boots are overdue are replaced once. When most boots are overdue, only some of the
// machines are replaced, and none is released. A new leader doesn't count inherited machines as
// overdue: they may have been up for a long time.
func TestOverdueBoots(t *testing.T) {
	newLeaderWithBoots := func(lateBoots, completedBoots int, inherited bool) (*Controller, *leader) {
		c, l := newTestLeader(phaseActive)
		c.teams["red"].MaxCPUs = 1000
		l.loadedAt = c.now
		for i := range lateBoots {
			m := addTestMachine(l, fmt.Sprintf("vm-%d", i), false)
			m.provisionedAt, m.inherited = c.now.Add(-45*time.Second), inherited
		}
		for i := range completedBoots {
			addTestMachine(l, fmt.Sprintf("vm-up-%d", i), true)
		}
		return c, l
	}
	for _, test := range []struct {
		lateBoots, completedBoots int
		inherited                 bool
		booting                   int // machines counted as booting
		released                  int // 45 s after provisioning; the boot timeout is 40 s, four times the usual boot time
	}{
		{lateBoots: 2, completedBoots: 8, booting: 0, released: 2},
		{lateBoots: 8, completedBoots: 2, booting: 6, released: 0},
		{lateBoots: 2, completedBoots: 8, inherited: true, booting: 0, released: 0},
		{lateBoots: 8, completedBoots: 2, inherited: true, booting: 0, released: 0},
	} {
		_, l := newLeaderWithBoots(test.lateBoots, test.completedBoots, test.inherited)
		l.autoscaler.unmetDemand = []demand{{job: addTestJob(l, "run-000001", func(*protocol.Job) {}), tasks: 1}}
		if got := len(l.bootingBins()); got != test.booting {
			t.Errorf("%+v: %d machines counted as booting, want %d", test, got, test.booting)
		}
		l.releaseOverdueBoots()
		released := 0
		for _, m := range l.fleetList {
			if m.lifecycle.releasing() {
				released++
			}
		}
		if released != test.released {
			t.Errorf("%+v: %d machines released, want %d", test, released, test.released)
		}
	}
}

// However many status queries arrive, a controller sends the state service a bounded number of
// status checks, the transactions that look up the outcomes of the queried jobs. For a job that a
// peer has announced as finished it sends none.
func TestStatusQueriesShareChecks(t *testing.T) {
	c, _ := newTestLeader(phaseActive)
	c.election.StepDown("test")
	c.takeEffects()
	checks, answered := 0, 0
	for i := range 2000 {
		c.now = c.now.Add(5 * time.Millisecond)
		e := c.Request(c.now, uint64(i), "GET", fmt.Sprintf("%s/run-%06d", protocol.PathJobs, i%30), nil)
		t := c.Tick(c.now)
		e.Calls, e.Replies = append(e.Calls, t.Calls...), append(e.Replies, t.Replies...)
		for k := 0; k < len(e.Calls); k++ {
			if call := e.Calls[k]; call.Target == protocol.PathTransactions {
				checks++
				r := c.Result(c.now, call.ID, Outcome{Answered: true, Status: 200, Body: protocol.EncodeRevision(1)})
				e.Replies, e.Calls = append(e.Replies, r.Replies...), append(e.Calls, r.Calls...)
			}
		}
		for _, r := range e.Replies {
			if r.Status == 404 { // none of them exists
				answered++
			}
		}
	}
	if most := int(c.cfg.StateRPS*10/statusCheckDivisor) + 2; checks > most || checks == 0 {
		t.Errorf("%d status checks in 10 s, want 1 to %d", checks, most)
	}
	if answered < 1900 {
		t.Errorf("%d of 2000 queries answered, want at least 1900", answered)
	}

	c.cfg.Peers = []config.Peer{{Name: "n1", Zone: "b"}}
	raw, err := json.Marshal(peers.Message{Sender: "n1", Done: map[string]int{"run-000999": 3}})
	if err != nil {
		t.Fatal(err)
	}
	c.PeerMessage(c.now, raw)
	e := c.Request(c.now, 9999, "GET", protocol.PathJobs+"/run-000999", nil)
	if len(e.Calls) != 0 || len(e.Replies) != 1 || e.Replies[0].Status != 200 {
		t.Errorf("query for a job that a peer announced as done: %+v, want a reply without a call", e)
	}
}

// Each submitted job takes one write from the leader's own write budget.
func TestSubmissionsSpendWriteBudget(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	before := l.writer.committer.Available()
	record := records.Encode(records.Job{SubmittedAt: records.UnixMillis(c.now), BlockSize: 96, Spec: benchJob(2)})
	l.applyJobRecord(records.KeyActive(benchJob(2).ID), record, true)
	if after := l.writer.committer.Available(); after != before-1 {
		t.Errorf("%g operations available, want one less than %g", after, before)
	}
}

// Submissions that arrive while a transaction is in flight share the next one. A submission whose job
// already exists doesn't keep the others from being accepted.
func TestSubmissionsShareTransactions(t *testing.T) {
	c, _ := newTestLeader(phaseActive)
	c.takeEffects()
	var calls []Call
	for i := range 5 {
		e := c.Request(c.now, uint64(i), "POST", protocol.PathJobs, protocol.EncodeJob(benchJob(2+i)))
		calls = append(calls, e.Calls...)
	}
	if len(calls) != 1 {
		t.Fatalf("%d calls for five submissions at once, want one until it is answered", len(calls))
	}
	e := c.Result(c.now, calls[0].ID, Outcome{Answered: true, Status: 200, Body: protocol.EncodeRevision(7)})
	if len(e.Replies) != 1 || len(e.Calls) != 1 || bytes.Count(e.Calls[0].Body, []byte(`"write"`)) != 4 {
		t.Fatalf("after the first submission is accepted: %d replies and %d calls, want one reply and one transaction with the other four submissions", len(e.Replies), len(e.Calls))
	}
	failed := protocol.EncodeFailedConditions([]string{records.KeyActive(benchJob(4).ID)}, 8)
	e = c.Result(c.now, e.Calls[0].ID, Outcome{Answered: true, Status: 409, Body: failed})
	again := 0
	for _, call := range e.Calls {
		if call.Target == protocol.PathTransactions {
			again = bytes.Count(call.Body, []byte(`"write"`))
		}
	}
	if again != 3 {
		t.Errorf("%d submissions written again after one of four failed its condition, want the three others", again)
	}
}

// No expensive machines are provisioned for opportunistic work, that is, for jobs of teams without a
// guarantee, except a single one once such a job has waited for StarvingAfter.
func TestOpportunisticPrice(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	c.teams["guest"] = &config.Team{Name: "guest", MaxCPUs: config.NoLimit}
	l.teamUsage["guest"] = &usage{}
	guest := addTestJob(l, "run-000001", func(j *protocol.Job) { j.Team = "guest" })
	other := addTestJob(l, "run-000002", func(*protocol.Job) {})
	expensive := autoscaler.Offer{Spec: c.types["small"], Zone: "a"} // twice the price of a spot machine
	if !l.overpriced(guest, expensive) || l.overpriced(other, expensive) || l.overpriced(guest, autoscaler.Offer{Spec: expensive.Spec, Zone: "a", Spot: true}) {
		t.Error("an on-demand machine must be overpriced for the team without a guarantee, and neither that machine for the other team nor a spot machine")
	}
	// Spot machines have run out.
	l.autoscaler.unavailableUntil[autoscaler.Offer{Spec: expensive.Spec, Zone: "a", Spot: true}.Key()] = c.now.Add(time.Hour)
	for _, test := range []struct {
		job      *job
		requests bool
	}{{guest, false}, {other, true}} {
		c.takeEffects()
		l.autoscaler.unmetDemand = []demand{{test.job, 4}}
		l.scaleOut()
		if requests := len(c.takeEffects().Calls) > 0; requests != test.requests {
			t.Errorf("team %s: expensive machines requested: %t, want %t", test.job.Team, requests, test.requests)
		}
	}
	c.now = c.now.Add(queue.StarvingAfter)
	clear(l.autoscaler.requested)
	l.autoscaler.unmetDemand = []demand{{guest, guest.Tasks}}
	l.autoscaler.unavailableUntil[autoscaler.Offer{Spec: expensive.Spec, Zone: "a", Spot: true}.Key()] = c.now.Add(time.Hour)
	c.takeEffects()
	l.scaleOut()
	if calls := c.takeEffects().Calls; len(calls) != 1 || !bytes.Contains(calls[0].Body, []byte(`"howMany":1}`)) {
		t.Errorf("%d calls for the starving job of a team without a guarantee, want one that requests one machine", len(calls))
	}
}

// Opportunistic tasks, those of teams without a guarantee, that save checkpoints are stopped on an
// expensive machine that is being consolidated, if nothing else runs on it, and aren't placed there
// again. Tasks of other teams run until they complete.
func TestOpportunisticWorkLeavesExpensiveMachines(t *testing.T) {
	for _, test := range []struct {
		team  string
		spot  bool
		stops bool // whether the task is stopped
	}{{"guest", false, true}, {"guest", true, false}, {"red", false, false}} {
		c, l := newTestLeader(phaseActive)
		c.teams["red"].MaxCPUs = 100
		c.teams["guest"] = &config.Team{Name: "guest", MaxCPUs: config.NoLimit}
		l.teamUsage["guest"], l.teamUsage["red"] = &usage{}, &usage{}
		m := l.newMachine("vm-1", "small", "a", test.spot)
		m.session.Registered, m.recorded, m.session.LastSeen, m.session.LastAnswered, m.session.LastReached, m.session.Incarnation, m.addr = true, true, c.now, c.now, c.now, 1, "x"
		j := addTestJob(l, "run-000001", func(j *protocol.Job) {
			j.Team, j.Tasks, j.CheckpointInterval, j.CheckpointDuration = test.team, 1, 30*time.Second, 3*time.Second
		})
		l.runPlacementRound()
		if len(m.attemptList) != 1 {
			t.Fatalf("%+v: not placed", test)
		}
		a := m.attemptList[0]
		a.recorded, a.delivery.Reported = true, true
		l.setTaskState(a, protocol.Running)
		c.now = c.now.Add(minOpportunisticRuntime + time.Second)
		m.session.LastSeen, m.session.LastAnswered, m.Consolidating = c.now, c.now, true
		l.scaleIn()
		if a.stopRequested != test.stops {
			t.Errorf("%+v: stop requested: %t, want %t", test, a.stopRequested, test.stops)
		}
		if test.stops {
			l.detach(a, "test")
			l.runPlacementRound()
			if j.liveAttempts != 0 {
				t.Errorf("%+v: placed on the expensive machine again", test)
			}
		}
	}
}

// The reasons why tasks are pending are logged at level info when they change and at intervals, and
// no more often.
func TestPendingReasonsAreLogged(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	var out bytes.Buffer
	c.log = slog.New(slog.NewTextHandler(&out, nil))
	c.teams["red"].MaxCPUs = 4
	l.teamUsage["red"] = &usage{}
	addTestJob(l, "run-000001", func(j *protocol.Job) { j.CPUs = 4 })
	lines := func(want string) int { return strings.Count(out.String(), want) }
	step := func(d time.Duration) {
		for range int(d / time.Second) {
			c.now = c.now.Add(time.Second)
			l.logPendingReasons()
		}
	}
	step(20 * time.Second)
	if lines("tasks pending") != 1 {
		t.Fatalf("logged %q in 20 s, want one line about pending tasks", out.String())
	}
	l.teamUsage["red"].cpus = 4
	step(60 * time.Second)
	if k := lines("team limit"); k < 2 || k > 4 {
		t.Errorf("the team limit is logged %d times in a minute, want 2 to 4: %s", k, out.String())
	}
	c.election.StepDown("test")
	for range 20 {
		c.now = c.now.Add(time.Second)
		c.logAvailability()
	}
	if k := lines("no leader known"); k != 1 {
		t.Errorf("the missing leader is logged %d times in 20 s, want once: %s", k, out.String())
	}
}

// A large task is placed although small tasks would use any capacity that becomes free: a machine is
// reserved for it once its job has waited for StarvingAfter.
func TestMachineIsReservedForStarvingJob(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	c.teams["red"].MaxCPUs = 100
	l.teamUsage["red"] = &usage{}
	m := addTestMachine(l, "vm-1", true)
	first := addTestJob(l, "run-000001", func(j *protocol.Job) { j.Tasks, j.CPUs = 1, 3 })
	l.runPlacementRound()
	large := addTestJob(l, "run-000002", func(j *protocol.Job) { j.Tasks, j.CPUs, j.Priority = 1, 4, protocol.Low })
	large.submitted = c.now.Add(-queue.StarvingAfter)
	small := addTestJob(l, "run-000003", func(*protocol.Job) {})
	l.runPlacementRound()
	if first.liveAttempts != 1 || small.liveAttempts != 0 {
		t.Fatalf("%d and %d live tasks of the other jobs, want 1 and 0 while a job is starving", first.liveAttempts, small.liveAttempts)
	}
	l.detach(m.attemptList[0], "test")
	first.retryQueue = nil
	l.runPlacementRound()
	if large.liveAttempts != 1 {
		t.Error("no task of the starving job was placed on the machine reserved for it")
	}
}

// An overloaded leader places critical tasks and defers the others. After it has lost its lease
// through overload, it campaigns with a longer one.
func TestOverloadedLeader(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	c.teams["red"].MaxCPUs = 100
	l.teamUsage["red"] = &usage{}
	for i := range 4 {
		addTestMachine(l, fmt.Sprintf("vm-%d", i), true)
	}
	rest := addTestJob(l, "run-000001", func(j *protocol.Job) { j.Tasks = 12 })
	critical := addTestJob(l, "run-000002", func(j *protocol.Job) { j.Tasks, j.Priority = 2, protocol.Critical })
	c.overload.Observe(c.now, 2*overload.OverloadThreshold)
	l.runPlacementRound()
	if critical.liveAttempts != 2 || rest.liveAttempts != 0 {
		t.Errorf("while overloaded: %d critical tasks and %d others placed, want 2 and 0", critical.liveAttempts, rest.liveAttempts)
	}
	c.overload.Observe(c.now, 0)
	l.runPlacementRound()
	if rest.liveAttempts != 12 {
		t.Errorf("%d of 12 tasks placed after the overload, want all", rest.liveAttempts)
	}
	base := c.operator.LeaderLease()
	c.overload.Observe(c.now, 2*overload.OverloadThreshold)
	c.election.StepDown("test")
	if got := c.election.CampaignTTL(); got != 4*base {
		t.Errorf("lease %s after one was lost through overload, want %s", got, 4*base)
	}
	c.now = c.now.Add(2 * time.Minute)
	if got := c.election.CampaignTTL(); got != base {
		t.Errorf("lease %s after two minutes, want %s", got, base)
	}
}
