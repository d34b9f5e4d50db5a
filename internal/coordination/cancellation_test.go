package coordination

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"brasskeel/internal/coordination/leadership"
	"brasskeel/internal/coordination/peers"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// addRunningJob adds a job with one task, and returns it with a heartbeat that reports the task as
// running on vm-1.
func addRunningJob(c *Controller, l *leader) (*job, []byte) {
	l.addJob(&records.Job{SubmittedAt: records.UnixMillis(c.now), BlockSize: 8, Spec: jobSpec("run-000001")})
	j := l.jobs["run-000001"]
	return j, protocol.EncodeHeartbeat(&protocol.Heartbeat{Machine: "vm-1", Addr: "x", Type: "small", Zone: "a", Incarnation: 1, Sequence: 4, FencingToken: 1 << 16,
		Tasks: []protocol.TaskStatus{{Job: j.ID, TaskIndex: 0, Attempt: 1, State: protocol.Running}}})
}

func jobSpec(id string) *protocol.Job {
	return &protocol.Job{ID: id, Class: "c", Team: "red", Kind: protocol.Batch, Priority: protocol.Standard, Tasks: 1, CPUs: 1, MemoryGB: 1,
		Image: "i", ImageGB: 1}
}

// stopsJob reports whether a reply contains an order to stop the job's task, or is malformed.
func stopsJob(r Reply, job string) bool {
	_, _, orders, err := protocol.ParseOrders(r.Body)
	for _, o := range orders {
		if o.Kind == protocol.Stop && o.Job == job {
			return true
		}
	}
	return err != nil
}

// A leader that no longer receives job records stops answering heartbeats early enough that the
// worker lease that its last heartbeat response renews ends within CancelDeadline after the time as
// of which it knows the jobs. This holds for all settings, and even while its own lease is renewed.
func TestLeaseRenewalsEndWithinCancelTime(t *testing.T) {
	for _, test := range []struct{ lease, cancel time.Duration }{
		{15 * time.Second, 40 * time.Second}, {28 * time.Second, 48 * time.Second}, {22 * time.Second, 47 * time.Second},
		{60 * time.Second, 63 * time.Second}, {600 * time.Second, 700 * time.Second}} {
		c, l := newTestLeader(phaseActive)
		c.cfg.WorkerLease, c.cfg.CancelDeadline = test.lease, test.cancel
		l.jobsKnownAt = c.now
		l.lease.ValidUntil = c.now.Add(time.Hour) // the lease is renewed, but no watch gets a response
		known, lastAnswered := l.jobsKnownAt, time.Time{}
		for i := range 8000 {
			at := known.Add(time.Duration(i) * 100 * time.Millisecond)
			e := c.Request(at, uint64(i+1), "POST", protocol.PathHeartbeat, encodedHeartbeat(uint64(i+1)))
			if len(e.Replies) == 1 && e.Replies[0].Status == 200 {
				lastAnswered = at
			}
		}
		leaseEnd := lastAnswered.Add(test.lease + test.lease/2000) // with the clock drift that the protocol allows
		if lastAnswered.IsZero() || leaseEnd.After(known.Add(test.cancel)) {
			t.Errorf("lease %s, cancel_s %s: last heartbeat answered %s after the jobs were known, tasks end %s after that time, later than cancel_s allows",
				test.lease, test.cancel, lastAnswered.Sub(known), leaseEnd.Sub(known))
		}
		// In an outage heartbeats should be answered for as long as possible: until one second
		// and the clock drift before that limit.
		if rest := known.Add(test.cancel).Sub(leaseEnd); rest > time.Second+leadership.MaxClockDrift(test.cancel+test.lease) {
			t.Errorf("lease %s, cancel_s %s: heartbeats are no longer answered %s earlier than necessary", test.lease, test.cancel, rest)
		}
	}
}

// A newly elected leader does not know which jobs are cancelled, so it renews no worker's lease
// before it has read the jobs. A leader that lost access to the state service before that kept
// tasks running that had been cancelled before its term.
func TestHeartbeatsWaitForJobRecords(t *testing.T) {
	c, l := newTestLeader(phaseLoading)
	l.jobsKnownAt = time.Time{}
	_, body := addRunningJob(c, l)
	if e := c.Request(c.now, 1, "POST", protocol.PathHeartbeat, body); len(e.Replies) != 0 {
		t.Fatalf("heartbeat answered before the jobs were read: %+v", e.Replies)
	}
	requested := c.now.Add(-50 * time.Millisecond)
	l.applyJobRecord(records.KeyOutcome("run-000001"), records.EncodeOutcome(protocol.Cancelled, 0), false)
	l.noteJobsKnown(requested)
	c.resumeDeferred()
	e := c.takeEffects()
	if len(e.Replies) != 1 || e.Replies[0].Status != 200 || !stopsJob(e.Replies[0], "run-000001") {
		t.Fatalf("replies %+v, want status 200 with an order to stop the task", e.Replies)
	}
	if !l.jobsKnownAt.Equal(requested) {
		t.Errorf("jobs known as of %s, want the time at which the list was requested", l.jobsKnownAt)
	}
	// Without the state service, the worker is redirected at once.
	l.jobsKnownAt = time.Time{}
	failStateServiceCalls(c)
	if e := c.Request(c.now, 2, "POST", protocol.PathHeartbeat, body); len(e.Replies) != 1 || e.Replies[0].Status != 421 {
		t.Errorf("replies %+v without the state service, want status 421", e.Replies)
	}
}

