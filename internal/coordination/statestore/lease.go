package statestore

import (
	"time"

	"brasskeel/internal/protocol"
)

// LeaseStatus tells what is known of a lease after a request about it.
type LeaseStatus uint8

// Outcomes of requests about leases.
const (
	LeaseUnknown LeaseStatus = iota // no answer, a refusal, or an answer that makes no sense
	LeaseHeld                       // it holds for its full time, counted from when the request was sent
	LeaseEnded                      // it has expired, or was revoked
)

// GrantLease asks for a new lease, and tells done its id if it was granted.
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

// RenewLease gives a lease its full time again. A renewal that isn't answered within the
// timeout is given up.
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

// RevokeLease ends a lease, and with it all keys bound to it, also those that a transaction
// on its way may yet write. Where the request is lost the lease expires by itself.
func (c *Client) RevokeLease(id uint64) {
	c.send("DELETE", protocol.LeaseTarget(id), nil, requestTimeout, c.observe)
}
