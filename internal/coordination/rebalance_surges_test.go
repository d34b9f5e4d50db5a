package coordination

import (
	"testing"
	"time"

	"brasskeel/internal/config"
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// leaderWithBalancing is a leader with balance on, and a task on a machine that reported once.
func leaderWithBalancing(t *testing.T) (*Controller, *leader, *attempt) {
	t.Helper()
	c, l := newTestLeader(phaseActive)
	c.operator.Balance = &config.Balance{CeilingShare: 0.5, FetchQueueSeconds: 20, TradeSeconds: 2}
	l.rebalancer = newRebalancer(l)
	c.Request(c.now, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(3))
	m := l.machines["vm-1"]
	m.recorded, m.session.LastReached = true, c.now
	s := jobSpec("run-000001")
	s.Image, s.ImageGB = "img-1", 2
	l.addJob(&records.Job{SubmittedAt: records.UnixMillis(c.now), BlockSize: 8, Spec: s})
	l.assign(l.jobsByAge[0], 0, m)
	a := l.jobsByAge[0].task(0).live
	a.recorded = true
	return c, l, a
}

// stateReport is a report that shows an attempt in a state.
func stateReport(a *attempt, seq uint64, s protocol.TaskState) []byte {
	return protocol.EncodeHeartbeat(&protocol.Heartbeat{Machine: a.machine.Name, Addr: "x", Type: "small", Zone: "a", Incarnation: 1, Sequence: seq, FencingToken: 1 << 16,
		Tasks: []protocol.TaskStatus{{Job: a.job.ID, TaskIndex: a.taskIndex, Attempt: a.number, State: s}}})
}

// Load follows what workers show, and nothing that is a copy or older.
func TestLoadFollowsReports(t *testing.T) {
	c, l, a := leaderWithBalancing(t)
	m := a.machine
	queued := func() time.Duration { return m.load.Fetches.Backlog(c.now, m.Spec.FetchGBPerSecond) }
	if r, tasks := m.load.TeamUsage(l.rebalancer.teams["red"].id); tasks != 1 || r != placement.Needs(a.job.Job) || queued() != 2*time.Second {
		t.Fatalf("reserved %+v by %d, %s queued", r, tasks, queued())
	}
	c.Request(c.now, 2, "POST", protocol.PathHeartbeat, stateReport(a, 5, protocol.Fetching))
	c.Request(c.now, 3, "POST", protocol.PathHeartbeat, stateReport(a, 4, protocol.Running)) // a copy, or held up
	if queued() != 2*time.Second {
		t.Errorf("%s queued after an older report", queued())
	}
	c.Request(c.now, 4, "POST", protocol.PathHeartbeat, stateReport(a, 6, protocol.Running))
	if queued() != 0 {
		t.Errorf("%s queued while the task runs", queued())
	}
	m.load.Fetches.Add(c.now, 99, 5, m.Spec.FetchGBPerSecond)
	c.Request(c.now, 5, "POST", protocol.PathHeartbeat, protocol.EncodeHeartbeat(&protocol.Heartbeat{Machine: m.Name, Addr: "x", Type: "small", Zone: "a", Incarnation: 2, Sequence: 7, FencingToken: 1 << 16}))
	if _, tasks := m.load.TeamUsage(l.rebalancer.teams["red"].id); tasks != 0 || queued() != 0 {
		t.Errorf("%d tasks and %s queued in a new session", tasks, queued())
	}
	c.Request(c.now, 6, "POST", protocol.PathHeartbeat, stateReport(a, 9, protocol.Running))
	if _, tasks := m.load.TeamUsage(l.rebalancer.teams["red"].id); tasks != 0 {
		t.Errorf("%d tasks after a report of an earlier session", tasks)
	}
}

// Surges that can't be read are told of and count as none.
func TestUnreadableSurges(t *testing.T) {
	_, l, a := leaderWithBalancing(t)
	l.rebalancer.restoreSurges([]protocol.KeyValue{{Key: records.KeySurges, Value: []byte(`{"red": "soon"}`)}})
	if l.rebalancer.surgeOf(a.job) != 0 {
		t.Error("a surge was guessed at")
	}
	l.rebalancer.restoreSurges([]protocol.KeyValue{{Key: records.KeySurges, Value: records.Encode(records.Surges{"red": {Number: 5, Level: 1}, "nobody": {Number: 6}})}})
	if l.rebalancer.surgeOf(a.job) != 5 {
		t.Error("the surge on record isn't under way")
	}
}
