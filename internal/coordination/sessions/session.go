package sessions

import (
	"errors"
	"slices"
	"time"
)

// TokenBits is how many low bits of a fencing token raise it for one worker; the bits above
// hold the term of the epoch.
const TokenBits = 16

// ErrTokensExhausted says that a worker's token can't be raised any more in its epoch: it
// never wraps, since a worker ignores a lower token.
var ErrTokensExhausted = errors.New("no higher fencing token is left in this epoch")

// TermOf is the term of the epoch that gave out a fencing token.
func TermOf(token uint64) uint64 { return token >> TokenBits }

// Epoch is the time for which one owner serves machines, under tokens of one term.
type Epoch struct {
	Term  uint64
	Since time.Time
	// PredecessorUntil is until when whoever served the machines before may have answered
	// their workers.
	PredecessorUntil time.Time
	Paused           bool // nothing is answered or sent
}

// BaseToken is the lowest fencing token of the epoch.
func (e *Epoch) BaseToken() uint64 { return e.Term << TokenBits }

// Session is what the owner of a machine knows of its worker. Its zero value is that of a
// worker that was never heard, on a machine that isn't served.
type Session struct {
	// Epoch is that of who serves the machine here; nil: it isn't served here.
	Epoch      *Epoch
	Registered bool // it has sent a heartbeat in this epoch
	Reconciled bool // its tasks were compared with what is known of them
	MessageOrder
	FencingState
	Contact
}

// MessageOrder orders the messages of a worker. A worker numbers its incarnations, and in each
// of them all its messages: heartbeats and responses to calls.
type MessageOrder struct {
	Incarnation       uint64
	IncarnationSince  time.Time // when it was first heard of: it began no later
	Sequence          uint64    // of the latest message
	HeartbeatSequence uint64    // of the latest heartbeat
}

// FencingState is a worker's fencing token. A worker takes no orders and no answers with a token
// below the highest it has seen.
type FencingState struct {
	SeenToken uint64
	// EpochSeenAt is when the worker first showed a token of this epoch.
	EpochSeenAt time.Time
	// DirectStartToken is that of the latest start that was sent by a call of its own: a late
	// copy of it is refused once the worker has seen a higher one.
	DirectStartToken uint64

	offset    uint16    // raises the token for this worker alone
	sentSince time.Time // since when answers carry the present token; zero: none has yet
	confirmed bool      // a heartbeat has shown it
}

// Contact is when a worker was reached, in either direction. Heartbeats may arrive while
// answers and calls don't reach the worker, and a heartbeat may be a late copy: only a
// response to a call, or a heartbeat that shows a token raised here, proves that what is
// sent arrives.
type Contact struct {
	RegisteredAt  time.Time // the first heartbeat in this epoch
	LastSeen      time.Time // the latest message of the worker's
	LastAnswered  time.Time // the latest heartbeat that was answered
	LastReached   time.Time // the latest proof that something sent arrived; zero: none yet
	FailedProbes  int       // probes in a row without an answer
	ProbeInFlight bool
}

// Served reports whether the worker is this owner's to answer and to call now.
func (s *Session) Served() bool { return s.Epoch != nil && !s.Epoch.Paused }

// Token is the worker's present fencing token. It must be served here.
func (s *Session) Token() uint64 { return s.Epoch.BaseToken() | uint64(s.offset) }

// RaiseToken makes the token exceed one that the worker may have seen: that of a direct
// start, or its present one where only a heartbeat with a new token can tell whether answers
// reach it. It does nothing if the token is above that one by now. The error is
// ErrTokensExhausted.
func (s *Session) RaiseToken(above uint64, now time.Time) error {
	if s.Token() > above {
		return nil
	}
	if s.offset == 1<<TokenBits-1 {
		return ErrTokensExhausted
	}
	s.offset++
	s.sentSince, s.confirmed = now, false
	return nil
}

