package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

const (
	probeTimeout    = 800 * time.Millisecond
	announceTimeout = time.Second
	// Probes sent at a time: a part of the fleet, so that a new leader has probed all of it
	// within the time that it waits for heartbeats, and one that lost its workers finds out
	// before it gives up any of them. The part is a divisor.
	minProbeBatch     = 24
	probeBatchDivisor = 6
	// A worker that has seen a new token sends its next heartbeat within half a second.
	tokenEchoTimeout = 700 * time.Millisecond
)

// needsProbe reports whether a machine is to be probed that was silent for a time.
func (s *workerSessions) needsProbe(m *machine, unseen time.Duration) bool {
	return s.detector.NeedsProbe(s.controller.timing(), &m.session, m.Zone, unseen, s.controller.now)
}

// terminateExpired takes the attempts on a machine for terminated whose worker's lease has
// certainly expired.
func (s *workerSessions) terminateExpired(m *machine) {
	if !s.controller.now.After(s.terminationProofAt(m)) {
		return
	}
	for _, a := range m.sortedAttempts() {
		s.listener.attemptTerminated(a, "the worker's lease has ended")
	}
}

// probeBatch probes some of the machines that are to be probed, others the next time:
// probing hundreds at once takes longer than the answers are waited for.
func (s *workerSessions) probeBatch(list []*machine) {
	limit := max(minProbeBatch, len(s.fleetList)/probeBatchDivisor)
	if s.controller.overload.ShouldDefer() {
		limit /= 3
	}
	s.detector.ProbeRoundRobin(len(list), limit, func(i int) bool {
		m := list[i]
		if m.session.ProbeInFlight {
			return false
		}
		s.probe(m)
		return true
	})
}

// probe asks a worker for its status: it may send its heartbeats to another controller, they
// may be lost, or nothing sent may reach it.
func (s *workerSessions) probe(m *machine) {
	if m.session.ProbeInFlight || m.addr == "" || m.lifecycle.release == releaseFinal || m.removed || !s.serves(m) {
		return
	}
	m.session.ProbeInFlight = true
	incarnation := m.session.Incarnation
	s.controller.call(Worker, m.addr, "GET", protocol.PathWorkerStatus, nil, probeTimeout, func(out Outcome) {
		if s.alive() {
			m.session.ProbeInFlight = false
			s.probeAnswered(m, incarnation, out)
		}
	})
}

// probeAnswered takes what came of a probe that was sent when an incarnation was known.
func (s *workerSessions) probeAnswered(m *machine, incarnation uint64, out Outcome) {
	if out.Busy || m.removed || m.session.Epoch == nil {
		return // nobody was asked, or the machine isn't served here any more
	}
	var r *protocol.Heartbeat
	if out.Answered && out.Status == 200 {
		r, _ = protocol.ParseHeartbeat(out.Body)
	}
	switch {
	case r == nil || r.Machine != m.Name:
		m.session.FailedProbes++
		s.listener.probeFailed(m)
		// Perhaps only calls fail. A token that the worker hasn't seen yet tells,
		// when a heartbeat shows it, whether answers to its heartbeats arrive.
		if m.session.Registered && m.session.SeenToken >= m.session.Token() {
			s.raiseFencingToken(m, m.session.SeenToken)
		}
	case r.Incarnation < incarnation:
		// This was asked after the newer incarnation was heard of, so the worker has
		// lost what it knew: it was started anew and counts from the beginning.
		s.controller.log.Warn("worker incarnation reset", "machine", m.Name, "incarnation", r.Incarnation, "previous", m.session.Incarnation)
		s.listener.incarnationReset(m)
	case m.session.IsNewer(responseMessage(r)):
		s.applyResponse(m, r)
		s.announceEpoch(m)
	default:
		s.recordReached(m, s.controller.now) // overtaken by a heartbeat of the worker's
	}
}

// announceEpoch lets a worker see a token of this epoch at once, although it sends its
// heartbeats to another controller: an earlier owner that lost the state service may still
// answer it, and would hold it until its grace period ends.
func (s *workerSessions) announceEpoch(m *machine) {
	if !s.needsAnnouncement(m) {
		return
	}
	m.orders.inFlight = true
	body := protocol.EncodeDirectOrders(m.session.Token(), m.session.Incarnation, nil)
	s.controller.call(Worker, m.addr, "POST", protocol.PathOrders, body, announceTimeout, func(out Outcome) {
		if !s.alive() {
			return
		}
		m.orders.inFlight = false
		r, err := protocol.ParseHeartbeat(out.Body)
		if out.Answered && out.Status == 200 && err == nil && r.Machine == m.Name && !m.removed && m.session.IsNewer(responseMessage(r)) {
			s.applyResponse(m, r)
		}
		s.sendOrders(m)
	})
}

// needsAnnouncement reports whether a worker has seen no token of this epoch and isn't about
// to. Those that come by themselves aren't called for it: on a small share of a processor
// that cost a new leader a tenth of its first seconds.
func (s *workerSessions) needsAnnouncement(m *machine) bool {
	if !m.session.EpochSeenAt.IsZero() || m.orders.inFlight || !s.loaded && !m.attemptsKnown || !s.serves(m) {
		return false
	}
	return s.controller.now.Sub(m.session.Epoch.Since) >= s.controller.timing().ReconnectTime()
}
