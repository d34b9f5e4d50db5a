package statestore

import "time"

// dirtiness says whether and how soon a record must be written.
type dirtiness uint8

const (
	clean  dirtiness = iota // unchanged since its last write, which may be in flight
	lazy                    // to be written by its due time; nothing waits for the write
	urgent                  // to be written as soon as possible
)

// stage is the progress of a record's write.
type stage uint8

const (
	idle      stage = iota // its version in the store is known
	writing                // a transaction that contains the record is in flight
	verifying              // a transaction may or may not have written the record; its version is being read
)

// RecordState is the state of one record: whether it must be written, and which version of it is in
// the store. Each write is conditional on that version, so that a delayed write can't overwrite a
// newer one. The zero value is a clean record that isn't in the store.
//
//	clean --MarkLazy--> lazy        clean or lazy --MarkUrgent--> urgent        (any) --MarkClean--> clean
//	idle --BeginWrite--> writing --Written or NotWritten--> idle
//	                     writing --BeginVerify--> verifying --Verified--> idle
type RecordState struct {
	version   uint64
	dirtiness dirtiness
	stage     stage
	due       time.Time // of a lazy write
}

// LoadedRecord returns the state of a record that was read from the store with a version.
func LoadedRecord(version uint64) RecordState { return RecordState{version: version} }

// Version returns the record's last known version in the store, or 0 if there is none.
func (r *RecordState) Version() uint64 { return r.version }

// MarkUrgent marks the record to be written as soon as possible. It reports whether the caller
// must queue the record: an urgent one is queued already, and a lazy one must be queued again.
func (r *RecordState) MarkUrgent() bool {
	if r.dirtiness == urgent {
		return false
	}
	r.dirtiness = urgent
	return true
}

// MarkLazy marks a clean record to be written by due at the latest. It reports whether the
// caller must queue the record: one that must be written already, lazily or urgently, is queued.
func (r *RecordState) MarkLazy(due time.Time) bool {
	if r.dirtiness != clean {
		return false
	}
	r.dirtiness, r.due = lazy, due
	return true
}

// Lazy reports whether the record must be written and nothing waits for the write.
func (r *RecordState) Lazy() bool { return r.dirtiness == lazy }

// Due returns the time by which a lazy record is to be written.
func (r *RecordState) Due() time.Time { return r.due }

// MarkClean marks the record's present contents as written.
func (r *RecordState) MarkClean() { r.dirtiness = clean }

// BeginWrite records that a transaction that contains the record is being sent.
func (r *RecordState) BeginWrite() { r.stage = writing }

// Written records that the transaction was applied.
func (r *RecordState) Written(version uint64) { r.version, r.stage = version, idle }

// NotWritten records that the transaction wasn't applied and never will be, and that the known
// version still holds.
func (r *RecordState) NotWritten() { r.stage = idle }

// BeginVerify records that the version in the store is no longer known.
func (r *RecordState) BeginVerify() { r.stage = verifying }

// Verified sets the version that was read from the store.
func (r *RecordState) Verified(version uint64) { r.version, r.stage = version, idle }

// InFlight reports whether a write of the record may be in flight.
func (r *RecordState) InFlight() bool { return r.stage != idle }

// MayExist reports whether the record is, or may be, in the store.
func (r *RecordState) MayExist() bool { return r.version > 0 || r.stage != idle }