// Message is the place of a worker's message among its others.
type Message struct {
	Incarnation, Sequence uint64
	Token                 uint64 // the highest that the worker had seen
	Heartbeat             bool   // a heartbeat, and no response to a call
}

// Arrival says how a heartbeat stands to what came before it.
type Arrival uint8

const (
	// Newest is one that tells something new.
	Newest Arrival = iota + 1
	// Overtaken is one that a response which the worker sent later has come before. It tells
	// nothing new, but its answer renews the worker's lease.
	Overtaken
	// Stale is a copy, or one that the worker has given up: it has one heartbeat in flight at
	// a time, and no answer to this one renews its lease.
	Stale
)

// ClassifyHeartbeat judges a heartbeat before it is taken.
func (s *Session) ClassifyHeartbeat(heartbeat Message) Arrival {
	switch sameIncarnation := heartbeat.Incarnation == s.Incarnation; {
	case !s.Registered:
		return Newest
	case heartbeat.Incarnation < s.Incarnation, sameIncarnation && heartbeat.Sequence <= s.HeartbeatSequence:
		return Stale
	case sameIncarnation && heartbeat.Sequence <= s.Sequence:
		return Overtaken
	}
	return Newest
}

// IsNewer reports whether a message is newer than all that were taken.
func (n *MessageOrder) IsNewer(m Message) bool {
	return m.Incarnation > n.Incarnation || m.Incarnation == n.Incarnation && m.Sequence > n.Sequence
}

// Apply takes the newest message, and reports whether it begins an incarnation. It must be
// served here.
func (s *Session) Apply(m Message, now time.Time) (began bool) {
	began = m.Incarnation != s.Incarnation
	s.Incarnation, s.Sequence, s.SeenToken, s.LastSeen = m.Incarnation, m.Sequence, m.Token, now
	if s.EpochSeenAt.IsZero() && m.Token >= s.Epoch.BaseToken() {
		s.EpochSeenAt = now
	}
	if began {
		s.HeartbeatSequence = 0
		// An incarnation has its whole lease from its beginning, which was no later than now,
		// whether or not a heartbeat of it is ever answered. A machine whose heartbeats reach
		// nobody gets its work by direct starts all the same, incarnation after incarnation;
		// when it then fell silent, its tasks were taken for ended long before they were.
		s.IncarnationSince = now
	}
	return began
}

// ProvesReached reports whether a taken message proves that something sent has reached the
// worker, and since when: a response proves a call, and a heartbeat that shows a raised
// token proves an answer.
func (s *Session) ProvesReached(m Message, now time.Time) (at time.Time, proven bool) {
	switch {
	case !m.Heartbeat:
		return now, true
	case !s.confirmed && !s.sentSince.IsZero() && m.Token >= s.Token():
		s.confirmed = true
		return s.sentSince, true
	}
	return time.Time{}, false
}

// RecordAnswer notes that a heartbeat is about to be answered, with the present token.
func (s *Session) RecordAnswer(sequence uint64, now time.Time) {
	s.HeartbeatSequence = sequence
	if s.sentSince.IsZero() {
		s.sentSince = now
	}
}

// RecordReached notes that something sent arrived at the worker, at a time or after it.
func (c *Contact) RecordReached(at time.Time) {
	if at.After(c.LastReached) {
		c.LastReached = at
	}
}

// TerminationProofAt is when a worker that stays silent has certainly ended its tasks, if its
// lease, with what clocks may differ by, lasts for a time. Whoever served it before may have
// answered it until its own grace period ended.
func (s *Session) TerminationProofAt(lease time.Duration) time.Time {
	last := s.Epoch.PredecessorUntil
	if !s.EpochSeenAt.IsZero() {
		// It has seen a token of this epoch and takes no other's answer any more. Until then
		// an earlier owner's may have renewed its lease: a token that came with a direct
		// command says nothing of when that was.
		last = s.EpochSeenAt
	}
	return Latest(last, s.LastAnswered, s.IncarnationSince).Add(lease)
}

// Latest is the latest of some times.
func Latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }
