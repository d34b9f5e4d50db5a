package leadership

import (
	"time"

	"brasskeel/internal/protocol"
)

// Clock is the time of the steps that an election runs in.
type Clock interface {
	// Now is when the present step began.
	Now() time.Time
	// After runs f in a step of its own once d has passed.
	After(d time.Duration, f func())
	// Jitter is a random duration of at least zero and below limit.
	Jitter(limit time.Duration) time.Duration
}

// Store is the consensus-backed key-value store. Each method sends a request and returns;
// done runs in a later step. A request without an answer may have been carried out, or may
// yet be.
type Store interface {
	// List reads all keys with a prefix. It is tried again until it succeeds or wanted
	// reports false. A watch from the revision misses nothing.
	List(prefix string, wanted func() bool, done func(items []protocol.KeyValue, revision uint64))
	// Watch waits for changes of keys with a prefix after a revision.
	Watch(prefix string, after uint64, done func(WatchResponse))
	// GrantLease asks for a lease; granted is false where none is known to be granted.
	GrantLease(ttl time.Duration, done func(lease uint64, granted bool))
	// RenewLease lets a lease live for its whole time to live again.
	RenewLease(lease uint64, timeout time.Duration, done func(Renewal))
	// RevokeLease ends a lease, and with it the keys that are bound to it. Nobody waits for
	// the outcome: a lease that isn't revoked expires.
	RevokeLease(lease uint64)
	// Commit carries out a transaction; applied is false where that isn't certain.
	Commit(t *protocol.Txn, done func(applied bool, revision uint64))
}

// WatchResponse is what came of a watch.
type WatchResponse struct {
	Status   WatchStatus
	Events   []protocol.Event // of a delivered watch; none when nothing changed in time
	Revision uint64           // up to which the events reach
}

// WatchStatus is how a watch ended.
type WatchStatus uint8

// Results of a watch.
const (
	WatchDelivered WatchStatus = iota + 1
	WatchCompacted             // the store no longer has the changes since that revision
	WatchFailed
)

// Renewal is what came of the renewal of a lease.
type Renewal uint8

// Outcomes of a renewal.
const (
	RenewalSucceeded Renewal = iota + 1
	RenewalExpired           // there is no such lease any more
	RenewalUnknown
)

// Host is the controller that stands for election.
type Host interface {
	// Elected lets the controller act as leader.
	Elected(m LeaderTerm)
	// LeadershipEnded takes back what Elected gave.
	LeadershipEnded()
	// LeaderUpdated follows each change of what the store shows.
	LeaderUpdated()
	// LostToOverload reports whether the leadership that is being given up was most likely
	// lost because the controller was too busy to renew its lease in time.
	LostToOverload() bool
	// PeersSilent reports whether other controllers were heard once, but none lately.
	PeersSilent() bool
}
