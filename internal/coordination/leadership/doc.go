// Package leadership is a controller's part in the election of the leader.
//
// Leadership is a key in the consensus-backed store, bound to a lease, beside a key with the
// highest term so far. Whoever creates the first under the second's version leads, in the
// next term, until its lease expires; a term is never used twice, and fencing tokens are made
// from it. An [Election] follows these keys, campaigns when nobody leads, and gives the
// leadership up: when another leader is seen, when the lease has expired, or by resignation.
// A [Keeper] renews a lease. [TTLPolicy] sets the lease's time to live, [MajorityZone] the
// zone that leaders should be in.
//
// The package owns what is known of the leader, the term and the preferred zone, the
// controller's [Role], and when it may campaign. It knows nothing of the core that it runs in
// but the interfaces [Clock], [Store] and [Host].
//
// It must never take a clock, a message of a peer or a time-out for proof that the
// leadership ended elsewhere: only what the store shows elects anybody. It must never
// renew a lease that expired, nor use a mandate beyond [Lease.ValidUntil] to write without
// the conditions that the store checks.
package leadership
