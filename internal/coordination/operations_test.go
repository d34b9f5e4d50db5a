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

// What on-call met: jobs with a mistake, boots that are late, polls by the thousand,
// guests, and a service that said nothing.

func addTestJob(l *leader, id string, change func(*protocol.Job)) *job {
	spec := &protocol.Job{ID: id, Class: "c", Team: "red", Kind: protocol.Batch, Priority: protocol.Standard, Tasks: 10, CPUs: 1,
		MemoryGB: 1, Image: "a", ImageGB: 1, AllowSpot: true, EstimatedRuntime: 30 * time.Second}
	change(spec)
	l.addJob(&records.Job{SubmittedAt: records.UnixMillis(l.controller.now), BlockSize: 96, Spec: spec})
	return l.jobs[id]
}

func addTestMachine(l *leader, name string, up bool) *machine {
	m := l.newMachine(name, "small", "a", true)
	if up {
		m.session.Registered, m.recorded, m.session.LastSeen, m.session.LastAnswered, m.session.LastReached, m.session.Incarnation, m.addr = true, true, l.controller.now, l.controller.now, l.controller.now, 1, "x"
	}
	return m
}

// failTask lets one task of a job fail on a machine.
func failTask(l *leader, m *machine, j *job) {
	a := &attempt{job: j, taskIndex: j.nextPendingTask(), machine: m, recorded: true}
	j.popPendingTask()
	l.attach(a)
	l.attemptFailed(m, a)
	l.detach(a, "test")
}

// Jobs that fail everywhere cost no machine, however many meet on it; jobs that are
// known to work do when they fail there.
func TestQuarantinesMachineOnlyForWorkingJobs(t *testing.T) {
	for _, works := range []bool{false, true} {
		c, l := newTestLeader(phaseActive)
		m := addTestMachine(l, "vm-1", true)
		addTestMachine(l, "vm-2", true)
		for i := range 5 {
			failTask(l, m, addTestJob(l, fmt.Sprintf("run-%06d", i), func(*protocol.Job) {}))
		}
		if m.quarantined {
			t.Fatal("five jobs of which nothing is known cost a machine")
		}
		for i := range 2 {
			j := addTestJob(l, fmt.Sprintf("run-%06d", 10+i), func(*protocol.Job) {})
			if works { // tasks of it run elsewhere
				l.taskStartedRunning(j)
				c.now = c.now.Add(quarantine.MinRunTime)
			}
			failTask(l, m, j)
		}
		if m.quarantined != works {
			t.Errorf("two jobs that work elsewhere %t: faulty %t", works, m.quarantined)
		}
	}
}

// A job that fails everywhere is tried with one task at a time, ever more slowly, and
// all of it once a task runs for a while.
func TestQuarantinedJobRunsTrials(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	l.teamUsage["red"] = &usage{}
	c.teams["red"].CPUsMax = 100
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
			t.Fatalf("%d tasks placed of a job that fails everywhere", j.liveAttempts)
		}
		for _, a := range j.block(0).unrecorded {
			l.attemptFailed(a.machine, a)
			l.detach(a, "test")
		}
		j.block(0).unrecorded = nil
		last = j.backoffUntil.Sub(c.now)
	}
	if last != quarantine.MaxTrialBackoff {
		t.Errorf("after 12 trials %s until the next", last)
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
		t.Errorf("%d of %d tasks placed after one has run", j.liveAttempts, j.Tasks)
	}
}

// Replicas that faulty machines ended are started again although others of their job
// run: a service is never done, and what failed in its long life doesn't add up.
func TestServiceIsNotQuarantined(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	c.teams["red"].CPUsMax = 100
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
			t.Fatalf("%d of %d replicas placed after failures on three machines", j.liveAttempts, j.Tasks)
		}
	}
}

// Boots that are late are replaced once; when most are, only a part is, and none is
// given up soon. A new leader doesn't judge machines that may have been up for long.
func TestOverdueBoots(t *testing.T) {
	count := func(late, came int, inherited bool) (*Controller, *leader) {
		c, l := newTestLeader(phaseActive)
		c.teams["red"].CPUsMax = 1000
		l.loadedAt = c.now
		for i := range late {
			m := addTestMachine(l, fmt.Sprintf("vm-%d", i), false)
			m.provisionedAt, m.inherited = c.now.Add(-45*time.Second), inherited
		}
		for i := range came {
			addTestMachine(l, fmt.Sprintf("vm-up-%d", i), true)
		}
		return c, l
	}
	for _, test := range []struct {
		late, came int
		inherited  bool
		coming     int
		returned   int // of 45 s after the rental, when four times the usual time is 40 s
	}{
		{late: 2, came: 8, coming: 0, returned: 2},
		{late: 8, came: 2, coming: 6, returned: 0},
		{late: 2, came: 8, inherited: true, coming: 0, returned: 0},
		{late: 8, came: 2, inherited: true, coming: 0, returned: 0},
	} {
		_, l := count(test.late, test.came, test.inherited)
		l.autoscaler.unmetDemand = []demand{{job: addTestJob(l, "run-000001", func(*protocol.Job) {}), tasks: 1}}
		if got := len(l.bootingBins()); got != test.coming {
			t.Errorf("%+v: %d counted as room to come", test, got)
		}
		l.releaseOverdueBoots()
		returned := 0
		for _, m := range l.fleetList {
			if m.lifecycle.releasing() {
				returned++
			}
		}
		if returned != test.returned {
			t.Errorf("%+v: %d returned", test, returned)
		}
	}
}

