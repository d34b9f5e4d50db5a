package statestore

import (
	"time"

	"brasskeel/internal/protocol"
)

// LeaseStatus is the status of a lease after a request about it.
type LeaseStatus uint8

// Statuses of leases.
const (
	LeaseUnknown LeaseStatus = iota // no response, or a refusal
	LeaseHeld                       // valid for its full time to live, counted from when the request was sent
	LeaseEnded                      // expired or revoked
)

// GrantLease requests a new lease, and passes done its ID if it was granted.
func (c *Client) GrantLease(ttl time.Duration, done func(id uint64, granted bool)) {
	c.send("POST", protocol.PathLeases, protocol.EncodeLeaseRequest(ttl), requestTimeout, func(r Response) {
		c.observe(r)
		if !r.ok() {
			done(0, false)
			return
		}
		id, err := protocol.ParseLease(r.Body)
		done(id, err == nil)
	})
}

// RenewLease extends a lease to its full time to live. A renewal that isn't answered within the
// timeout is reported as LeaseUnknown.
func (c *Client) RenewLease(id uint64, timeout time.Duration, done func(LeaseStatus)) {
	c.send("POST", protocol.RenewLeaseTarget(id), nil, timeout, func(r Response) {
		c.observe(r)
		switch {
		case r.ok():
			done(LeaseHeld)
		case r.Answered && r.Status == 404:
			done(LeaseEnded)
		default:
			done(LeaseUnknown)
		}
	})
}

// RevokeLease ends a lease and thereby all keys bound to it, including keys that a transaction
// in flight may still write. If the request is lost, the lease expires by itself.
func (c *Client) RevokeLease(id uint64) {
	c.send("DELETE", protocol.LeaseTarget(id), nil, requestTimeout, c.observe)
}
