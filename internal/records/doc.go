// Package records defines the schema of the data that controllers keep in the state service:
// the keys of records and their contents. Records of shard owners and members are the one
// exception: their keys are defined here, but their contents are defined by package shard,
// the only package that writes them.
//
// The package owns the keys, the JSON encoding of each record, and the limits that keep a
// record within the size of a value. Who writes a record and when is up to package
// coordination and package statestore.
//
// A key or a JSON field must never change its meaning, because controllers of two versions run
// side by side during each rollout, and records outlive both of them. Earlier versions must be
// able to ignore a new field. The files in testdata hold the encoding of each record.
package records
