package leadership

import "time"

// MaxClockDrift bounds by how much steady clocks of two machines differ over a time: twice
// what the protocol allows, so that rounding can't matter.
func MaxClockDrift(d time.Duration) time.Duration { return d / 1000 }

// Lease is a lease in the store on which an authority rests: that of the leader over all
// machines, or that of a shard's owner over its machines.
type Lease struct {
	ID         uint64
	TTL        time.Duration
	ValidUntil time.Time // until when no one else can have taken over
}

// NewLease is a lease whose grant, or last renewal, was sent at a time. The store counts
// from when the request arrived, so no earlier.
func NewLease(id uint64, ttl time.Duration, sent time.Time) Lease {
	l := Lease{ID: id, TTL: ttl}
	l.extend(sent)
	return l
}

func (l *Lease) extend(sent time.Time) { l.ValidUntil = sent.Add(l.TTL - MaxClockDrift(l.TTL)) }

// LeaseHolder is whose authority rests on a lease.
type LeaseHolder interface {
	// NeedsLease is false once the lease isn't needed any more.
	NeedsLease() bool
	// RenewalSent follows each request to renew.
	RenewalSent()
	// LeaseRenewed follows each success.
	LeaseRenewed()
	// LeaseExpired ends the renewals: the lease is gone.
	LeaseExpired()
}

// LeaseRenewer renews a lease as long as its holder has the authority that rests on it.
type LeaseRenewer struct {
	clock  Clock
	store  Store
	lease  *Lease
	holder LeaseHolder
}

// renewalRetryDelay is the pause after a renewal that failed: much shorter than the shortest
// lease, so that several attempts fit into what is left of it.
const renewalRetryDelay = 200 * time.Millisecond

// KeepLeaseAlive begins to renew a lease, at once and then at each three tenths of its time to
// live.
func KeepLeaseAlive(clock Clock, store Store, lease *Lease, holder LeaseHolder) {
	k := &LeaseRenewer{clock: clock, store: store, lease: lease, holder: holder}
	k.renew()
}

func (k *LeaseRenewer) renew() {
	if !k.holder.NeedsLease() {
		return
	}
	sent := k.clock.Now()
	k.store.RenewLease(k.lease.ID, k.lease.TTL/2, func(r Renewal) {
		if !k.holder.NeedsLease() {
			return
		}
		next := k.lease.TTL * 3 / 10
		switch r {
		case RenewalSucceeded:
			k.lease.extend(sent)
			k.holder.LeaseRenewed()
		case RenewalExpired:
			k.holder.LeaseExpired()
			return
		case RenewalUnknown:
			next = renewalRetryDelay
		}
		k.clock.After(next, k.renew)
	})
	k.holder.RenewalSent()
}
