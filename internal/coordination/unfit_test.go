package coordination

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"brasskeel/internal/bookkeeping"
	"brasskeel/internal/config"
	"brasskeel/internal/protocol"
)

// A leader that never hears most of the machines that ran tasks before gives way to
// another node before it gives any of them up, once, unless all others did the same;
// and nobody hands over to it for its zone meanwhile. A leader that was cut off from its
// workers had been handed the lead again and returned 1,113 machines that others reached.
func TestLeaderWithoutWorkersGivesWay(t *testing.T) {
	for _, c := range []struct {
		name  string
		heard int
		peers []bool // whether they are unfit
		stays bool
	}{
		{"hears nobody", 0, []bool{false, true}, false},
		{"hears nobody and no peer", 0, nil, false},
		{"hears half", 5, []bool{false, false}, true},
		{"hears nobody, as the others did", 0, []bool{true, true}, true},
		{"hears nobody, again, and no peer", 0, nil, true},
		{"hears nobody, again, while another is fit", 0, []bool{false, true}, false},
	} {
		n, l := leading(settling)
		again := strings.Contains(c.name, "again")
		if again {
			n.election.unfitUntil = n.now.Add(unfitTime)
		}
		n.cfg.Peers = []config.Peer{{Name: "n1", Zone: "b"}, {Name: "n2", Zone: "a"}}
		n.teams["red"].CPUsMax = 100
		l.addJob(&bookkeeping.Job{Submitted: bookkeeping.Millis(n.now), Chunk: 96, Spec: &protocol.Job{ID: "run-000001", Class: "c",
			Team: "red", Kind: protocol.Service, Priority: protocol.Critical, Tasks: 20, CPUs: 2, MemGB: 1, Image: "a", ImageGB: 1}})
		j := l.order[0]
		for i := range 10 {
			m := l.newMachine(fmt.Sprintf("vm-%02d", i), "small", "a", false)
			m.inherited, m.recorded = true, true
			j.chunk(i)
			a := &attempt{job: j, task: i, number: 1, machine: m, recorded: true, inherited: true, since: n.now}
			l.attach(a)
		}
		l.phase, l.loadedAt, l.settled = active, n.now, n.now
		for range 60 { // 15 s, the length of a lease
			n.now = n.now.Add(watchInterval)
			for i, unfit := range c.peers {
				raw, err := json.Marshal(peerMessage{Node: fmt.Sprintf("n%d", i+1), StoreOK: true, Unfit: unfit})
				if err != nil {
					t.Fatal(err)
				}
				n.Peer(n.now, raw)
			}
			for i, m := range l.fleetList {
				if i < c.heard {
					m.up, m.heard, m.reached, m.answered, m.firstHeard = true, n.now, n.now, n.now, n.now
				}
			}
			if n.lead != nil {
				l.watchMachines()
			}
		}
		if stays := n.lead == l; stays != c.stays {
			t.Errorf("a leader that %s stays: %t", c.name, stays)
		}
		for _, m := range l.fleetList {
			if !c.stays && m.releasing {
				t.Errorf("a leader that %s gave up %s before it gave way", c.name, m.Name)
			}
		}
		if !again && n.unfit() == c.stays {
			t.Errorf("a leader that %s calls itself unfit: %t", c.name, n.unfit())
		}
	}
}

// The lead isn't handed to a node of the better zone that calls itself unfit.
func TestNoHandOverToUnfit(t *testing.T) {
	for _, unfit := range []bool{false, true} {
		n, l := leading(active)
		n.cfg.Zone = "b"
		n.cfg.Peers = []config.Peer{{Name: "n1", Zone: "a"}}
		n.election.prefer = "a"
		n.now = n.now.Add(time.Minute)
		for i := range 5 {
			m := l.newMachine(fmt.Sprintf("vm-%d", i), "small", "a", false)
			m.up, m.heard = true, n.now
		}
		n.peers["n1"] = &peerView{at: n.now, storeOK: true, unfit: unfit}
		l.choosePlace()
		if stays := n.lead == l; stays != unfit {
			t.Errorf("with the peer unfit %t the leader stays: %t", unfit, stays)
		}
	}
}

// A leader whose calls to nearly all workers fail doesn't wait for their reports before it
// gives way: with two such nodes in a row the workers' leases were over.
func TestLeaderThatReachesNobodyGivesWaySoon(t *testing.T) {
	n, l := leading(settling)
	n.cfg.Peers = []config.Peer{{Name: "n1", Zone: "b"}}
	n.peers["n1"] = &peerView{at: n.now, storeOK: true}
	n.teams["red"].CPUsMax = 100
	l.addJob(&bookkeeping.Job{Submitted: bookkeeping.Millis(n.now), Chunk: 96, Spec: &protocol.Job{ID: "run-000001", Class: "c",
		Team: "red", Kind: protocol.Batch, Priority: protocol.Standard, Tasks: 20, CPUs: 2, MemGB: 1, Image: "a", ImageGB: 1}})
	j := l.order[0]
	for i := range 10 {
		m := l.newMachine(fmt.Sprintf("vm-%02d", i), "small", "a", false)
		m.inherited, m.recorded, m.addr = true, true, "x"
		l.attach(&attempt{job: j, task: i, number: 1, machine: m, recorded: true, inherited: true, since: n.now})
	}
	l.phase, l.loadedAt, l.settled = active, n.now, n.now
	begin := n.now
	n.take()
	for n.lead == l && n.now.Sub(begin) < 15*time.Second {
		n.now = n.now.Add(watchInterval)
		n.peers["n1"].at = n.now
		l.watchMachines()
		for _, c := range n.take().Calls {
			if c.To == Worker {
				n.Result(n.now, c.ID, Outcome{})
			}
		}
	}
	if took := n.now.Sub(begin); took > 5*time.Second {
		t.Errorf("it gave way after %s", took)
	}
	for _, m := range l.fleetList {
		if m.releasing {
			t.Errorf("%s was given up before", m.Name)
		}
	}
}
