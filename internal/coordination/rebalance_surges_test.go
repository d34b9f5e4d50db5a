package coordination

import (
	"testing"
	"time"

	"brasskeel/internal/config"
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// leaderWithBalancing returns a controller that leads with load balancing on, and an attempt on a
// machine whose worker has sent one heartbeat.
func leaderWithBalancing(t *testing.T) (*Controller, *leader, *attempt) {
	t.Helper()
	c, l := newTestLeader(phaseActive)
	c.operator.Balance = &config.Balance{CeilingShare: 0.5, MaxFetchBacklogSeconds: 20, LoadPenaltySeconds: 2}
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

// stateHeartbeat returns a heartbeat that reports an attempt in a state.
func stateHeartbeat(a *attempt, seq uint64, s protocol.TaskState) []byte {
	return protocol.EncodeHeartbeat(&protocol.Heartbeat{Machine: a.machine.Name, Addr: "x", Type: "small", Zone: "a", Incarnation: 1, Sequence: seq, FencingToken: 1 << 16,
		Tasks: []protocol.TaskStatus{{Job: a.job.ID, TaskIndex: a.taskIndex, Attempt: a.number, State: s}}})
}

// The load of a machine follows the heartbeats of its worker, but not those that are duplicates or
// arrive out of order.
func TestLoadFollowsHeartbeats(t *testing.T) {
	c, l, a := leaderWithBalancing(t)
	m := a.machine
	queued := func() time.Duration { return m.load.Fetches.Backlog(c.now, m.Spec.FetchGBPerSecond) }
	if r, tasks := m.load.TeamUsage(l.rebalancer.teams["red"].id); tasks != 1 || r != placement.Needs(a.job.Job) || queued() != 2*time.Second {
		t.Fatalf("usage of the team is %+v by %d tasks, %s of fetches queued; want 1 task and 2s", r, tasks, queued())
	}
	c.Request(c.now, 2, "POST", protocol.PathHeartbeat, stateHeartbeat(a, 5, protocol.Fetching))
	c.Request(c.now, 3, "POST", protocol.PathHeartbeat, stateHeartbeat(a, 4, protocol.Running)) // delayed, or a duplicate
	if queued() != 2*time.Second {
		t.Errorf("%s of fetches queued after an older heartbeat, want 2s", queued())
	}
	c.Request(c.now, 4, "POST", protocol.PathHeartbeat, stateHeartbeat(a, 6, protocol.Running))
	if queued() != 0 {
		t.Errorf("%s of fetches queued while the task runs, want none", queued())
	}
	m.load.Fetches.Add(c.now, 99, 5, m.Spec.FetchGBPerSecond)
	c.Request(c.now, 5, "POST", protocol.PathHeartbeat, protocol.EncodeHeartbeat(&protocol.Heartbeat{Machine: m.Name, Addr: "x", Type: "small", Zone: "a", Incarnation: 2, Sequence: 7, FencingToken: 1 << 16}))
	if _, tasks := m.load.TeamUsage(l.rebalancer.teams["red"].id); tasks != 0 || queued() != 0 {
		t.Errorf("%d tasks and %s of fetches queued in a new incarnation, want none", tasks, queued())
	}
	c.Request(c.now, 6, "POST", protocol.PathHeartbeat, stateHeartbeat(a, 9, protocol.Running))
	if _, tasks := m.load.TeamUsage(l.rebalancer.teams["red"].id); tasks != 0 {
		t.Errorf("%d tasks after a heartbeat of an earlier incarnation, want none", tasks)
	}
}

// A surges record that can't be decoded counts as no surge. Surges of unknown teams are ignored.
func TestUnreadableSurges(t *testing.T) {
	_, l, a := leaderWithBalancing(t)
	l.rebalancer.restoreSurges([]protocol.KeyValue{{Key: records.KeySurges, Value: []byte(`{"red": "soon"}`)}})
	if l.rebalancer.surgeOf(a.job) != 0 {
		t.Error("surge restored from an unreadable record")
	}
	l.rebalancer.restoreSurges([]protocol.KeyValue{{Key: records.KeySurges, Value: records.Encode(records.Surges{"red": {Number: 5, UsualCPUs: 1}, "unknown": {Number: 6}})}})
	if l.rebalancer.surgeOf(a.job) != 5 {
		t.Error("recorded surge not restored")
	}
}
