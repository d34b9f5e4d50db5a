package coordination

import (
	"testing"
	"time"

	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/coordination/statestore"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// sentTxn is the transaction that a step sends.
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

// What a leader records holds only while it leads, while the job has no outcome and while
// the record is the one it knows: each alone keeps a late copy of the transaction, a
// cancellation that came first, or an older write of its own from doing harm.
func TestRecordsAreConditional(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	j, _ := addRunningJob(c, l)
	e := c.Request(c.now, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(3))
	applyTransactions(c, e.Calls) // with the record of the machine
	m := l.machines["vm-1"]
	m.recorded, m.session.LastReached = true, c.now
	block := j.block(0)
	block.record = statestore.LoadedRecord(7)
	l.assign(j, 0, m)
	txn := sentTxn(t, c)
	for key, version := range map[string]uint64{records.KeyLeader: l.keyVersion, records.KeyOutcome(j.ID): 0, records.KeyTaskBlock(j.ID, 0): 7} {
		if !hasCondition(txn, key, version) {
			t.Errorf("a placement is recorded whatever %s is: %+v", key, txn.Conditions)
		}
	}
	// So does the outcome: whoever writes it first decides.
	c, l = newTestLeader(phaseActive)
	j, _ = addRunningJob(c, l)
	l.writer.newGroups = nil
	l.taskDone(j, 0)
	txn = sentTxn(t, c)
	if !hasCondition(txn, records.KeyLeader, l.keyVersion) || !hasCondition(txn, records.KeyOutcome(j.ID), 0) {
		t.Errorf("a job is called done whatever its outcome is: %+v", txn.Conditions)
	}
}

// A direct start without an answer may be carried out late. That the worker lacks it is
// proof only under a token above that of the start; until then it counts for its team.
func TestUnansweredStartIsFenced(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	j, _ := addRunningJob(c, l)
	c.Request(c.now, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(3))
	m := l.machines["vm-1"]
	a := &attempt{job: j, number: 1, machine: m, recorded: true, delivery: sessions.Delivery{DirectToken: m.session.Token(), DirectIncarnation: 1}}
	l.attach(a)
	m.session.DirectStartToken = a.delivery.DirectToken
	l.endJob(j, protocol.Cancelled)
	below := m.session.Token()
	c.Request(c.now, 2, "POST", protocol.PathHeartbeat, encodedHeartbeat(5))
	if j.task(0).live != a || l.teamUsage["red"].cpus != 1 {
		t.Fatal("gone while its start may still be carried out")
	}
	if m.session.Token() <= below {
		t.Fatal("the start isn't fenced off")
	}
	c.Request(c.now, 3, "POST", protocol.PathHeartbeat, protocol.EncodeHeartbeat(&protocol.Heartbeat{Machine: "vm-1", Addr: "x", Type: "small",
		Zone: "a", Incarnation: 1, Sequence: 6, FencingToken: m.session.Token()}))
	if j.task(0).live != nil || l.teamUsage["red"].cpus != 0 {
		t.Error("still there although no start can be carried out any more")
	}
}

// Work that was told to stop counts for its team's limit, and for its job's zones, until
// it is proven gone: its machine may hang, or be cut off.
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
		t.Fatal("the team has 16 CPUs and uses them")
	}
	l.endJob(j, protocol.Cancelled)
	c.now = c.now.Add(time.Hour)
	if l.withinTeamLimit(other) {
		t.Error("tasks count no more once they were told to stop")
	}
	if j.zoneAllowed("b") {
		t.Error("another zone is allowed while tasks may be in this one")
	}
}

// A task is placed only on a machine that is on record: the next leader finds attempts by
// their machines, and takes those on others for gone.
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
			t.Errorf("on record %t, task placed %t", recorded, placed)
		}
	}
}

// A leader whose lease may have ended places nothing, and after its grace it answers no
// worker, whatever it knows: another may lead, and wait for the end of that grace only.
func TestLeaderStopsAfterLeaseExpiry(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	l.addJob(&records.Job{SubmittedAt: records.UnixMillis(c.now), BlockSize: 8, Spec: jobSpec("run-000001")})
	c.Request(c.now, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(3))
	m := l.machines["vm-1"]
	m.recorded, m.session.LastReached, m.Spec = true, c.now, c.types["small"]
	l.lease.ValidUntil = c.now
	l.runPlacementRound()
	if len(m.attempts) > 0 {
		t.Error("placed without a lease")
	}
	l.lease.ValidUntil, l.jobsKnownAt = c.now, c.now.Add(time.Hour)
	c.now = c.now.Add(l.gracePeriod())
	if !l.holdsLease() {
		t.Error("not entitled within its grace")
	}
	c.now = c.now.Add(time.Millisecond)
	e := c.Request(c.now, 2, "POST", protocol.PathHeartbeat, encodedHeartbeat(4))
	if len(e.Replies) != 1 || e.Replies[0].Status != 421 {
		t.Errorf("after its grace it answers %+v", e.Replies)
	}
}

// A start in an answer to a report is carried out before the worker's next report, or
// never. A response of the worker's may be older than that answer, and so may prove
// nothing by lacking the task; the next report does, and the start is sent once more.
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
	l.applyResponse(m, r) // on its way since before the answer
	if j.task(0).live != a {
		t.Fatal("a response that may be older than the start proves it gone")
	}
	c.Request(c.now, 2, "POST", protocol.PathHeartbeat, encodedHeartbeat(5))
	if j.task(0).live == a {
		t.Error("the next report lacks it, and it still counts")
	}
}

// A leader that a worker shows a later term's token answers nobody any more.
func TestLaterTermEndsLeadership(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	body := protocol.EncodeHeartbeat(&protocol.Heartbeat{Machine: "vm-1", Addr: "x", Type: "small", Zone: "a", Incarnation: 1, Sequence: 4, FencingToken: (l.term + 1) << 16})
	if e := c.Request(c.now, 1, "POST", protocol.PathHeartbeat, body); e.Replies[0].Status != 421 || c.leader != nil {
		t.Errorf("got %d, leads %t", e.Replies[0].Status, c.leader != nil)
	}
}

// A session has its whole lease from its beginning, whether or not a report of it is ever
// answered: a machine whose reports reach nobody gets work by direct starts in it, and when
// it then falls silent its tasks go on until that lease is over. Counted from the last
// answer, in a session before, they were taken for ended and started elsewhere meanwhile.
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
	l.applyResponse(m, r) // a response: its reports don't come
	if proof := l.terminationProofAt(m); proof.Before(c.now.Add(c.cfg.WorkerLease)) {
		t.Errorf("taken for dead %s after its session began, its lease is %s", proof.Sub(c.now), c.cfg.WorkerLease)
	}
	if m.session.LastAnswered != answered {
		t.Error("a session that began counts as a report that was answered")
	}
}
