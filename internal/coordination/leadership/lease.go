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

func (l *Lease) extend(sent time.Time) { l.ValidUntil = sent.Add(l.TTL - MaxClockDrift(l.TTL)) }

// LeaseHolder uses a lease that a LeaseRenewer renews.
type LeaseHolder interface {
	// NeedsLease reports whether the lease is still in use; renewals end once it is not.
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

// renewalRetryDelay is the pause after a failed renewal. It is much shorter than the shortest
// lease, so that several attempts fit into the lease's remaining time.
const renewalRetryDelay = 200 * time.Millisecond

// KeepLeaseAlive renews a lease, first at once and then every three tenths of its time to
// live.
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
