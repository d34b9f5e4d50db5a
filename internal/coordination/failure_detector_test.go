package coordination

import (
	"fmt"
	"testing"
	"time"

	"brasskeel/internal/protocol"
)

// partitionZone simulates a network partition of a zone with twelve machines: no heartbeats arrive
// from them, and all calls to them time out. Their last heartbeats are spread over an interval. It
// returns the first machine released within span, and the number of probes sent.
func partitionZone(t *testing.T, interval, span time.Duration) (released string, probes int) {
	t.Helper()
	c, l := newTestLeader(phaseActive)
	c.cfg.HeartbeatInterval = interval
	start := c.now
	var cut, others []*machine
	for i := range 30 {
		m := l.newMachine(fmt.Sprintf("vm-%02d", i), "small", "b", false)
		m.session.Registered, m.recorded, m.session.Incarnation, m.addr = true, true, 1, fmt.Sprintf("addr-%02d", i)
		m.session.LastSeen, m.session.LastReached, m.session.RegisteredAt = c.now, c.now, c.now
		if i < 12 {
			m.Zone = "a"
			m.session.LastSeen = c.now.Add(-interval * 5 / 4 * time.Duration(i) / 12) // spread over the longest heartbeat interval
			cut = append(cut, m)
		} else {
			others = append(others, m)
		}
	}
	type probe struct {
		id uint64
		at time.Time
	}
	var open []probe
	calls := func(e Effects) {
		for _, call := range e.Calls {
			if call.To == Worker && call.Target == protocol.PathWorkerStatus {
				probes++
				open = append(open, probe{call.ID, c.now.Add(call.Timeout)})
			}
		}
	}
	for now := start; now.Sub(start) < span; now = now.Add(50 * time.Millisecond) {
		for _, m := range others {
			m.session.LastSeen, m.session.LastReached = now, now
		}
		for len(open) > 0 && !open[0].at.After(now) {
			id := open[0].id
			open = open[1:]
			calls(c.Result(now, id, Outcome{}))
		}
		calls(c.Tick(now))
		for _, m := range cut {
			if m.lifecycle.releasing() {
				return m.Name, probes
			}
		}
	}
	return "", probes
}

// Machines that are partitioned from the leader aren't released, whatever the heartbeat interval.
func TestPartitionDetectedBeforeMachinesAreReleased(t *testing.T) {
	for _, interval := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		if released, probes := partitionZone(t, interval, 12*time.Second); released != "" || probes < 12 {
			t.Errorf("heartbeat interval %s: %q released, want none; %d probes, want at least 12", interval, released, probes)
		}
	}
}

// A worker whose heartbeats arrive in time isn't probed between them.
func TestNoProbesBetweenTimelyHeartbeats(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	c.cfg.HeartbeatInterval = 4 * time.Second
	m := addTestMachine(l, "vm-1", true)
	m.addr, m.session.LastReached, m.session.RegisteredAt = "x", c.now, c.now
	for since := time.Duration(0); since < 4*time.Second; since += detectorInterval {
		c.now = m.session.LastSeen.Add(since)
		l.detectFailures()
	}
	if m.session.ProbeInFlight {
		t.Error("worker probed before its heartbeat is due")
	}
	c.now = m.session.LastSeen.Add(4*time.Second + detectorInterval)
	l.detectFailures()
	if !m.session.ProbeInFlight {
		t.Error("worker not probed although its heartbeat is overdue")
	}
}

// If one worker of a zone doesn't answer a probe, the others in that zone are probed earlier.
func TestSuspectZoneIsProbedSooner(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	c.cfg.HeartbeatInterval = 4 * time.Second
	lost, near, far := addTestMachine(l, "vm-1", true), addTestMachine(l, "vm-2", true), addTestMachine(l, "vm-3", true)
	for _, m := range []*machine{lost, near, far} {
		m.addr, m.session.LastReached, m.session.RegisteredAt = "x", c.now, c.now
	}
	lost.session.FailedProbes, far.Zone = 1, "b"
	c.now = c.now.Add(c.timing().ProbeAfter(true))
	l.detector.Scan(c.now) // so that the process doesn't count as stalled
	l.detectFailures()     // marks the zone as suspect
	c.now = c.now.Add(detectorInterval)
	l.detectFailures()
	if !near.session.ProbeInFlight || far.session.ProbeInFlight {
		t.Errorf("probed in the same zone: %t, in another zone: %t; want true, false", near.session.ProbeInFlight, far.session.ProbeInFlight)
	}
}
