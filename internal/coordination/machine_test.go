package coordination

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"brasskeel/internal/config"
	"brasskeel/internal/coordination/leadership"
	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/protocol"
)

// newTestLeader makes a controller that leads in the given phase, with nothing running.
func newTestLeader(p recoveryPhase) (*Controller, *leader) {
	return newTestLeaderInZone("a", p)
}

// newTestLeaderInZone is leading for a controller of the given zone.
func newTestLeaderInZone(zone string, p recoveryPhase) (*Controller, *leader) {
	now := time.Date(2026, 9, 21, 12, 0, 0, 0, time.UTC)
	cfg := &config.Settings{Name: "n0", Zone: zone, HeartbeatInterval: 2 * time.Second, WorkerLease: 15 * time.Second,
		CancelWithin: 40 * time.Second, CPUShare: 0.3, Sockets: 900, StateRPS: 200, StateWriteRPS: 80, ValueBytes: 8 << 10, TxnOps: 12, CloudRPS: 4,
		Teams: []config.Team{{Name: "red", CPUs: 8, CPUsMax: 16}}}
	c := New(cfg, config.DefaultOperator(), slog.New(slog.DiscardHandler), 1, now)
	c.setMachineTypes([]protocol.MachineType{{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 3, FetchGBPerSecond: 1, PricePerHour: 1, SpotPricePerHour: 0.5,
		BootTime: 10 * time.Second, Zones: []string{"a"}}})
	c.election.BecomeLeader(leadership.LeaderTerm{Term: 1, KeyVersion: 10, ElectedAt: now,
		Lease: leadership.Lease{ID: 5, TTL: 2 * time.Second, ValidUntil: now.Add(time.Hour)}})
	c.leader.phase, c.leader.jobsKnownAt = p, now.Add(time.Hour)
	c.leader.loaded, c.leader.probesNewWorkers = p != phaseLoading, p == phaseActive
	c.takeEffects()
	return c, c.leader
}

func encodedHeartbeat(seq uint64) []byte {
	return protocol.EncodeHeartbeat(&protocol.Heartbeat{Machine: "vm-1", Addr: "x", Type: "small", Zone: "a", Incarnation: 1, Sequence: seq, FencingToken: 1 << 16})
}

// The answer to a report that a response of the worker's has overtaken renews
// the worker's lease: not counting it would take the worker for dead too soon.
func TestOvertakenHeartbeatRenewsLease(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	start := c.now
	c.Request(start, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(4))
	m := l.machines["vm-1"]
	r, err := protocol.ParseHeartbeat(encodedHeartbeat(6))
	if err != nil {
		t.Fatal(err)
	}
	l.applyResponse(m, r)
	later := start.Add(3 * time.Second)
	e := c.Request(later, 2, "POST", protocol.PathHeartbeat, encodedHeartbeat(5))
	if len(e.Replies) != 1 || e.Replies[0].Status != 200 {
		t.Fatalf("got %+v", e.Replies)
	}
	if proof := l.terminationProofAt(m); proof.Before(later.Add(c.cfg.WorkerLease)) {
		t.Errorf("taken for dead %s after the answer, its lease is %s", proof.Sub(later), c.cfg.WorkerLease)
	}
}

// A machine that first reports while the records are read gets its own record
// afterwards; without it nothing would ever be placed there.
func TestMachineFirstSeenWhileLoadingIsRecorded(t *testing.T) {
	c, l := newTestLeader(phaseLoading)
	c.Request(c.now, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(1))
	m := l.machines["vm-1"]
	if m == nil || len(l.writer.newGroups) != 0 {
		t.Fatalf("machine %v, %d records to write while loading", m, len(l.writer.newGroups))
	}
	l.startReconciling()
	if len(l.writer.newGroups) != 1 || l.writer.newGroups[0].machines[0] != m {
		t.Errorf("%d machine records to write", len(l.writer.newGroups))
	}
}

