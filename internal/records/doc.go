// Package records is the schema of what controllers keep in the state service: under which
// keys records lie, and what they hold. Records of shards' owners and members are the one
// exception: package shard, which alone changes them, defines what they hold, under keys that
// are defined here.
//
// The package owns the keys, the JSON of each record, and how much of it fits a value. It
// knows neither who writes a record nor when: that is the core's and package statestore's.
//
// A key or a JSON field must never change its meaning, as controllers of two versions run
// side by side during each roll-out, and records outlive all of them. A new field must be
// one that earlier versions may ignore. The files in testdata hold each form.
package records
