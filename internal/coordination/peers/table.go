package peers

import "time"

// Times for which a peer's messages count. Every peer sends a message each second.
const (
	statusTTL      = 3 * time.Second
	eligibilityTTL = 2500 * time.Millisecond // for handing leadership to the peer
	// progressTTL is longer than statusTTL because in a very large fleet the progress of one job is
	// broadcast only every few seconds.
	progressTTL = 30 * time.Second
)

// Status is the latest status that a peer reported.
type Status struct {
	LastReceivedAt     time.Time // when the latest message was received
	StoreReachable     bool      // the state service serves the peer
	Disconnected       bool      // the peer recently resigned as the leader because it lost connectivity to its workers
	WorkersUnreachable bool      // the peer owns shards and recently lost most of their workers

	term     uint64 // the term that progress belongs to
	progress map[string]receivedProgress
	prunedAt time.Time // when expired progress was last removed
}

// receivedProgress is the progress of a job, with the time when it was received.
type receivedProgress struct {
	JobProgress
	receivedAt time.Time
}

// Fresh reports whether a message of the peer was received within statusTTL.
func (s *Status) Fresh(now time.Time) bool { return now.Sub(s.LastReceivedAt) < statusTTL }

// Eligible reports whether leadership may be handed to the peer: within eligibilityTTL, it reported that
// it reaches the state service and isn't disconnected.
func (s *Status) Eligible(now time.Time) bool {
	return s.StoreReachable && !s.Disconnected && now.Sub(s.LastReceivedAt) < eligibilityTTL
}

// Progress returns the progress that the peer, as the leader, recently reported of a job; ok is
// false if there is none.
func (s *Status) Progress(job string, now time.Time) (p JobProgress, ok bool) {
	received, ok := s.progress[job]
	if !ok || now.Sub(received.receivedAt) > progressTTL {
		return JobProgress{}, false
	}
	return received.JobProgress, true
}

// receive updates the status with a message. It discards the progress of other terms.
func (s *Status) receive(m *Message, now time.Time) {
	s.LastReceivedAt, s.StoreReachable, s.Disconnected, s.WorkersUnreachable = now, m.StoreReachable, m.Disconnected, m.WorkersUnreachable
	if s.term != m.Term || s.progress == nil {
		s.term, s.progress = m.Term, map[string]receivedProgress{}
	}
	for job, progress := range m.Progress {
		s.progress[job] = receivedProgress{progress, now}
	}
	s.prune(now)
}

// prune removes expired progress, at most once per progressTTL.
func (s *Status) prune(now time.Time) {
	if now.Sub(s.prunedAt) < progressTTL {
		return
	}
	s.prunedAt = now
	for job, received := range s.progress {
		if now.Sub(received.receivedAt) > progressTTL {
			delete(s.progress, job)
		}
	}
}

// Table holds the status of each peer that a message was received from, by name.
type Table map[string]*Status

// Receive updates the table with a message from a peer.
func (t Table) Receive(m *Message, now time.Time) {
	s := t[m.Sender]
	if s == nil {
		s = &Status{}
		t[m.Sender] = s
	}
	s.receive(m, now)
}

// AnyFresh reports whether a message of any peer was received recently.
func (t Table) AnyFresh(now time.Time) bool {
	return t.any(func(s *Status) bool { return s.Fresh(now) })
}

// StoreReachable reports whether any peer recently reported that the state service serves it.
func (t Table) StoreReachable(now time.Time) bool {
	return t.any(func(s *Status) bool { return s.StoreReachable && s.Fresh(now) })
}

// AnyEligible reports whether leadership may be handed to any peer.
func (t Table) AnyEligible(now time.Time) bool {
	return t.any(func(s *Status) bool { return s.Eligible(now) })
}

func (t Table) any(holds func(s *Status) bool) bool {
	for _, s := range t {
		if holds(s) {
			return true
		}
	}
	return false
}

// Connectivity counts peers with a fresh status: disconnected counts those that report that they lost
// connectivity to their workers, eligible the other ones that reach the state service.
func (t Table) Connectivity(now time.Time) (eligible, disconnected int) {
	for _, s := range t {
		switch {
		case !s.Fresh(now):
		case s.Disconnected:
			disconnected++
		case s.StoreReachable:
			eligible++
		}
	}
	return eligible, disconnected
}
