package sessions

import (
	"errors"
	"slices"
	"time"
)

// TokenBits is the number of low bits of a fencing token that count raises for a single worker.
// The bits above hold the term of the epoch.
const TokenBits = 16

// ErrTokensExhausted means that a worker's token can't be raised any further in its epoch. The
// token never wraps around, since a worker ignores lower tokens.
var ErrTokensExhausted = errors.New("no higher fencing token is left in this epoch")

// TermOf returns the term of the epoch that issued a fencing token.
func TermOf(token uint64) uint64 { return token >> TokenBits }

// Epoch is the period in which one owner serves machines, with tokens of one term.
type Epoch struct {
	Term  uint64
	Since time.Time
	// PredecessorUntil is until when the previous owner of the machines may have responded
	// to their workers.
	PredecessorUntil time.Time
	Paused           bool // no responses or calls are sent
}

// BaseToken is the lowest fencing token of the epoch.
func (e *Epoch) BaseToken() uint64 { return e.Term << TokenBits }

// Session is what the owner of a machine knows of its worker. The zero value is for a worker
// that was never in contact, on a machine that isn't served.
type Session struct {
	// Epoch is the current ownership epoch of the machine; nil if it isn't served here.
	Epoch      *Epoch
	Registered bool // a status of the worker was received in this epoch
	Reconciled bool // its tasks were compared with the known attempts
	MessageOrder
	FencingState
	Contact
}

// MessageOrder holds the position of a worker's latest messages. A worker numbers its
// incarnations, and within each of them all its messages: heartbeats and responses to calls.
type MessageOrder struct {
	Incarnation       uint64
	IncarnationSince  time.Time // when the incarnation's first message arrived; the incarnation began no later
	Sequence          uint64    // of the latest message
	HeartbeatSequence uint64    // of the latest heartbeat
}

// FencingState is the state of a worker's fencing token. A worker rejects orders and heartbeat
// responses with a token below the highest it has seen.
type FencingState struct {
	// SeenToken is the highest token that the worker had seen when it sent its latest message.
	SeenToken uint64
	// EpochSeenAt is when a message of the worker first reported a token of this epoch.
	EpochSeenAt time.Time
	// DirectStartToken is the token of the latest direct start. The worker refuses a late
	// duplicate of that start once it has seen a higher token.
	DirectStartToken uint64

	offset    uint16    // raises of the token, for this worker only
	sentSince time.Time // since when heartbeat responses may have carried the current token; zero before the first response
	confirmed bool      // a heartbeat has reported the current token
}

// Contact is when there was contact with a worker, by direction. Heartbeats may arrive while
// responses and calls don't reach the worker, and a heartbeat may be a late duplicate. Only a
// response to a call, or a heartbeat that reports a token issued here, proves that messages
// reach the worker.
type Contact struct {
	RegisteredAt  time.Time // the first status in this epoch
	LastSeen      time.Time // the latest message from the worker
	LastAnswered  time.Time // the latest heartbeat that was answered
	LastReached   time.Time // the latest proof that something sent reached it; zero if none yet
	FailedProbes  int       // consecutive probes without an answer
	ProbeInFlight bool
}

// Served reports whether this owner currently responds to the worker's heartbeats and calls the
// worker.
func (s *Session) Served() bool { return s.Epoch != nil && !s.Epoch.Paused }

// Token returns the worker's current fencing token. The worker must be served here.
func (s *Session) Token() uint64 { return s.Epoch.BaseToken() | uint64(s.offset) }

// RaiseToken raises the token above one that the worker may have seen: the token of a direct
// start, or the current one if only a heartbeat with a new token can prove that heartbeat
// responses reach the worker. It does nothing if the token is already above it. The error is
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

// Message is what a session needs to know of a worker's message: its position among the worker's
// messages, its token and its kind.
type Message struct {
	Incarnation, Sequence uint64
	Token                 uint64 // the highest token that the worker had seen
	Heartbeat             bool   // a heartbeat rather than a response to a call
}

// Arrival classifies a heartbeat by the messages that arrived before it.
type Arrival uint8

const (
	// Newest is a heartbeat that is newer than all messages so far.
	Newest Arrival = iota + 1
	// Overtaken is a heartbeat that arrived after a response to a call which the worker sent
	// later. Its status is outdated, but the heartbeat response renews the worker's lease.
	Overtaken
	// Stale is a duplicate, or a heartbeat that the worker has abandoned. A worker has one
	// heartbeat in flight at a time, so a response to this one doesn't renew its lease.
	Stale
)

// ClassifyHeartbeat classifies a heartbeat. It must be called before the heartbeat is applied. Every
// heartbeat of a worker that hasn't registered in this epoch is Newest.
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

// IsNewer reports whether a message is newer than all that were applied.
func (n *MessageOrder) IsNewer(m Message) bool {
	return m.Incarnation > n.Incarnation || m.Incarnation == n.Incarnation && m.Sequence > n.Sequence
}

// Apply updates the session from the newest message, and reports whether the message begins an
// incarnation. The worker must be served here.
func (s *Session) Apply(m Message, now time.Time) (began bool) {
	began = m.Incarnation != s.Incarnation
	s.Incarnation, s.Sequence, s.SeenToken, s.LastSeen = m.Incarnation, m.Sequence, m.Token, now
	if s.EpochSeenAt.IsZero() && m.Token >= s.Epoch.BaseToken() {
		s.EpochSeenAt = now
	}
	if began {
		s.HeartbeatSequence = 0
		// An incarnation has a full lease from its beginning, which was no later than now,
		// whether or not any of its heartbeats is answered. A worker whose heartbeats reach no
		// controller still gets tasks by direct starts, in each of its incarnations. An
		// earlier version counted the lease from its last answered heartbeat and, once contact
		// with it was lost, considered its tasks terminated long before they had ended.
		s.IncarnationSince = now
	}
	return began
}

// ProvesReached reports whether an applied message proves that something sent has reached the
// worker, and the time from which the worker counts as reached. For a response to a call this is now.
// A heartbeat proves it if it is the first to report the current token, or a higher one, once heartbeat
// responses may have carried the current token; the time is then the earliest at which one can have.
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

// RecordAnswer records that a heartbeat is about to be answered with the current token.
func (s *Session) RecordAnswer(sequence uint64, now time.Time) {
	s.HeartbeatSequence = sequence
	if s.sentSince.IsZero() {
		s.sentSince = now
	}
}

// RecordReached records that something sent reached the worker, at the given time or later.
func (c *Contact) RecordReached(at time.Time) {
	if at.After(c.LastReached) {
		c.LastReached = at
	}
}

// TerminationProofAt returns the time at which a worker has certainly ended its tasks if contact
// with it isn't resumed before. lease is the worker's lease, with an allowance for clock drift. The
// previous owner may have responded to the worker until that owner's grace period ended.
func (s *Session) TerminationProofAt(lease time.Duration) time.Time {
	last := s.Epoch.PredecessorUntil
	if !s.EpochSeenAt.IsZero() {
		// The worker has seen a token of this epoch and no longer accepts responses of earlier
		// owners. Until it saw the token, they may have renewed its lease: a token that arrived
		// with a direct order doesn't show when the lease was last renewed.
		last = s.EpochSeenAt
	}
	return Latest(last, s.LastAnswered, s.IncarnationSince).Add(lease)
}

// Latest returns the latest of the given times.
func Latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }
