package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

// Times of silence after which a worker is asked at the soonest, and after which it is
// given up if it doesn't answer that either. Reports may be seconds apart; a worker
// that lives answers within milliseconds.
const (
	minProbeAfter            = 2 * time.Second
	failedProbesReleaseAfter = 3500 * time.Millisecond
)

const (
	detectorInterval = 250 * time.Millisecond
	probeTimeout     = 800 * time.Millisecond
	announceTimeout  = time.Second
	// Probes sent at a time: a part of the fleet, so that a new leader has asked all
	// of it within the time that it waits for reports, and one that lost its workers
	// finds out before it gives up any of them.
	minProbeBatch     = 24
	probeBatchDivisor = 6
	// A worker that has seen a new token reports again within half a second.
	tokenShownWithin = 700 * time.Millisecond
	// Reports wait unread while the process does nothing, and then all machines
	// seem silent.
	stallAfter = time.Second
)

// confirmReached notes that something of ours arrived at the worker, at or after at.
func (s *workerSessions) confirmReached(m *machine, at time.Time) {
	m.failedProbes = 0
	s.listener.workerReached(m)
	if at.After(m.lastReached) {
		m.lastReached = at
	}
}

// suspectAfter is the silence after which a machine takes nothing new, and
// unresponsiveAfter the one after which it is given up.
func (s *workerSessions) suspectAfter() time.Duration {
	return s.controller.cfg.HeartbeatInterval*5/4 + 700*time.Millisecond
}

func (s *workerSessions) unresponsiveAfter() time.Duration {
	return max(s.controller.cfg.HeartbeatInterval*2+time.Second, 4*time.Second)
}

// probeAfter is the silence after which a worker is asked. Where reports are further
// apart, asking between them took as many calls as there were reports, and finds what
// is dead a second sooner. In a zone where one doesn't answer the others are asked at
// the soonest, or the first would be given up before a cut is seen.
func (s *workerSessions) probeAfter(zone string) time.Duration {
	if s.suspectZones[zone] {
		return minProbeAfter
	}
	return max(minProbeAfter, s.controller.cfg.HeartbeatInterval)
}

// A machine that nothing of ours was seen to reach for this long is asked, and
// given up when that fails for longer still, although its reports arrive.
func (s *workerSessions) unreachedProbeAfter() time.Duration {
	return 2*s.controller.cfg.HeartbeatInterval + time.Second
}
func (s *workerSessions) unreachedReleaseAfter() time.Duration {
	return 3*s.controller.cfg.HeartbeatInterval + 4*time.Second
}

// unreachableProbes is how many calls in a row a worker leaves unanswered that counts as lost to
// who calls it.
const unreachableProbes = 2

// lostHeartbeatDelay is what a report costs that gets no answer: the worker waits for it and tries
// the next controller.
const lostHeartbeatDelay = 5 * time.Second

// unansweredFor is how long no report of a machine has been answered, although it may answer
// calls: its worker can't reach any controller.
func (s *workerSessions) unansweredFor(m *machine) time.Duration {
	if !m.registered {
		return 0
	}
	return s.controller.now.Sub(latest(m.lastAnswered, m.registeredAt, s.detectorResetAt))
}

// unreachedFor is how long nothing of ours was seen to arrive at a machine.
func (s *workerSessions) unreachedFor(m *machine) time.Duration {
	if !m.registered {
		return 0
	}
	return s.controller.now.Sub(latest(m.lastReached, m.registeredAt, s.detectorResetAt))
}

// stalled reports whether the process did nothing since it last looked at the machines.
func (s *workerSessions) stalled() bool {
	stalled := s.controller.now.Sub(s.lastScan) > stallAfter
	s.lastScan = s.controller.now
	return stalled
}

// wantsProbe reports whether a machine is to be asked that was silent for a time.
func (s *workerSessions) wantsProbe(m *machine, silent time.Duration) bool {
	return silent > s.probeAfter(m.Zone) || m.registered && m.lastReached.IsZero() || s.unreachedFor(m) > s.unreachedProbeAfter() || m.failedProbes > 0
}