// However many users ask, a controller asks the state service a bounded number of times, and
// what another controller has told it to be over costs nothing.
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
		t.Errorf("%d checks in 10 s, want at most %d", checks, most)
	}
	if answered < 1900 {
		t.Errorf("%d of 2000 questions answered", answered)
	}

	c.cfg.Peers = []config.Peer{{Name: "n1", Zone: "b"}}
	raw, err := json.Marshal(peers.Message{Sender: "n1", Done: map[string]int{"run-000999": 3}})
	if err != nil {
		t.Fatal(err)
	}
	c.PeerMessage(c.now, raw)
	e := c.Request(c.now, 9999, "GET", protocol.PathJobs+"/run-000999", nil)
	if len(e.Calls) != 0 || len(e.Replies) != 1 || e.Replies[0].Status != 200 {
		t.Errorf("a job that a peer has told to be done: %+v", e)
	}
}

// Each job that comes leaves the leader's own records a change less.
func TestSubmissionsSpendWriteBudget(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	before := l.writer.committer.Available()
	record := records.Encode(records.Job{SubmittedAt: records.UnixMillis(c.now), BlockSize: 96, Spec: benchJob(2)})
	l.applyJobRecord(records.KeyActive(benchJob(2).ID), record, true)
	if after := l.writer.committer.Available(); after != before-1 {
		t.Errorf("%g changes are left of %g", after, before)
	}
}

// Submissions that come together share a transaction; one that is known already doesn't
// keep the others from being accepted.
func TestSubmissionsShareTransactions(t *testing.T) {
	c, _ := newTestLeader(phaseActive)
	c.takeEffects()
	var calls []Call
	for i := range 5 {
		e := c.Request(c.now, uint64(i), "POST", protocol.PathJobs, protocol.EncodeJob(benchJob(2+i)))
		calls = append(calls, e.Calls...)
	}
	if len(calls) != 1 {
		t.Fatalf("%d calls for five submissions at once", len(calls))
	}
	e := c.Result(c.now, calls[0].ID, Outcome{Answered: true, Status: 200, Body: protocol.EncodeRevision(7)})
	if len(e.Replies) != 1 || len(e.Calls) != 1 || bytes.Count(e.Calls[0].Body, []byte(`"write"`)) != 4 {
		t.Fatalf("the rest in one: %d answers, %d calls", len(e.Replies), len(e.Calls))
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
		t.Errorf("%d of the three others are written again", again)
	}
}

// Teams without a guarantee don't have dear machines rented, but one to begin on once
// they have waited for long.
func TestOpportunisticPrice(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	c.teams["guest"] = &config.Team{Name: "guest", CPUsMax: config.NoLimit}
	l.teamUsage["guest"] = &usage{}
	guest := addTestJob(l, "run-000001", func(j *protocol.Job) { j.Team = "guest" })
	other := addTestJob(l, "run-000002", func(*protocol.Job) {})
	dear := autoscaler.Offer{Spec: c.types["small"], Zone: "a"} // twice the price of a spot machine
	if !l.overpriced(guest, dear) || l.overpriced(other, dear) || l.overpriced(guest, autoscaler.Offer{Spec: dear.Spec, Zone: "a", Spot: true}) {
		t.Error("prices are judged wrongly")
	}
	// Spot machines have run out.
	l.autoscaler.unavailableUntil[autoscaler.Offer{Spec: dear.Spec, Zone: "a", Spot: true}.Key()] = c.now.Add(time.Hour)
	for _, test := range []struct {
		job   *job
		rents bool
	}{{guest, false}, {other, true}} {
		c.takeEffects()
		l.autoscaler.unmetDemand = []demand{{test.job, 4}}
		l.scaleOut()
		if rents := len(c.takeEffects().Calls) > 0; rents != test.rents {
			t.Errorf("%s: dear machines rented %t", test.job.Team, rents)
		}
	}
	c.now = c.now.Add(queue.StarvingAfter)
	clear(l.autoscaler.requested)
	l.autoscaler.unmetDemand = []demand{{guest, guest.Tasks}}
	l.autoscaler.unavailableUntil[autoscaler.Offer{Spec: dear.Spec, Zone: "a", Spot: true}.Key()] = c.now.Add(time.Hour)
	c.takeEffects()
	l.scaleOut()
	if calls := c.takeEffects().Calls; len(calls) != 1 || !bytes.Contains(calls[0].Body, []byte(`"howMany":1}`)) {
		t.Errorf("for a guest's job that is overdue: %d calls, want one machine", len(calls))
	}
}

