package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"brasskeel/internal/config"
	"brasskeel/internal/coordination/leadership"
	"brasskeel/internal/coordination/peers"
	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// addInheritedAttempts adds ten machines of an earlier leader, each with a task, whose workers
// have not contacted this leader yet.
func addInheritedAttempts(c *Controller, l *leader) {
	c.teams["red"].MaxCPUs = 100
	l.addJob(&records.Job{SubmittedAt: records.UnixMillis(c.now), BlockSize: 96, Spec: &protocol.Job{ID: "run-000001", Class: "c",
		Team: "red", Kind: protocol.Service, Priority: protocol.Critical, Tasks: 20, CPUs: 2, MemoryGB: 1, Image: "a", ImageGB: 1}})
	j := l.jobsByAge[0]
	for i := range 10 {
		m := l.newMachine(fmt.Sprintf("vm-%02d", i), "small", "a", false)
		m.inherited, m.recorded = true, true
		j.block(i)
		a := &attempt{job: j, taskIndex: i, number: 1, machine: m, recorded: true, delivery: sessions.Delivery{Inherited: true}, stateSince: c.now}
		l.attach(a)
	}
	l.phase, l.loadedAt, l.reconciledAt = phaseActive, c.now, c.now
}

// A leader that receives no heartbeats from most of the machines that ran tasks before its term
// resigns before it releases any of them. It marks itself as disconnected and resigns again only if
// another controller is eligible; it doesn't resign if all peers are disconnected too. While it is
// marked, no leader hands over to it because of its zone. Without the mark, a leader that was
// partitioned from its workers got the leadership again and released 1,113 machines that other
// controllers could reach.
func TestDisconnectedLeaderResigns(t *testing.T) {
	for _, test := range []struct {
		name      string
		inContact int    // machines whose heartbeats arrive
		peers     []bool // for each peer whose messages arrive, whether it is disconnected
		stays     bool
	}{
		{"no heartbeats arrive", 0, []bool{false, true}, false},
		{"no heartbeats and no peer messages arrive", 0, nil, false},
		{"heartbeats of half of the machines arrive", 5, []bool{false, false}, true},
		{"no heartbeats arrive, all peers disconnected", 0, []bool{true, true}, true},
		{"again no heartbeats and no peer messages arrive", 0, nil, true},
		{"again no heartbeats arrive, a peer eligible", 0, []bool{false, true}, false},
	} {
		c, l := newTestLeader(phaseReconciling)
		again := strings.Contains(test.name, "again")
		if again {
			c.election.MarkDisconnected(leadership.PeerCounts{Configured: 1})
		}
		c.cfg.Peers = []config.Peer{{Name: "n1", Zone: "b"}, {Name: "n2", Zone: "a"}}
		addInheritedAttempts(c, l)
		for range 60 { // 15 s, the length of a worker's lease
			c.now = c.now.Add(detectorInterval)
			for i, disconnected := range test.peers {
				m := peers.Message{Sender: fmt.Sprintf("n%d", i+1), StoreReachable: true, Disconnected: disconnected}
				c.PeerMessage(c.now, m.Encode())
			}
			for i, m := range l.fleetList {
				if i < test.inContact {
					m.session.Registered, m.session.LastSeen, m.session.LastReached, m.session.LastAnswered, m.session.RegisteredAt = true, c.now, c.now, c.now, c.now
				}
			}
			if c.leader != nil {
				l.detectFailures()
			}
		}
		if stays := c.leader == l; stays != test.stays {
			t.Errorf("%s: keeps leading: %t, want %t", test.name, stays, test.stays)
		}
		for _, m := range l.fleetList {
			if !test.stays && m.lifecycle.releasing() {
				t.Errorf("%s: %s was released before the leader resigned", test.name, m.Name)
			}
		}
		if !again && c.election.Disconnected() == test.stays {
			t.Errorf("%s: marked as disconnected: %t, want %t: true only after a resignation", test.name, c.election.Disconnected(), !test.stays)
		}
	}
}

// Leadership is not handed to a controller in the preferred zone that reports itself as
// disconnected.
func TestNoHandOverToDisconnectedPeer(t *testing.T) {
	for _, disconnected := range []bool{false, true} {
		c, l := newTestLeaderInZone("b", phaseActive)
		c.cfg.Peers = []config.Peer{{Name: "n1", Zone: "a"}}
		setElectionKeys(c, protocol.KeyValue{Key: records.KeyPreferredZone, Value: records.Encode(records.PreferredZone{Zone: "a"}), Version: 9})
		c.now = c.now.Add(time.Minute)
		for i := range 5 {
			m := l.newMachine(fmt.Sprintf("vm-%d", i), "small", "a", false)
			m.session.Registered, m.session.LastSeen = true, c.now
		}
		c.peers["n1"] = &peers.Status{LastReceivedAt: c.now, StoreReachable: true, Disconnected: disconnected}
		l.preferMajorityZone()
		if stays := c.leader == l; stays != disconnected {
			t.Errorf("peer disconnected: %t; keeps leading: %t, want %t", disconnected, stays, disconnected)
		}
	}
}

// A leader whose calls to nearly all workers fail resigns without waiting for their heartbeats.
// When leaders waited, the workers' leases expired during the terms of two successive leaders that
// couldn't reach the workers.
func TestLeaderWithFailingCallsResignsEarly(t *testing.T) {
	c, l := newTestLeader(phaseReconciling)
	c.cfg.Peers = []config.Peer{{Name: "n1", Zone: "b"}}
	c.peers["n1"] = &peers.Status{LastReceivedAt: c.now, StoreReachable: true}
	c.teams["red"].MaxCPUs = 100
	l.addJob(&records.Job{SubmittedAt: records.UnixMillis(c.now), BlockSize: 96, Spec: &protocol.Job{ID: "run-000001", Class: "c",
		Team: "red", Kind: protocol.Batch, Priority: protocol.Standard, Tasks: 20, CPUs: 2, MemoryGB: 1, Image: "a", ImageGB: 1}})
	j := l.jobsByAge[0]
	for i := range 10 {
		m := l.newMachine(fmt.Sprintf("vm-%02d", i), "small", "a", false)
		m.inherited, m.recorded, m.addr = true, true, "x"
		l.attach(&attempt{job: j, taskIndex: i, number: 1, machine: m, recorded: true, delivery: sessions.Delivery{Inherited: true}, stateSince: c.now})
	}
	l.phase, l.loadedAt, l.reconciledAt = phaseActive, c.now, c.now
	begin := c.now
	c.takeEffects()
	for c.leader == l && c.now.Sub(begin) < 15*time.Second {
		c.now = c.now.Add(detectorInterval)
		c.peers["n1"].LastReceivedAt = c.now
		l.detectFailures()
		for _, call := range c.takeEffects().Calls {
			if call.To == Worker {
				c.Result(c.now, call.ID, Outcome{})
			}
		}
	}
	if took := c.now.Sub(begin); took > 5*time.Second {
		t.Errorf("the leader resigned after %s, want at most 5s", took)
	}
	for _, m := range l.fleetList {
		if m.lifecycle.releasing() {
			t.Errorf("%s was released before the leader resigned", m.Name)
		}
	}
}
