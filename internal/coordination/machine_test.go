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

// newTestLeader returns a controller that leads, in the given recovery phase and with an empty
// fleet.
func newTestLeader(p recoveryPhase) (*Controller, *leader) {
	return newTestLeaderInZone("a", p)
}

// newTestLeaderInZone is newTestLeader for a controller in the given zone.
func newTestLeaderInZone(zone string, p recoveryPhase) (*Controller, *leader) {
	now := time.Date(2026, 9, 21, 12, 0, 0, 0, time.UTC)
	cfg := &config.Settings{Name: "n0", Zone: zone, HeartbeatInterval: 2 * time.Second, WorkerLease: 15 * time.Second,
		CancelDeadline: 40 * time.Second, CPUShare: 0.3, MaxSockets: 900, StateRPS: 200, StateWriteRPS: 80, MaxValueBytes: 8 << 10, MaxTxnOps: 12, CloudRPS: 4,
		Teams: []config.Team{{Name: "red", GuaranteedCPUs: 8, MaxCPUs: 16}}}
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

// encodedHeartbeat returns a heartbeat of vm-1 that reports no tasks and has the base token of the
// test leader's term, 1.
func encodedHeartbeat(seq uint64) []byte {
	return protocol.EncodeHeartbeat(&protocol.Heartbeat{Machine: "vm-1", Addr: "x", Type: "small", Zone: "a", Incarnation: 1, Sequence: seq, FencingToken: 1 << 16})
}

// The response to a heartbeat that was overtaken by a call response renews the worker's lease. If
// it didn't count, the worker's tasks would be considered terminated too early.
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
		t.Fatalf("replies %+v to an overtaken heartbeat, want status 200", e.Replies)
	}
	if proof := l.terminationProofAt(m); proof.Before(later.Add(c.cfg.WorkerLease)) {
		t.Errorf("tasks considered terminated %s after the response, but the worker's lease is %s", proof.Sub(later), c.cfg.WorkerLease)
	}
}

// A machine whose first heartbeat arrives while the records are being loaded gets a record
// afterwards; without one, no task would ever be placed on it.
func TestMachineFirstSeenWhileLoadingIsRecorded(t *testing.T) {
	c, l := newTestLeader(phaseLoading)
	c.Request(c.now, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(1))
	m := l.machines["vm-1"]
	if m == nil || len(l.writer.newGroups) != 0 {
		t.Fatalf("while loading: machine %v, %d records to write; want a machine and no record", m, len(l.writer.newGroups))
	}
	l.startReconciling()
	if len(l.writer.newGroups) != 1 || l.writer.newGroups[0].machines[0] != m {
		t.Errorf("%d machine records to write after loading, want one with the machine", len(l.writer.newGroups))
	}
}

// The best machine is one that caches the image, then the one with more free capacity. A machine
// that is being consolidated comes last.
func TestBestMachine(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	c.operator.ImageCacheWeight, c.operator.FreeShareWeight = 1, 1
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
		t.Errorf("without images: %s, want vm-2, which has the most free capacity", got.Name)
	}
	list[0].Images.Add(j.imageID, 1, 3)
	if got := best(); got != list[0] {
		t.Errorf("with the image on vm-1: %s, want vm-1", got.Name)
	}
	list[0].Consolidating = true
	if got := best(); got != list[1] {
		t.Errorf("with vm-1 being consolidated: %s, want vm-2", got.Name)
	}
	list[1].Allocated.CPUs, list[2].Allocated.CPUs = 4, 4
	if got := best(); got != list[0] {
		t.Errorf("with capacity only on vm-1, which is being consolidated: %s, want vm-1", got.Name)
	}
}

// A job's weight increases with its remaining work and increases further once its deadline can't be
// met; it decreases while the job waits. A late job with little work left may still come first.
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
			t.Errorf("weight %d is %g, weight %d is %g; want increasing weights", i-1, a, i, b)
		}
	}
	if a, b := weight(old), weight(fresh); a >= b {
		t.Errorf("weight %g of a job that waited for hours, %g of a new one; want less", a, b)
	}
	l.corrections["c"] = 5 // tasks of the class take five times their estimates
	if a, b := weight(fresh), weight(jobOf(2, 0, 0)); a <= b {
		t.Errorf("with a correction of the estimates: weight %g for ten tasks, %g for two; want more", a, b)
	}
}

// heartbeatSender returns a function that sends a heartbeat of vm-1 and returns the reply.
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
		t.Fatalf("heartbeat not answered (incarnation %d, sequence %d)", incarnation, sequence)
		return Reply{}
	}
}

// A machine accepts tasks once it is proven that messages reach its worker.
func TestMachineAcceptsTasksOnceWorkerIsReached(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	heartbeat := heartbeatSender(t, c)
	if r := heartbeat(1, 10, 0); r.Status != 200 {
		t.Fatalf("status %d for the first heartbeat, want 200", r.Status)
	}
	m := l.machines["vm-1"]
	m.recorded, m.Spec = true, &protocol.MachineType{Name: "small", CPUs: 4, MemoryGB: 16}
	if l.acceptsTasks(m) {
		t.Error("machine accepts tasks after a heartbeat that may be a delayed duplicate")
	}
	if !m.session.ProbeInFlight {
		t.Error("worker not probed when it registered")
	}
	if heartbeat(1, 11, m.session.Token()); !l.acceptsTasks(m) {
		t.Error("machine accepts no tasks after a heartbeat with a token of this epoch")
	}
}