// Guests' work that saves leaves a dear machine that is to be returned once nothing else is
// on it, and isn't placed there again; other teams' work stays to its end.
func TestOpportunisticWorkLeavesExpensiveMachines(t *testing.T) {
	for _, test := range []struct {
		team   string
		spot   bool
		leaves bool
	}{{"guest", false, true}, {"guest", true, false}, {"red", false, false}} {
		c, l := newTestLeader(phaseActive)
		c.teams["red"].CPUsMax = 100
		c.teams["guest"] = &config.Team{Name: "guest", CPUsMax: config.NoLimit}
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
		if a.stopRequested != test.leaves {
			t.Errorf("%+v: told to stop %t", test, a.stopRequested)
		}
		if test.leaves {
			l.detach(a, "test")
			l.runPlacementRound()
			if j.liveAttempts != 0 {
				t.Errorf("%+v: placed there again", test)
			}
		}
	}
}

// Why work waits is told at level info: when it changes and from time to time, and no
// more often.
func TestPendingReasonsAreLogged(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	var out bytes.Buffer
	c.log = slog.New(slog.NewTextHandler(&out, nil))
	c.teams["red"].CPUsMax = 4
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
		t.Fatalf("said %q", out.String())
	}
	l.teamUsage["red"].cpus = 4
	step(60 * time.Second)
	if k := lines("team limit"); k < 2 || k > 4 {
		t.Errorf("the limit is told %d times in a minute: %s", k, out.String())
	}
	c.election.StepDown("test")
	for range 20 {
		c.now = c.now.Add(time.Second)
		c.logAvailability()
	}
	if k := lines("no leader known"); k != 1 {
		t.Errorf("a missing leader is told %d times in 20 s: %s", k, out.String())
	}
}

// A large task finds room although small ones would take each bit that frees: a machine
// is kept for it once its job has waited for too long.
func TestMachineIsReservedForStarvingJob(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	c.teams["red"].CPUsMax = 100
	l.teamUsage["red"] = &usage{}
	m := addTestMachine(l, "vm-1", true)
	first := addTestJob(l, "run-000001", func(j *protocol.Job) { j.Tasks, j.CPUs = 1, 3 })
	l.runPlacementRound()
	large := addTestJob(l, "run-000002", func(j *protocol.Job) { j.Tasks, j.CPUs, j.Priority = 1, 4, protocol.Low })
	large.submitted = c.now.Add(-queue.StarvingAfter)
	small := addTestJob(l, "run-000003", func(*protocol.Job) {})
	l.runPlacementRound()
	if first.liveAttempts != 1 || small.liveAttempts != 0 {
		t.Fatalf("%d and %d tasks run beside a job that is overdue", first.liveAttempts, small.liveAttempts)
	}
	l.detach(m.attemptList[0], "test")
	first.retryQueue = nil
	l.runPlacementRound()
	if large.liveAttempts != 1 {
		t.Error("the job that is overdue got no room")
	}
}

// A leader that is late starts what is critical and leaves the rest for later; once it
// has lost its lease for that, it asks for a longer one.
func TestOverloadedLeader(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	c.teams["red"].CPUsMax = 100
	l.teamUsage["red"] = &usage{}
	for i := range 4 {
		addTestMachine(l, fmt.Sprintf("vm-%d", i), true)
	}
	rest := addTestJob(l, "run-000001", func(j *protocol.Job) { j.Tasks = 12 })
	critical := addTestJob(l, "run-000002", func(j *protocol.Job) { j.Tasks, j.Priority = 2, protocol.Critical })
	c.overload.Observe(c.now, 2*overload.OverloadThreshold)
	l.runPlacementRound()
	if critical.liveAttempts != 2 || rest.liveAttempts != 0 {
		t.Errorf("while late: %d critical tasks and %d others placed", critical.liveAttempts, rest.liveAttempts)
	}
	c.overload.Observe(c.now, 0)
	l.runPlacementRound()
	if rest.liveAttempts != 12 {
		t.Errorf("%d of 12 tasks placed once it isn't late", rest.liveAttempts)
	}
	base := c.operator.LeaderLease()
	c.overload.Observe(c.now, 2*overload.OverloadThreshold)
	c.election.StepDown("test")
	if got := c.election.CampaignTTL(); got != 4*base {
		t.Errorf("after a lease lost for being late %s, want %s", got, 4*base)
	}
	c.now = c.now.Add(2 * time.Minute)
	if got := c.election.CampaignTTL(); got != base {
		t.Errorf("after two minutes %s, want %s", got, base)
	}
}
