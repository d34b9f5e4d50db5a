package statestore

import "time"

// dirtiness tells how soon a record is to be written.
type dirtiness uint8

const (
	clean  dirtiness = iota // as it is in the store, or being written
	lazy                    // to be written some time: nobody waits for it
	urgent                  // to be written soon
)

// stage is how far a write of a record has come.
type stage uint8

const (
	idle      stage = iota // its version in the store is known
	writing                // a transaction that holds it is under way
	verifying              // a transaction may or may not have written it: its version is being read
)

// RecordState is what is known of one record: whether it is to be written, and which version
// of it is in the store. Each write is conditional on that version, so that one that is
// applied after it was given up can't overwrite a newer one. The zero value is a clean record
// that isn't in the store.
//
//	clean --MarkLazy--> lazy --MarkUrgent--> urgent        (any) --Clean--> clean
//	idle --BeginWrite--> writing --Written or NotWritten--> idle
//	                     writing --BeginVerify--> verifying --Verified--> idle
type RecordState struct {
	version   uint64
	dirtiness dirtiness
	stage     stage
	due       time.Time // of a lazy write
}

// LoadedRecord is the state of a record that was read from the store with a version.
func LoadedRecord(version uint64) RecordState { return RecordState{version: version} }

// Version is the record's version in the store as far as it is known; 0 without one.
func (r *RecordState) Version() uint64 { return r.version }

// MarkUrgent wants the record written soon. It returns whether it must be queued for that,
// and isn't yet.
func (r *RecordState) MarkUrgent() bool {
	if r.dirtiness == urgent {
		return false
	}
	r.dirtiness = urgent
	return true
}

// MarkLazy wants the record written by due at the latest. It returns whether it must be
// queued for that; a record that is dirty already is.
func (r *RecordState) MarkLazy(due time.Time) bool {
	if r.dirtiness != clean {
		return false
	}
	r.dirtiness, r.due = lazy, due
	return true
}

// Lazy reports whether the record is to be written, and nobody waits for it.
func (r *RecordState) Lazy() bool { return r.dirtiness == lazy }

// Due is when a lazy record is to be written.
func (r *RecordState) Due() time.Time { return r.due }

// MarkClean takes the record as it is now for written.
func (r *RecordState) MarkClean() { r.dirtiness = clean }

// BeginWrite notes that a transaction that holds the record is being sent.
func (r *RecordState) BeginWrite() { r.stage = writing }

// Written notes that the transaction was applied.
func (r *RecordState) Written(version uint64) { r.version, r.stage = version, idle }

// NotWritten notes that the transaction certainly wasn't applied and never will be, and
// that the version is still the one that was known.
func (r *RecordState) NotWritten() { r.stage = idle }

// BeginVerify notes that the version in the store isn't known any more.
func (r *RecordState) BeginVerify() { r.stage = verifying }

// Verified notes the version that was read.
func (r *RecordState) Verified(version uint64) { r.version, r.stage = version, idle }

// InFlight reports whether a write of the record may be under way.
func (r *RecordState) InFlight() bool { return r.stage != idle }

// MayExist reports whether the record is, or may be, in the store.
func (r *RecordState) MayExist() bool { return r.version > 0 || r.stage != idle }