// Of heartbeats that arrive late or twice, only newer ones update the session. Delayed duplicates
// neither renew the lease nor prove contact.
func TestLateAndDuplicateHeartbeats(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	heartbeat := heartbeatSender(t, c)
	heartbeat(1, 10, 0)
	m := l.machines["vm-1"]
	heartbeat(1, 11, m.session.Token())
	answered, seen := m.session.LastAnswered, m.session.LastSeen
	if r := heartbeat(1, 11, 0); r.Status != 503 || m.session.LastAnswered != answered || m.session.LastSeen != seen {
		t.Errorf("a duplicate: status %d, want 503; LastAnswered %s and LastSeen %s later, want no change", r.Status, m.session.LastAnswered.Sub(answered), m.session.LastSeen.Sub(seen))
	}
	l.applyResponse(m, &protocol.Heartbeat{Machine: "vm-1", Incarnation: 1, Sequence: 13, FencingToken: l.epoch.BaseToken()})
	if r := heartbeat(1, 12, 0); r.Status != 200 || !m.session.LastAnswered.After(answered) || m.session.Sequence != 13 {
		t.Errorf("a heartbeat overtaken by a response: status %d, sequence %d; want 200, 13", r.Status, m.session.Sequence)
	}
	if r := heartbeat(2, 14, 0); r.Status != 200 || m.session.Incarnation != 2 {
		t.Errorf("heartbeat of the next incarnation: status %d, incarnation %d; want 200, 2", r.Status, m.session.Incarnation)
	}
	if r := heartbeat(1, 20, 0); r.Status != 503 || m.session.Incarnation != 2 {
		t.Errorf("a duplicate of an earlier incarnation: status %d, incarnation %d; want 503, 2", r.Status, m.session.Incarnation)
	}
	l.machineTerminated(m, "returned")
	c.now = c.now.Add(10 * time.Minute)
	if r := heartbeat(2, 15, 0); r.Status != 503 || l.machines["vm-1"] != nil {
		t.Errorf("a duplicate long after the machine's termination: status %d, want 503 and no machine", r.Status)
	}
}

// A worker whose probe response names an older incarnation than was known when the probe was sent
// has lost its state, and its machine is released. A response that was merely overtaken by a message
// of a newer incarnation proves nothing.
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
			t.Errorf("state lost: %t; releasing %t, want %t; incarnation %d, want 2", lost, m.lifecycle.releasing(), lost, m.session.Incarnation)
		}
	}
}

// The release of an unresponsive machine is revoked once its worker answers again, unless the
// cloud may have carried it out. If it were not revoked, every machine that had been unreachable for a
// short time during an outage of the cloud API would be released after the outage.
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
			t.Errorf("%s: release revoked while its call was in flight", test.name)
		}
		c.Result(c.now, call.ID, test.out)
		l.probe(m)
		for _, call := range c.takeEffects().Calls {
			body := protocol.EncodeHeartbeat(&protocol.Heartbeat{Machine: "vm-1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 60})
			c.Result(c.now, call.ID, Outcome{Answered: true, Status: 200, Body: body})
		}
		if m.lifecycle.releasing() == test.kept {
			t.Errorf("%s: releasing %t after the worker answered, want %t", test.name, m.lifecycle.releasing(), !test.kept)
		}
	}
}

// Without the cloud's inventory a new leader knows no worker addresses and can only wait for
// heartbeats. It must not become active as if all workers had been reconciled.
func TestReconcilingWithoutInventory(t *testing.T) {
	c, l := newTestLeader(phaseReconciling)
	for i := range 10 {
		m := l.newMachine(fmt.Sprintf("vm-%d", i), "small", "a", false)
		m.inherited, m.provisionedAt = true, c.now.Add(-time.Hour)
	}
	l.readInventory()
	c.Result(c.now, c.takeEffects().Calls[0].ID, Outcome{Answered: true, Status: 503})
	if l.enoughMachinesReconciled() {
		t.Error("machines count as reconciled although no worker was in contact and the inventory is unknown")
	}
	for i, m := range l.fleetList {
		if i < 8 {
			m.session.Reconciled, m.session.LastReached = true, c.now
		}
	}
	if !l.enoughMachinesReconciled() {
		t.Error("machines don't count as reconciled although eight of ten workers were in contact")
	}
}

// A worker whose heartbeats reach no controller may still answer calls. Its lease isn't renewed, so
// its machine accepts no new tasks, and is released after two worker leases.
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
		l.applyResponse(m, r) // a response to a call
		l.detectFailures()
		if accepts := l.acceptsTasks(m); accepts != (c.now.Sub(begin) <= l.controller.timing().SuspectAfter()+sessions.LostHeartbeatDelay) {
			t.Fatalf("accepts tasks: %t, %s after the last answered heartbeat", accepts, c.now.Sub(begin))
		}
		if m.lifecycle.releasing() && c.now.Sub(begin) <= 2*c.cfg.WorkerLease {
			t.Fatalf("released %s after the last answered heartbeat, want no release within two worker leases", c.now.Sub(begin))
		}
	}
	l.detectFailures()
	if !m.lifecycle.releasing() {
		t.Error("not released after two worker leases without an answered heartbeat")
	}
}
