// Package shard divides the machines of a fleet into shards, each with one owner among the
// controllers, which serves the shard's workers.
//
// It owns the records of owners and members (Table), the transactions that change owners
// (Change), the decisions who should own what (Planner), the progress of moves (Moves), and the
// messages between the leader and owners: their forms, how they are numbered and acknowledged
// (Channel), when they go out (Outbox), and how they are cut to size. A controller hands in what
// the state service and peers say and carries out what comes back.
//
// The state service alone says who owns a shard. A change of the owner is one transaction,
// conditional on the version of the shard's record, and comes with a term above every one
// before it, from which the owner's fencing tokens are made.
//
// The package must never do I/O, read a clock, start a goroutine, or call an owner ended for
// not being heard: times come in as arguments, and an owner has ended when its lease has.
package shard
