// Package statestore is a controller's client of the state service, a consensus-backed
// key-value store. It reads, lists and watches keys, commits transactions, grants, renews and
// revokes leases, determines from the responses whether the service works for this controller, and
// writes records with group commit (Committer).
//
// It owns the requests in flight, their retries, and the state of the service's health. It
// knows no schema: package records defines keys and values, and callers supply them. It does no
// I/O, reads no clock and starts no goroutine: a Host sends the requests, and everything runs
// on the host's single thread.
//
// It must never guess the result of a transaction. One without a response may have been applied,
// or may be applied at any later time; it is reported as CommitUnknown, never as a failure, and
// this package never sends it again.
package statestore
