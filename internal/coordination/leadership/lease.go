package leadership

import "time"

// ClockDrift bounds by how much steady clocks of two machines differ over a time: twice
// what the protocol allows, so that rounding can't matter.
func ClockDrift(d time.Duration) time.Duration { return d / 1000 }

// Lease is a lease in the store on which an authority rests: that of the leader over all
// machines, or that of a shard's owner over its machines.
type Lease struct {
	ID         uint64
	TTL        time.Duration
	ValidUntil time.Time // until when no one else can have taken over
}

// GrantedLease is a lease whose grant, or last renewal, was sent at a time. The store counts
// from when the request arrived, so no earlier.
func GrantedLease(id uint64, ttl time.Duration, sent time.Time) Lease {
	l := Lease{ID: id, TTL: ttl}
	l.extend(sent)
	return l
}

func (l *Lease) extend(sent time.Time) { l.ValidUntil = sent.Add(l.TTL - ClockDrift(l.TTL)) }

// Holder is whose authority rests on a lease.
type Holder interface {
	// HoldsAuthority is false once the lease isn't needed any more.
	HoldsAuthority() bool
	// RenewalSent follows each request to renew.
	RenewalSent()
	// LeaseRenewed follows each success.
	LeaseRenewed()
	// LeaseExpired ends the renewals: the lease is gone.
	LeaseExpired()
}

// Keeper renews a lease as long as its holder has the authority that rests on it.
type Keeper struct {
	clock  Clock
	store  Store
	lease  *Lease
	holder Holder
}

// renewalRetry is the pause after a renewal that failed: much shorter than the shortest
// lease, so that several attempts fit into what is left of it.
const renewalRetry = 200 * time.Millisecond

// KeepLease begins to renew a lease, at once and then at each three tenths of its time to
// live.
func KeepLease(clock Clock, store Store, lease *Lease, holder Holder) {
	k := &Keeper{clock: clock, store: store, lease: lease, holder: holder}
	k.renew()
}

func (k *Keeper) renew() {
	if !k.holder.HoldsAuthority() {
		return
	}
	sent := k.clock.Now()
	k.store.RenewLease(k.lease.ID, k.lease.TTL/2, func(r Renewal) {
		if !k.holder.HoldsAuthority() {
			return
		}
		next := k.lease.TTL * 3 / 10
		switch r {
		case RenewalApplied:
			k.lease.extend(sent)
			k.holder.LeaseRenewed()
		case RenewalExpired:
			k.holder.LeaseExpired()
			return
		case RenewalUnknown:
			next = renewalRetry
		}
		k.clock.After(next, k.renew)
	})
	k.holder.RenewalSent()
}
