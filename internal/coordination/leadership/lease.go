package leadership

import "time"

// MaxClockDrift returns the maximum by which the monotonic clocks of two machines can differ over
// the duration d. It is twice what the protocol allows, to cover rounding.
func MaxClockDrift(d time.Duration) time.Duration { return d / 1000 }

// Lease is a lease in the store that protects exclusive ownership: the leader's of all
// machines, or a shard owner's of the machines in its shards.
type Lease struct {
	ID         uint64
	TTL        time.Duration
	ValidUntil time.Time // no other controller can have become the owner before this time
}

// NewLease returns a lease whose grant was requested at sent. The store starts the time to
// live when the request arrives, which is not before sent.
func NewLease(id uint64, ttl time.Duration, sent time.Time) Lease {
	l := Lease{ID: id, TTL: ttl}
	l.extend(sent)
	return l
}

// extend updates ValidUntil for a grant or renewal that was requested at sent.
func (l *Lease) extend(sent time.Time) { l.ValidUntil = sent.Add(l.TTL - MaxClockDrift(l.TTL)) }

// LeaseHolder uses a lease that a LeaseRenewer renews.
type LeaseHolder interface {
	// NeedsLease reports whether the lease is still in use. Renewals end once it returns false.
	NeedsLease() bool
	// RenewalSent is called after each renewal request.
	RenewalSent()
	// LeaseRenewed is called after each successful renewal.
	LeaseRenewed()
	// LeaseExpired is called when the lease no longer exists; renewals end.
	LeaseExpired()
}

// LeaseRenewer renews a lease as long as its holder needs it.
type LeaseRenewer struct {
	clock  Clock
	store  Store
	lease  *Lease
	holder LeaseHolder
}

// renewalRetryDelay is the pause after a renewal of unknown outcome. It is much shorter than the shortest
// lease, so that several attempts that fail at once fit into the lease's remaining time. An attempt
// without a response takes up to half of the time to live.
const renewalRetryDelay = 200 * time.Millisecond

// KeepLeaseAlive renews a lease as long as its holder needs it: first at once, then three tenths of its
// time to live after each success, and renewalRetryDelay after each renewal of unknown outcome.
func KeepLeaseAlive(clock Clock, store Store, lease *Lease, holder LeaseHolder) {
	lr := &LeaseRenewer{clock: clock, store: store, lease: lease, holder: holder}
	lr.renew()
}

func (lr *LeaseRenewer) renew() {
	if !lr.holder.NeedsLease() {
		return
	}
	sent := lr.clock.Now()
	lr.store.RenewLease(lr.lease.ID, lr.lease.TTL/2, func(r Renewal) {
		if !lr.holder.NeedsLease() {
			return
		}
		next := lr.lease.TTL * 3 / 10
		switch r {
		case RenewalSucceeded:
			lr.lease.extend(sent)
			lr.holder.LeaseRenewed()
		case RenewalExpired:
			lr.holder.LeaseExpired()
			return
		case RenewalUnknown:
			next = renewalRetryDelay
		}
		lr.clock.After(next, lr.renew)
	})
	lr.holder.RenewalSent()
}