// The score prefers the machine that holds the image, then the one with more
// free room; one that is being emptied comes last.
func TestBestMachine(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	c.operator.ImageWeight, c.operator.RoomWeight = 1, 1
	j := &job{Job: &protocol.Job{ID: "run-000001", Team: "red", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "a", ImageGB: 1},
		attemptsByZone: map[string]int{}, imageID: l.imageID("a")}
	var list []*machine
	for _, name := range []string{"vm-1", "vm-2", "vm-3"} {
		m := l.newMachine(name, "small", "a", false)
		m.session.Registered, m.recorded, m.session.LastSeen, m.session.LastAnswered, m.session.LastReached = true, true, l.controller.now, l.controller.now, l.controller.now
		list = append(list, m)
	}
	list[0].Allocated.CPUs, list[1].Allocated.CPUs, list[2].Allocated.CPUs = 2, 0, 1
	l.round.accepting, l.round.withRoom = list, list
	best := func() *machine {
		c := l.findCandidates(j)
		return l.bestMachine(&c, j)
	}
	if got := best(); got != list[1] {
		t.Errorf("without images: %s", got.Name)
	}
	list[0].Images.Add(j.imageID, 1, 3)
	if got := best(); got != list[0] {
		t.Errorf("with the image on vm-1: %s", got.Name)
	}
	list[0].Consolidating = true
	if got := best(); got != list[1] {
		t.Errorf("with vm-1 being emptied: %s", got.Name)
	}
	list[1].Allocated.CPUs, list[2].Allocated.CPUs = 4, 4
	if got := best(); got != list[0] {
		t.Errorf("with room only there: %s", got.Name)
	}
}

// A job gives way by the work it has left: more so when its deadline is out of
// reach, less so the longer it waits. What is left of a late job may be small
// and then isn't last.
func TestBacklogWeight(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	wall := c.now
	jobOf := func(tasks, done int, age time.Duration) *job {
		return &job{Job: &protocol.Job{Class: "c", Kind: protocol.Batch, Tasks: tasks, CPUs: 1, EstimatedRuntime: 10 * time.Second,
			Deadline: 40 * time.Second, HasDeadline: true}, submitted: wall.Add(-age), doneTasks: done}
	}
	weight := func(j *job) float64 {
		b := l.remainingWork(j, wall)
		return b.Weight()
	}
	fresh, large := jobOf(10, 0, 0), jobOf(20, 0, 0)
	late, rest := jobOf(10, 0, 50*time.Second), jobOf(10, 9, 50*time.Second)
	old := jobOf(20, 0, 5*time.Hour)
	order := []*job{rest, fresh, large, late}
	for i := 1; i < len(order); i++ {
		if a, b := weight(order[i-1]), weight(order[i]); a >= b {
			t.Errorf("weight %d is %g, weight %d is %g", i-1, a, i, b)
		}
	}
	if a, b := weight(old), weight(fresh); a >= b {
		t.Errorf("a job that waited for hours counts %g, a fresh one %g", a, b)
	}
	l.corrections["c"] = 5 // tasks of the class take five times their estimates
	if a, b := weight(fresh), weight(jobOf(2, 0, 0)); a <= b {
		t.Errorf("with a correction: %g and %g", a, b)
	}
}

// heartbeatSender sends heartbeats of the machine vm-1 and gives their answers.
func heartbeatSender(t *testing.T, c *Controller) func(incarnation, sequence, token uint64) Reply {
	t.Helper()
	id := uint64(0)
	return func(incarnation, sequence, token uint64) Reply {
		id++
		body := protocol.EncodeHeartbeat(&protocol.Heartbeat{Machine: "vm-1", Addr: "vm-1", Type: "small", Zone: "a",
			Incarnation: incarnation, Sequence: sequence, FencingToken: token})
		e := c.Request(c.now.Add(time.Second), id, "POST", protocol.PathHeartbeat, body)
		for _, r := range e.Replies {
			if r.ID == id {
				return r
			}
		}
		t.Fatalf("heartbeat %d/%d is not answered", incarnation, sequence)
		return Reply{}
	}
}

