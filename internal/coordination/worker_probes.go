package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

const (
	probeTimeout    = 800 * time.Millisecond
	announceTimeout = time.Second
	// Each batch probes the larger of minProbeBatch workers and the fleet divided by
	// probeBatchDivisor. At that rate a new leader probes its whole fleet while it waits for
	// heartbeats, and a leader that lost contact with its workers notices before it releases
	// any machine.
	minProbeBatch     = 24
	probeBatchDivisor = 6
	// tokenEchoTimeout bounds the wait for a heartbeat that shows a new token: a worker sends
	// its next heartbeat within 500 ms of seeing one.
	tokenEchoTimeout = 700 * time.Millisecond
)

// needsProbe reports whether a machine should be probed. unseen is the time since the latest
// message of its worker.
func (s *workerSessions) needsProbe(m *machine, unseen time.Duration) bool {
	return s.detector.NeedsProbe(s.controller.timing(), &m.session, m.Zone, unseen, s.controller.now)
}

// terminateExpired terminates all attempts on a machine if its worker's lease has certainly
// expired.
func (s *workerSessions) terminateExpired(m *machine) {
	if !s.controller.now.After(s.terminationProofAt(m)) {
		return
	}
	for _, a := range m.sortedAttempts() {
		s.listener.attemptTerminated(a, "the worker's lease has ended")
	}
}

// probeBatch probes some of the listed machines, and others in the next call: sending hundreds of
// probes at once takes longer than probeTimeout.
func (s *workerSessions) probeBatch(list []*machine) {
	limit := max(minProbeBatch, len(s.fleetList)/probeBatchDivisor)
	if s.controller.overload.ShouldDefer() {
		limit /= 3 // probes can wait while the controller is loaded
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

// probe requests the status of a worker, to find out why it needs a probe: the worker may be sending
// its heartbeats to another controller, its heartbeats may get lost, or nothing that is sent to the
// worker may reach it.
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

// probeAnswered handles the outcome of a probe. The given incarnation is the latest that was
// known when the probe was sent.
func (s *workerSessions) probeAnswered(m *machine, incarnation uint64, out Outcome) {
	if out.Busy || m.removed || m.session.Epoch == nil {
		return // the probe wasn't sent, or the machine is no longer served here
	}
	var r *protocol.Heartbeat
	if out.Answered && out.Status == 200 {
		r, _ = protocol.ParseHeartbeat(out.Body)
	}
	switch {
	case r == nil || r.Machine != m.Name:
		m.session.FailedProbes++
		s.listener.probeFailed(m)
		// Possibly only calls fail. Once a heartbeat shows a raised token, that proves that
		// heartbeat responses reach the worker.
		if m.session.Registered && m.session.SeenToken >= m.session.Token() {
			s.raiseFencingToken(m, m.session.SeenToken)
		}
	case r.Incarnation < incarnation:
		// The probe was sent after the newer incarnation was known, so the worker lost its
		// state and restarted its incarnation numbers.
		s.controller.log.Warn("worker incarnation reset", "machine", m.Name, "incarnation", r.Incarnation, "previous", m.session.Incarnation)
		s.listener.incarnationReset(m)
	case m.session.IsNewer(responseMessage(r)):
		s.applyResponse(m, r)
		s.announceEpoch(m)
	default:
		s.recordReached(m, s.controller.now) // a later heartbeat arrived first
	}
}

// announceEpoch sends a worker a token of this epoch by a call if the worker's heartbeats go to
// another controller. An earlier owner without access to the state service may still respond to
// them, so that the worker would stay with that owner until the owner's grace period ends.
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

// needsAnnouncement reports whether a worker has seen no token of this epoch although it had
// time to reconnect. Workers that reconnect by themselves aren't called: with a small CPU
// share, those calls took a tenth of a new leader's first seconds.
func (s *workerSessions) needsAnnouncement(m *machine) bool {
	if !m.session.EpochSeenAt.IsZero() || m.orders.inFlight || !s.loaded && !m.attemptsKnown || !s.serves(m) {
		return false
	}
	return s.controller.now.Sub(m.session.Epoch.Since) >= s.controller.timing().ReconnectTime()
}
