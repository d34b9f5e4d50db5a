package leadership

import (
	"time"

	"brasskeel/internal/protocol"
)

// Clock provides the time of the current step, timers and random delays.
type Clock interface {
	// Now returns the time at which the current step began.
	Now() time.Time
	// After runs f in a separate step once d has passed.
	After(d time.Duration, f func())
	// Jitter returns a random duration in [0, limit).
	Jitter(limit time.Duration) time.Duration
}

// Store is the consensus-backed key-value store. Each method sends a request and returns;
// done runs in a later step. A request that gets no response may have been carried out,
// or may be carried out later.
type Store interface {
	// List reads all keys with a prefix. It is retried until it succeeds or wanted returns
	// false. A watch that starts after the returned revision misses no change.
	List(prefix string, wanted func() bool, done func(items []protocol.KeyValue, revision uint64))
	// Watch waits until keys with a prefix change after a revision, or until the store ends the wait.
	Watch(prefix string, after uint64, done func(WatchResponse))
	// GrantLease requests a lease; granted is false unless the store confirmed the grant.
	GrantLease(ttl time.Duration, done func(lease uint64, granted bool))
	// RenewLease extends a lease to its full time to live. The renewal is RenewalUnknown if no
	// response arrives within timeout, or a response that says neither that the lease was extended
	// nor that it no longer exists.
	RenewLease(lease uint64, timeout time.Duration, done func(Renewal))
	// RevokeLease ends a lease, which deletes the keys bound to it. The outcome is not
	// reported: a lease that is not revoked expires.
	RevokeLease(lease uint64)
	// Commit sends a transaction; applied is false unless the store confirmed that it was
	// applied.
	Commit(t *protocol.Txn, done func(applied bool, revision uint64))
}

// WatchResponse is the response to a watch.
type WatchResponse struct {
	Status   WatchStatus
	Events   []protocol.Event // for WatchDelivered; empty if nothing changed while it waited
	Revision uint64           // the events include all changes up to this revision
}

// WatchStatus says how a watch ended.
type WatchStatus uint8

// Outcomes of a watch.
const (
	WatchDelivered WatchStatus = iota + 1
	WatchCompacted             // the store no longer has all changes after the requested revision
	WatchFailed
)

// Renewal is the outcome of a lease renewal.
type Renewal uint8

// Outcomes of a renewal.
const (
	RenewalSucceeded Renewal = iota + 1
	RenewalExpired           // the lease no longer exists
	RenewalUnknown           // no response, or one that doesn't say whether the lease exists
)

// Host is the controller that takes part in the election.
type Host interface {
	// Elected is called when the controller has become the leader.
	Elected(t LeaderTerm)
	// LeadershipEnded is called when the controller has stepped down.
	LeadershipEnded()
	// ElectionKeysChanged is called after the election keys were read or have changed: the leader, the
	// term, the preferred zone, or whether machines are divided into shards.
	ElectionKeysChanged()
	// LostToOverload reports whether the leadership that is about to end was most likely lost
	// because the controller was too busy to renew its lease in time.
	LostToOverload() bool
	// PeersUnresponsive reports whether messages of other controllers were received before, but
	// none recently.
	PeersUnresponsive() bool
}