// A machine takes work once it is proven that something sent reaches its worker.
func TestMachineAcceptsTasksOnceWorkerIsReached(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	heartbeat := heartbeatSender(t, c)
	if r := heartbeat(1, 10, 0); r.Status != 200 {
		t.Fatalf("the first heartbeat: %d", r.Status)
	}
	m := l.machines["vm-1"]
	m.recorded, m.Spec = true, &protocol.MachineType{Name: "small", CPUs: 4, MemoryGB: 16}
	if l.acceptsTasks(m) {
		t.Error("a heartbeat alone, perhaps a late copy, opens a machine for work")
	}
	if !m.session.ProbeInFlight {
		t.Error("a machine whose worker registers isn't probed")
	}
	if heartbeat(1, 11, m.session.Token()); !l.acceptsTasks(m) {
		t.Error("a heartbeat that shows a token of this epoch doesn't open the machine")
	}
}

// What a worker says in its heartbeats, in order of arrival: only newer ones count,
// copies that come late renew and prove nothing.
func TestLateAndDuplicateHeartbeats(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	heartbeat := heartbeatSender(t, c)
	heartbeat(1, 10, 0)
	m := l.machines["vm-1"]
	heartbeat(1, 11, m.session.Token())
	answered, heard := m.session.LastAnswered, m.session.LastSeen
	if r := heartbeat(1, 11, 0); r.Status != 503 || m.session.LastAnswered != answered || m.session.LastSeen != heard {
		t.Errorf("a copy: status %d, answered %s later, heard %s later", r.Status, m.session.LastAnswered.Sub(answered), m.session.LastSeen.Sub(heard))
	}
	l.applyResponse(m, &protocol.Heartbeat{Machine: "vm-1", Incarnation: 1, Sequence: 13, FencingToken: l.epoch.BaseToken()})
	if r := heartbeat(1, 12, 0); r.Status != 200 || !m.session.LastAnswered.After(answered) || m.session.Sequence != 13 {
		t.Errorf("a heartbeat overtaken by a response: status %d, number %d", r.Status, m.session.Sequence)
	}
	if r := heartbeat(2, 14, 0); r.Status != 200 || m.session.Incarnation != 2 {
		t.Errorf("the next incarnation: status %d, incarnation %d", r.Status, m.session.Incarnation)
	}
	if r := heartbeat(1, 20, 0); r.Status != 503 || m.session.Incarnation != 2 {
		t.Errorf("a copy of the incarnation before: status %d, incarnation %d", r.Status, m.session.Incarnation)
	}
	l.machineTerminated(m, "returned")
	c.now = c.now.Add(10 * time.Minute)
	if r := heartbeat(2, 15, 0); r.Status != 503 || l.machines["vm-1"] != nil {
		t.Errorf("a copy long after the machine's end: status %d", r.Status)
	}
}