// After a watch the jobs are known as of the time at which it was requested: later records may be
// missing from the response, and the response may have been read late.
func TestJobsKnownAtIsWatchRequestTime(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	l.jobsKnownAt = c.now
	requested := c.now
	l.watchJobs(7)
	calls := c.takeEffects().Calls
	call := calls[len(calls)-1]
	if !strings.HasPrefix(call.Target, protocol.PathWatch) {
		t.Fatalf("the last call is to %s, want a watch", call.Target)
	}
	if call.Timeout > c.maxAnswerStaleness() {
		t.Errorf("the watch times out after %s, later than maxAnswerStaleness, %s", call.Timeout, c.maxAnswerStaleness())
	}
	l.jobsKnownAt = requested.Add(-10 * time.Second)
	c.Result(requested.Add(3*time.Second), call.ID, Outcome{Answered: true, Status: 200, Body: protocol.EncodeEvents(nil, 9)})
	if !l.jobsKnownAt.Equal(requested) {
		t.Errorf("jobs known as of %s after the time of the watch request, want 0s", l.jobsKnownAt.Sub(requested))
	}
}

// The response to a heartbeat that was overtaken by a later message renews the lease. It therefore
// stops the tasks of ended jobs, although the heartbeat's task list may be out of date.
func TestOvertakenHeartbeatStopsCancelledTasks(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	_, body := addRunningJob(c, l)
	c.Request(c.now, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(3))
	l.machines["vm-1"].session.Sequence = 9
	l.endJob(l.jobs["run-000001"], protocol.Cancelled)
	e := c.Request(c.now, 2, "POST", protocol.PathHeartbeat, body)
	if len(e.Replies) != 1 || e.Replies[0].Status != 200 || !stopsJob(e.Replies[0], "run-000001") {
		t.Errorf("replies %+v, want status 200 with an order to stop the task", e.Replies)
	}
}

// Recorded starts are sent only while the leader's knowledge of cancellations is no older than
// maxStartStaleness, so that no task of a job starts long after the job has ended.
func TestStartsNeedFreshJobRecords(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	l.jobsKnownAt = c.now
	j, _ := addRunningJob(c, l)
	c.Request(c.now, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(3))
	m := l.machines["vm-1"]
	a := &attempt{job: j, number: 1, machine: m, placedAt: c.now, recorded: true}
	l.attach(a)
	l.lease.ValidUntil = c.now.Add(time.Hour)
	c.now = c.now.Add(maxStartStaleness + time.Millisecond)
	l.sendOrders(m)
	e := c.Request(c.now, 2, "POST", protocol.PathHeartbeat, encodedHeartbeat(4))
	if _, _, orders, _ := protocol.ParseOrders(e.Replies[0].Body); len(orders) != 0 || len(e.Calls) != 0 {
		t.Fatalf("start sent more than %s after the jobs were known: orders %+v, calls %+v", maxStartStaleness, orders, e.Calls)
	}
	l.noteJobsKnown(c.now)
	calls := c.takeEffects().Calls
	if len(calls) != 1 || calls[0].To != Worker || calls[0].Target != protocol.PathOrders {
		t.Fatalf("calls %+v after the jobs were read again, want one with the deferred start", calls)
	}
	if _, _, orders, _ := protocol.ParseOrders(calls[0].Body); len(orders) != 1 || orders[0].Kind != protocol.Start {
		t.Errorf("orders %+v, want one start", orders)
	}
}

// A leader without access to the state service learns of cancellations from its peers before its
// grace period ends.
func TestPeersBroadcastCancellations(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	c.cfg.Peers = append(c.cfg.Peers, struct{ Name, Zone, Addr string }{Name: "n1", Zone: "a"})
	_, body := addRunningJob(c, l)
	raw, err := json.Marshal(peers.Message{Sender: "n1", Cancelled: map[string]int{"run-000001": 0}})
	if err != nil {
		t.Fatal(err)
	}
	c.PeerMessage(c.now, raw)
	e := c.Request(c.now, 1, "POST", protocol.PathHeartbeat, body)
	if len(e.Replies) != 1 || !stopsJob(e.Replies[0], "run-000001") {
		t.Errorf("replies %+v, want an order to stop the task of the cancelled job", e.Replies)
	}
}
