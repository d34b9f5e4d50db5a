// Package leadership implements one controller's part in the election of the leader.
//
// Leadership is a key in the state service, a consensus-backed key-value store, bound to a lease,
// next to a key that holds the highest term so far. A candidate becomes leader of the next term by creating the
// leader key in a transaction that requires the term key to be unchanged; it leads until its
// lease expires. A term is never reused, and fencing tokens are derived from it. An
// [Election] watches these keys, campaigns when there is no leader, and ends its leadership
// when it sees another leader, when its lease has expired, or when it resigns. A [LeaseRenewer]
// renews a lease. [TTLPolicy] chooses the lease's time to live, [MajorityZone] the zone that
// the leader should be in.
//
// The package owns the view of the leader, the term and the preferred zone, the
// controller's [Role], and the rules for when it may campaign. It depends on the rest of the
// controller only through the interfaces [Clock], [Store] and [Host].
//
// Invariants: a clock, a peer's message or a timeout is never proof that leadership ended
// elsewhere; only the store's state decides an election. An expired lease is never renewed,
// and after [Lease.ValidUntil] a leader never writes without the conditions that the store
// checks.
package leadership