// A worker that answers under an older session than it was asked in has lost its
// memory, and its machine is replaced; an answer that a newer session has overtaken
// says nothing of the kind.
func TestWorkerIncarnationReset(t *testing.T) {
	for _, lost := range []bool{true, false} {
		c, l := newTestLeader(phaseActive)
		m := l.newMachine("vm-1", "small", "a", false)
		m.session.Registered, m.recorded, m.addr, m.session.LastReached, m.session.Incarnation, m.session.Sequence = true, true, "x", c.now, 2, 50
		if !lost {
			m.session.Incarnation = 1
		}
		l.probe(m)
		call := c.takeEffects().Calls[0]
		m.session.Incarnation = 2
		body := protocol.EncodeHeartbeat(&protocol.Heartbeat{Machine: "vm-1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 60})
		c.Result(c.now, call.ID, Outcome{Answered: true, Status: 200, Body: body})
		if m.lifecycle.releasing() != lost || m.session.Incarnation != 2 {
			t.Errorf("lost %t: to be returned %t, session %d", lost, m.lifecycle.releasing(), m.session.Incarnation)
		}
	}
}

// A machine that was given up as silent and answers again is kept, unless the cloud
// may have taken the return. While the cloud is away, every machine that was cut off
// for a moment was lost once it came back.
func TestReleaseRevokedWhenWorkerAnswersAgain(t *testing.T) {
	for _, test := range []struct {
		name string
		out  Outcome
		kept bool
	}{
		{"refused", Outcome{Answered: true, Status: 503}, true},
		{"unanswered", Outcome{}, false},
	} {
		c, l := newTestLeader(phaseActive)
		m := l.newMachine("vm-1", "small", "a", false)
		m.session.Registered, m.recorded, m.addr, m.session.LastReached, m.session.Incarnation, m.session.Sequence = true, true, "x", c.now, 1, 50
		c.takeEffects()
		l.release(m, reasonUnresponsive)
		call := c.takeEffects().Calls[0]
		l.recordReached(m, c.now)
		if !m.lifecycle.releasing() {
			t.Errorf("%s: kept while the call was under way", test.name)
		}
		c.Result(c.now, call.ID, test.out)
		l.probe(m)
		for _, call := range c.takeEffects().Calls {
			body := protocol.EncodeHeartbeat(&protocol.Heartbeat{Machine: "vm-1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 60})
			c.Result(c.now, call.ID, Outcome{Answered: true, Status: 200, Body: body})
		}
		if m.lifecycle.releasing() == test.kept {
			t.Errorf("%s: to be returned %t after it answered", test.name, m.lifecycle.releasing())
		}
	}
}

// Without the cloud's list a new leader knows no addresses and can only wait for
// reports: it doesn't place as if it had heard everybody.
func TestReconcilingWithoutInventory(t *testing.T) {
	c, l := newTestLeader(phaseReconciling)
	for i := range 10 {
		m := l.newMachine(fmt.Sprintf("vm-%d", i), "small", "a", false)
		m.inherited, m.provisionedAt = true, c.now.Add(-time.Hour)
	}
	l.readInventory()
	c.Result(c.now, c.takeEffects().Calls[0].ID, Outcome{Answered: true, Status: 503})
	if l.enoughMachinesReconciled() {
		t.Error("nobody was heard and the list is unknown")
	}
	for i, m := range l.fleetList {
		if i < 8 {
			m.session.Reconciled, m.session.LastReached = true, c.now
		}
	}
	if !l.enoughMachinesReconciled() {
		t.Error("eight of ten were heard")
	}
}

// A machine whose worker can't reach any controller answers calls all the same. Nothing
// new starts there, since its lease isn't renewed, and it is given up once that has
// lasted for two leases.
func TestMachineWithUnansweredHeartbeats(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	c.Request(c.now, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(4))
	m := l.machines["vm-1"]
	m.recorded, m.Spec = true, c.types["small"]
	begin := c.now
	l.detectFailures()
	for seq := uint64(5); c.now.Sub(begin) <= 2*c.cfg.WorkerLease; seq++ {
		c.now = c.now.Add(time.Second)
		r, err := protocol.ParseHeartbeat(encodedHeartbeat(seq))
		if err != nil {
			t.Fatal(err)
		}
		l.applyResponse(m, r) // an answer to a call
		l.detectFailures()
		if open := l.acceptsTasks(m); open != (c.now.Sub(begin) <= l.controller.timing().SuspectAfter()+sessions.LostHeartbeatDelay) {
			t.Fatalf("open %t after %s without a report", open, c.now.Sub(begin))
		}
		if m.lifecycle.releasing() && c.now.Sub(begin) <= 2*c.cfg.WorkerLease {
			t.Fatalf("given up after %s", c.now.Sub(begin))
		}
	}
	l.detectFailures()
	if !m.lifecycle.releasing() {
		t.Error("not given up after two leases")
	}
}
