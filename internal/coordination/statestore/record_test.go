package statestore

import (
	"testing"
	"time"
)

// A record is queued once per write. One that is lazy and becomes urgent is queued again; it is
// no longer lazy then, so its first entry is skipped.
func TestRecordDirtiness(t *testing.T) {
	due := time.Date(2026, 9, 21, 12, 0, 0, 0, time.UTC)
	urgent := func(r *RecordState) bool { return r.MarkUrgent() }
	lazily := func(r *RecordState) bool { return r.MarkLazy(due) }
	cleaned := func(r *RecordState) bool { r.MarkClean(); return false }
	for _, test := range []struct {
		name   string
		before []func(*RecordState) bool
		mark   func(*RecordState) bool
		queue  bool
		lazy   bool // after mark
	}{
		{name: "clean, urgent", mark: urgent, queue: true},
		{name: "clean, lazy", mark: lazily, queue: true, lazy: true},
		{name: "lazy, lazy", before: []func(*RecordState) bool{lazily}, mark: lazily, lazy: true},
		{name: "lazy, urgent", before: []func(*RecordState) bool{lazily}, mark: urgent, queue: true},
		{name: "urgent, urgent", before: []func(*RecordState) bool{urgent}, mark: urgent},
		{name: "urgent, lazy", before: []func(*RecordState) bool{urgent}, mark: lazily},
		{name: "cleaned, lazy", before: []func(*RecordState) bool{urgent, cleaned}, mark: lazily, queue: true, lazy: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var r RecordState
			for _, step := range test.before {
				step(&r)
			}
			if queue := test.mark(&r); queue != test.queue || r.Lazy() != test.lazy {
				t.Errorf("to be queued %t, lazy %t; want %t, %t", queue, r.Lazy(), test.queue, test.lazy)
			}
			if r.Lazy() && !r.Due().Equal(due) {
				t.Errorf("due at %s, want the time passed to MarkLazy", r.Due())
			}
		})
	}
}

// After each step of a write it is known which version is in the store, whether a write may be in
// flight, and whether the record may exist.
func TestRecordStages(t *testing.T) {
	for _, test := range []struct {
		name               string
		steps              func(*RecordState)
		version            uint64
		inFlight, mayExist bool
	}{
		{name: "new", steps: func(*RecordState) {}},
		{name: "loaded", steps: func(r *RecordState) { *r = LoadedRecord(7) }, version: 7, mayExist: true},
		{name: "first write in flight", steps: func(r *RecordState) { r.BeginWrite() }, inFlight: true, mayExist: true},
		{name: "written", steps: func(r *RecordState) { r.BeginWrite(); r.Written(8) }, version: 8, mayExist: true},
		{name: "refused", steps: func(r *RecordState) { r.BeginWrite(); r.NotWritten() }},
		{name: "unanswered", steps: func(r *RecordState) { *r = LoadedRecord(7); r.BeginWrite(); r.BeginVerify() }, version: 7, inFlight: true, mayExist: true},
		{name: "verified", steps: func(r *RecordState) { *r = LoadedRecord(7); r.BeginWrite(); r.BeginVerify(); r.Verified(9) }, version: 9, mayExist: true},
		{name: "verified as absent", steps: func(r *RecordState) { r.BeginWrite(); r.BeginVerify(); r.Verified(0) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			var r RecordState
			test.steps(&r)
			if r.Version() != test.version || r.InFlight() != test.inFlight || r.MayExist() != test.mayExist {
				t.Errorf("version %d, in flight %t, may exist %t; want %d, %t, %t", r.Version(), r.InFlight(), r.MayExist(), test.version, test.inFlight, test.mayExist)
			}
		})
	}
}