// terminateExpired takes the attempts on a machine for gone whose worker's lease has certainly
// run out.
func (s *workerSessions) terminateExpired(m *machine) {
	if !s.controller.now.After(s.terminationProofAt(m)) {
		return
	}
	for _, a := range m.sortedAttempts() {
		s.listener.attemptTerminated(a, "the worker's lease has ended")
	}
}

// probeBatch asks some of the machines that are to be asked, others the next time:
// asking hundreds at once takes longer than the answers are waited for.
func (s *workerSessions) probeBatch(list []*machine) {
	most := max(minProbeBatch, len(s.fleetList)/probeBatchDivisor)
	if s.controller.overload.Defers() {
		most /= 3
	}
	for i := range list {
		if most == 0 {
			s.probeCursor += i
			return
		}
		if m := list[(s.probeCursor+i)%len(list)]; !m.probeInFlight {
			s.probe(m)
			most--
		}
	}
}

// probe asks a worker for its state: it may be reporting to another node, its
// reports may be lost, or nothing of ours may reach it.
func (s *workerSessions) probe(m *machine) {
	if m.probeInFlight || m.addr == "" || m.releasing && !m.releaseRevocable || m.removed || !s.serves(m) {
		return
	}
	m.probeInFlight = true
	incarnation := m.incarnation
	s.controller.call(Worker, m.addr, "GET", protocol.PathWorkerStatus, nil, probeTimeout, func(out Outcome) {
		if s.alive() {
			m.probeInFlight = false
			s.probeAnswered(m, incarnation, out)
		}
	})
}

// probeAnswered takes what came of a probe that was sent when a session was known.
func (s *workerSessions) probeAnswered(m *machine, incarnation uint64, out Outcome) {
	if out.Busy || m.removed || m.epoch == nil {
		return // nobody was asked, or it is no business of ours any more
	}
	var r *protocol.Heartbeat
	if out.Answered && out.Status == 200 {
		r, _ = protocol.ParseHeartbeat(out.Body)
	}
	switch {
	case r == nil || r.Machine != m.Name:
		m.failedProbes++
		s.listener.probeFailed(m)
		// Perhaps only calls fail. A token that the worker hasn't seen yet tells,
		// when a report shows it, whether answers to its reports arrive.
		if m.registered && m.seenToken >= s.fencingToken(m) {
			s.raiseFencingToken(m, m.seenToken)
		}
	case r.Incarnation < incarnation:
		// This was asked after the newer session was heard of, so the worker has
		// lost what it knew: it was started anew and counts from the beginning.
		s.controller.log.Warn("worker began anew", "machine", m.Name, "session", r.Incarnation, "before", m.incarnation)
		s.listener.incarnationReset(m)
	case m.isNewer(r):
		s.takeHeartbeat(m, r, false)
		s.announceEpoch(m)
	default:
		s.confirmReached(m, s.controller.now) // overtaken by a report of the worker's
	}
}

// announceEpoch lets a worker see this owner's token at once, although it reports to
// another node: an earlier owner that lost the state service may still answer it,
// and would hold it until its grace ends. Those that come by themselves aren't called
// for it: on a small share of a processor that cost a new leader a tenth of its first
// seconds.
func (s *workerSessions) announceEpoch(m *machine) {
	if !m.epochSeenAt.IsZero() || m.ordersInFlight || !s.loaded && !m.attemptsKnown || !s.serves(m) || s.controller.now.Sub(m.epoch.since) < s.controller.reconnectTime() {
		return
	}
	m.ordersInFlight = true
	body := protocol.EncodeDirectOrders(s.fencingToken(m), m.incarnation, nil)
	s.controller.call(Worker, m.addr, "POST", protocol.PathOrders, body, announceTimeout, func(out Outcome) {
		if !s.alive() {
			return
		}
		m.ordersInFlight = false
		r, err := protocol.ParseHeartbeat(out.Body)
		if out.Answered && out.Status == 200 && err == nil && r.Machine == m.Name && !m.removed && m.isNewer(r) {
			s.takeHeartbeat(m, r, false)
		}
		s.sendOrders(m)
	})
}

// reconnectTime is when the workers that can have found whoever serves them now: the
// longest interval between reports, and the second that a worker takes to try the next
// node.
func (c *Controller) reconnectTime() time.Duration {
	return c.cfg.HeartbeatInterval*5/4 + 1200*time.Millisecond
}
