// Package peers is what controllers tell one another of themselves, and what this one last
// heard of each.
//
// Every controller broadcasts a [Message] each second: whether it reaches the state service
// and its workers, which jobs ended lately, and, from the leader, how the others go on. A
// [Table] keeps the latest [Status] of each peer.
//
// The package owns the messages' form and the table. It never sends anything, and nothing
// here may be taken for proof: messages may be lost, late or of an earlier process. None of
// it is needed for the protocol's rules, which rest on the state service alone.
package peers
