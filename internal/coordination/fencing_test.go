package coordination

import (
	"testing"
	"time"

	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/coordination/statestore"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// sentTxn returns the transaction that the current step sends.
func sentTxn(t *testing.T, c *Controller) *protocol.Txn {
	t.Helper()
	for _, call := range c.takeEffects().Calls {
		if call.To == StateService && call.Target == protocol.PathTransactions {
			txn, err := protocol.ParseTxn(call.Body)
			if err != nil {
				t.Fatal(err)
			}
			return txn
		}
	}
	t.Fatal("no transaction is sent")
	return nil
}

func hasCondition(txn *protocol.Txn, key string, version uint64) bool {
	for _, condition := range txn.Conditions {
		if condition.Key == key && condition.Version == version {
			return true
		}
	}
	return false
}

// A leader's writes of placements are conditional on its leader key, on the absence of an outcome
// of the job, and on the known version of the record. They protect, in this order, against a
// transaction that is applied only after another leader was elected, against an earlier
// cancellation, and against an older write of the same leader.
func TestRecordsAreConditional(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	j, _ := addRunningJob(c, l)
	e := c.Request(c.now, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(3))
	applyTransactions(c, e.Calls) // including the machine's record
	m := l.machines["vm-1"]
	m.recorded, m.session.LastReached = true, c.now
	block := j.block(0)
	block.record = statestore.LoadedRecord(7)
	l.assign(j, 0, m)
	txn := sentTxn(t, c)
	for key, version := range map[string]uint64{records.KeyLeader: l.keyVersion, records.KeyOutcome(j.ID): 0, records.KeyTaskBlock(j.ID, 0): 7} {
		if !hasCondition(txn, key, version) {
			t.Errorf("placement written without the condition on %s: %+v", key, txn.Conditions)
		}
	}
	// The write of the outcome is conditional, too, so that only the first one is applied.
	c, l = newTestLeader(phaseActive)
	j, _ = addRunningJob(c, l)
	l.writer.newGroups = nil
	l.taskDone(j, 0)
	txn = sentTxn(t, c)
	if !hasCondition(txn, records.KeyLeader, l.keyVersion) || !hasCondition(txn, records.KeyOutcome(j.ID), 0) {
		t.Errorf("outcome written without the conditions on the leader key and on the absence of an outcome: %+v", txn.Conditions)
	}
}

// An unanswered direct start may be carried out late. The absence of the task from a heartbeat
// proves that it terminated only if the worker has seen a fencing token above that of the start.
// Until then the attempt counts toward its team's usage.
func TestUnansweredStartIsFenced(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	j, _ := addRunningJob(c, l)
	c.Request(c.now, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(3))
	m := l.machines["vm-1"]
	a := &attempt{job: j, number: 1, machine: m, recorded: true, delivery: sessions.Delivery{DirectToken: m.session.Token(), DirectIncarnation: 1}}
	l.attach(a)
	m.session.DirectStartToken = a.delivery.DirectToken
	l.endJob(j, protocol.Cancelled)
	tokenBefore := m.session.Token()
	c.Request(c.now, 2, "POST", protocol.PathHeartbeat, encodedHeartbeat(5))
	if j.task(0).live != a || l.teamUsage["red"].cpus != 1 {
		t.Fatal("attempt considered terminated while its start may still be carried out")
	}
	if m.session.Token() <= tokenBefore {
		t.Fatal("fencing token not raised above that of the direct start")
	}
	c.Request(c.now, 3, "POST", protocol.PathHeartbeat, protocol.EncodeHeartbeat(&protocol.Heartbeat{Machine: "vm-1", Addr: "x", Type: "small",
		Zone: "a", Incarnation: 1, Sequence: 6, FencingToken: m.session.Token()}))
	if j.task(0).live != nil || l.teamUsage["red"].cpus != 0 {
		t.Error("attempt still counts although its start can't be carried out any longer")
	}
}

// Tasks whose stop was requested count toward their team's limit and their job's zones until they
// are proven terminated: their machine may hang or be disconnected.
func TestStoppingTasksCountTowardLimits(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	s := jobSpec("run-000001")
	s.Tasks, s.CPUs, s.OneZone = 2, 8, true
	l.addJob(&records.Job{SubmittedAt: records.UnixMillis(c.now), BlockSize: 8, Spec: s})
	j := l.jobs[s.ID]
	m := l.newMachine("vm-1", "small", "a", false)
	for i := range 2 {
		l.attach(&attempt{job: j, taskIndex: i, number: 1, machine: m, recorded: true, delivery: sessions.Delivery{Reported: true}})
	}
	other := &job{Job: jobSpec("run-000002"), attemptsByZone: map[string]int{}}
	if l.withinTeamLimit(other) {
		t.Fatal("another job is within the team's limit although the team uses all of its 16 CPUs")
	}
	l.endJob(j, protocol.Cancelled)
	c.now = c.now.Add(time.Hour)
	if l.withinTeamLimit(other) {
		t.Error("tasks no longer count toward the team's limit after a stop was requested")
	}
	if j.zoneAllowed("b") {
		t.Error("another zone allowed while tasks of the job may still run in zone a")
	}
}

// A task is placed only on a recorded machine: the next leader finds attempts by their machines,
// and considers attempts on unrecorded machines terminated.
func TestPlacesOnlyOnRecordedMachines(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	l.addJob(&records.Job{SubmittedAt: records.UnixMillis(c.now), BlockSize: 8, Spec: jobSpec("run-000001")})
	c.Request(c.now, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(3))
	m := l.machines["vm-1"]
	m.session.LastReached, m.Spec = c.now, c.types["small"]
	for _, recorded := range []bool{false, true} {
		m.recorded = recorded
		l.runPlacementRound()
		if placed := len(m.attempts) > 0; placed != recorded {
			t.Errorf("machine recorded %t, task placed %t", recorded, placed)
		}
	}
}

// A leader whose lease may have expired places no tasks. After its grace period it answers no
// worker, even if it knows all recent job records: another leader may have been elected, and that
// leader waits only for the end of the grace period.
func TestLeaderStopsAfterLeaseExpiry(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	l.addJob(&records.Job{SubmittedAt: records.UnixMillis(c.now), BlockSize: 8, Spec: jobSpec("run-000001")})
	c.Request(c.now, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(3))
	m := l.machines["vm-1"]
	m.recorded, m.session.LastReached, m.Spec = true, c.now, c.types["small"]
	l.lease.ValidUntil = c.now
	l.runPlacementRound()
	if len(m.attempts) > 0 {
		t.Error("task placed after the lease expired")
	}
	l.lease.ValidUntil, l.jobsKnownAt = c.now, c.now.Add(time.Hour)
	c.now = c.now.Add(l.gracePeriod())
	if !l.holdsLease() {
		t.Error("leader may not answer workers within its grace period")
	}
	c.now = c.now.Add(time.Millisecond)
	e := c.Request(c.now, 2, "POST", protocol.PathHeartbeat, encodedHeartbeat(4))
	if len(e.Replies) != 1 || e.Replies[0].Status != 421 {
		t.Errorf("after the grace period: replies %+v, want status 421", e.Replies)
	}
}

// A start in a heartbeat response is carried out before the worker's next heartbeat or never. The
// worker's response to a call may be older than the heartbeat response, so the absence of the task
// from it proves nothing. Its absence from the next heartbeat proves that the start was lost.
func TestStartInHeartbeatResponse(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	j, _ := addRunningJob(c, l)
	c.Request(c.now, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(3))
	m := l.machines["vm-1"]
	a := &attempt{job: j, number: 1, machine: m, recorded: true, delivery: sessions.Delivery{SentIncarnation: 1, SentSequence: 3}}
	l.attach(a)
	r, err := protocol.ParseHeartbeat(encodedHeartbeat(4))
	if err != nil {
		t.Fatal(err)
	}
	l.stopAttempt(a, 0)
	l.applyResponse(m, r) // may have been sent before the heartbeat response arrived
	if j.task(0).live != a {
		t.Fatal("attempt considered terminated because of a call response that may be older than the start")
	}
	c.Request(c.now, 2, "POST", protocol.PathHeartbeat, encodedHeartbeat(5))
	if j.task(0).live == a {
		t.Error("attempt still counts although the next heartbeat doesn't report it")
	}
}

// A leader stops leading when a worker's heartbeat carries a fencing token of a later term.
func TestLaterTermEndsLeadership(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	body := protocol.EncodeHeartbeat(&protocol.Heartbeat{Machine: "vm-1", Addr: "x", Type: "small", Zone: "a", Incarnation: 1, Sequence: 4, FencingToken: (l.term + 1) << 16})
	if e := c.Request(c.now, 1, "POST", protocol.PathHeartbeat, body); e.Replies[0].Status != 421 || c.leader != nil {
		t.Errorf("status %d, still leading: %t; want 421, false", e.Replies[0].Status, c.leader != nil)
	}
}

// A worker incarnation has a full lease from its beginning, whether or not any of its heartbeats is
// answered. A worker whose heartbeats don't arrive still gets tasks by direct starts, and if contact
// with it is lost, these tasks run until that lease expires. When the lease was counted from the
// last answered heartbeat, which was of an earlier incarnation, the tasks were considered terminated
// too early and were started elsewhere while they still ran.
func TestIncarnationStartsWorkerLease(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	c.Request(c.now, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(3))
	m := l.machines["vm-1"]
	answered := m.session.LastAnswered
	c.now = c.now.Add(10 * time.Second)
	r, err := protocol.ParseHeartbeat(encodedHeartbeat(5))
	if err != nil {
		t.Fatal(err)
	}
	r.Incarnation, r.FencingToken = 2, m.session.Token()
	l.applyResponse(m, r) // a response to a call: the worker's heartbeats don't arrive
	if proof := l.terminationProofAt(m); proof.Before(c.now.Add(c.cfg.WorkerLease)) {
		t.Errorf("tasks considered terminated %s after the incarnation began, but the worker's lease is %s", proof.Sub(c.now), c.cfg.WorkerLease)
	}
	if m.session.LastAnswered != answered {
		t.Error("the beginning of an incarnation counts as an answered heartbeat")
	}
}
