package peers

import "time"

// Times after which what a peer said counts no more. A peer tells of itself each second.
const (
	statusTTL      = 3 * time.Second
	eligibilityTTL = 2500 * time.Millisecond // as one to hand the leadership to
	// progressTTL is longer: a job of a very large fleet has its turn only every few seconds.
	progressTTL = 30 * time.Second
)

// Status is what a peer last said of itself.
type Status struct {
	HeardAt            time.Time
	StoreReachable     bool // the state service serves it
	Disconnected       bool // it led lately and lost connectivity to too many machines
	WorkersUnreachable bool // it lately lost most of the workers that it served as an owner of shards

	term     uint64 // that progress is of
	progress map[string]receivedProgress
	prunedAt time.Time // when old progress was last dropped
}

type receivedProgress struct {
	JobProgress
	receivedAt time.Time
}

// Fresh reports whether the peer was heard lately.
func (s *Status) Fresh(now time.Time) bool { return now.Sub(s.HeardAt) < statusTTL }

// Eligible reports whether the leadership may be handed to the peer.
func (s *Status) Eligible(now time.Time) bool {
	return s.StoreReachable && !s.Disconnected && now.Sub(s.HeardAt) < eligibilityTTL
}

// Progress is what the peer, as the leader, lately said of a job; ok is false for nothing.
func (s *Status) Progress(job string, now time.Time) (p JobProgress, ok bool) {
	heard, ok := s.progress[job]
	if !ok || now.Sub(heard.receivedAt) > progressTTL {
		return JobProgress{}, false
	}
	return heard.JobProgress, true
}

func (s *Status) receive(m *Message, now time.Time) {
	s.HeardAt, s.StoreReachable, s.Disconnected, s.WorkersUnreachable = now, m.StoreReachable, m.Disconnected, m.WorkersUnreachable
	if s.term != m.Term || s.progress == nil {
		s.term, s.progress = m.Term, map[string]receivedProgress{}
	}
	for job, progress := range m.Progress {
		s.progress[job] = receivedProgress{progress, now}
	}
	s.prune(now)
}

func (s *Status) prune(now time.Time) {
	if now.Sub(s.prunedAt) < progressTTL {
		return
	}
	s.prunedAt = now
	for job, heard := range s.progress {
		if now.Sub(heard.receivedAt) > progressTTL {
			delete(s.progress, job)
		}
	}
}

// Table is the status of each peer that was heard, by name.
type Table map[string]*Status

// Receive takes a message of a peer.
func (t Table) Receive(m *Message, now time.Time) {
	s := t[m.Sender]
	if s == nil {
		s = &Status{}
		t[m.Sender] = s
	}
	s.receive(m, now)
}

// AnyFresh reports whether any peer was heard lately.
func (t Table) AnyFresh(now time.Time) bool {
	return t.any(func(s *Status) bool { return s.Fresh(now) })
}

// StoreReachable reports whether any peer lately said that the state service serves it.
func (t Table) StoreReachable(now time.Time) bool {
	return t.any(func(s *Status) bool { return s.StoreReachable && s.Fresh(now) })
}

// AnyEligible reports whether the leadership may be handed to any peer.
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

// Connectivity counts the peers that were heard lately by whether they may lead: those that
// say that they lost connectivity to the workers, and of the others those that reach the
// state service.
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
