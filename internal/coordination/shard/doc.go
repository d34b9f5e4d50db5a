// Package shard divides the machines of a fleet into shards, each with one owner among the
// controllers, which serves the shard's workers.
//
// It contains the records of owners and members (Table), the transactions that change owners
// (Change), the assignment of shards to owners (Planner), the progress of moves (Moves), and the
// messages between the leader and owners: their encodings, how they are numbered and acknowledged
// (Channel), when they are sent (Outbox), and how they are split to fit a size limit. The
// controller passes in records of the state service and messages of peers, and carries out the
// resulting changes and sends.
//
// Only the records in the state service determine who owns a shard. A change of the owner is one
// transaction, conditional on the version of the shard's record, and carries a term above all
// earlier ones, from which the owner's fencing tokens are made.
//
// The package must never do I/O, read a clock, or start a goroutine: times are passed as arguments.
// It must never conclude that an ownership has ended because no messages arrive from the owner: an
// ownership ends only with the owner's lease or by a handover.
package shard
