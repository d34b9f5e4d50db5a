// Package statestore is a controller's client of the state service, a consensus-backed
// key-value store. It reads, lists and watches keys, commits transactions, keeps leases,
// judges from all answers whether the service works for this controller, and writes records
// in groups (Committer).
//
// It owns the requests under way, their retries, and what is known of the service's health.
// It knows no schema: package records defines keys and values, and whoever commits supplies
// them. It does no I/O, reads no clock and starts no goroutine: a Host carries requests out,
// and everything runs on the host's single thread.
//
// It must never guess. A transaction without an answer may have been applied, or may be
// applied at any later time; it is reported as CommitUnknown, never as a failure, and it is
// never sent again by this package.
package statestore
