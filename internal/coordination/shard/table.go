package shard

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// RecordError reports a key under records.PrefixShards whose record can't be parsed. Callers detect
// it with errors.As.
type RecordError struct {
	Key    string // in the state service
	Reason string // names the shard or member and quotes the value, or names the unknown key
	Err    error  // of the decoder; nil if the value decodes but isn't a valid record, or the key is unknown
}

// Error implements error.
func (e *RecordError) Error() string { return e.Reason }

// Unwrap returns the decoder's error.
func (e *RecordError) Unwrap() error { return e.Err }

// versioned is a record with the version of its key.
type versioned[T any] struct {
	value   T
	version uint64
}

// Table holds the records of shard owners and members, as read from the state service.
type Table struct {
	records map[ID]versioned[OwnerRecord]
	members map[string]versioned[MemberRecord]
	// unreadable holds the versions of owner records that can't be parsed. The owners of these
	// shards are unknown.
	unreadable map[ID]uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[ID]versioned[OwnerRecord]{}, members: map[string]versioned[MemberRecord]{}, unreadable: map[ID]uint64{}}
}

// Put adds or replaces a record, unless a newer version of it is known. It returns an error if the
// record can't be parsed or the key is unknown. If the record can't be parsed, the version known
// before is dropped.
func (t *Table) Put(key string, value json.RawMessage, version uint64) error {
	if controller, ok := strings.CutPrefix(key, records.PrefixMembers); ok {
		return t.putMember(controller, value, version)
	}
	number, ok := records.ParseOwnerKey(key)
	if !ok {
		return &RecordError{Key: key, Reason: fmt.Sprintf("unknown key %q", key)}
	}
	id := ID(number)
	if version < t.records[id].version || version < t.unreadable[id] {
		return nil
	}
	var r OwnerRecord
	if err := protocol.Decode(value, &r); err != nil || r.Owner.Name == "" || r.Owner.Term == 0 {
		delete(t.records, id)
		t.unreadable[id] = version
		return &RecordError{Key: key, Reason: fmt.Sprintf("unreadable owner of shard %d: %.200q", id, value), Err: err}
	}
	delete(t.unreadable, id)
	t.records[id] = versioned[OwnerRecord]{r, version}
	return nil
}

func (t *Table) putMember(controller string, value json.RawMessage, version uint64) error {
	if version < t.members[controller].version {
		return nil
	}
	var m MemberRecord
	if err := protocol.Decode(value, &m); err != nil || m.Name != controller || m.Incarnation == 0 {
		delete(t.members, controller)
		return &RecordError{Key: records.KeyMember(controller), Reason: fmt.Sprintf("unreadable member %q: %.200q", controller, value), Err: err}
	}
	t.members[controller] = versioned[MemberRecord]{m, version}
	return nil
}

// Remove drops a key that was deleted at a version, unless a newer readable version of it is known.
func (t *Table) Remove(key string, version uint64) {
	if controller, ok := strings.CutPrefix(key, records.PrefixMembers); ok && t.members[controller].version <= version {
		delete(t.members, controller)
	}
	if number, ok := records.ParseOwnerKey(key); ok && t.records[ID(number)].version <= version {
		delete(t.records, ID(number))
		delete(t.unreadable, ID(number))
	}
}

// Applied adds the records of a change that this controller committed at a version.
func (t *Table) Applied(c *Change, version uint64) {
	for id, r := range c.Records {
		if t.records[id].version < version {
			t.records[id] = versioned[OwnerRecord]{r, version}
			delete(t.unreadable, id)
		}
	}
}

// Record returns a shard's record and its version. ok is false without a record that can be parsed.
func (t *Table) Record(id ID) (r OwnerRecord, version uint64, ok bool) {
	k, ok := t.records[id]
	return k.value, k.version, ok
}

// Owner returns a shard's ownership, and whether it is in force: the shard has a record that can be
// parsed, and the owner's lease hasn't ended.
func (t *Table) Owner(id ID) (Ownership, bool) {
	k, ok := t.records[id]
	return k.value.Owner, ok && t.Alive(k.value.Owner.Member)
}

// Alive reports whether a member's record, which ends with its lease, is present.
func (t *Table) Alive(m Member) bool {
	k, ok := t.members[m.Name]
	return ok && k.value.Member == m
}

// Member returns the member record of a controller and its version; the version is 0 without a record.
func (t *Table) Member(controller string) (MemberRecord, uint64) {
	k := t.members[controller]
	return k.value, k.version
}

// Members lists the members by name.
func (t *Table) Members() []MemberRecord {
	var list []MemberRecord
	for _, controller := range slices.Sorted(maps.Keys(t.members)) {
		list = append(list, t.members[controller].value)
	}
	return list
}

// IDs lists the shards that have a record, readable or not, in order.
func (t *Table) IDs() []ID {
	ids := slices.AppendSeq(slices.Collect(maps.Keys(t.records)), maps.Keys(t.unreadable))
	slices.Sort(ids)
	return ids
}

// Unreadable returns the version of a shard's record if it can't be parsed.
func (t *Table) Unreadable(id ID) (version uint64, ok bool) {
	version, ok = t.unreadable[id]
	return version, ok
}

// OwnedBy lists the shards that a member owns.
func (t *Table) OwnedBy(m Member) []ID {
	var ids []ID
	for _, id := range t.IDs() {
		if t.records[id].value.Owner.Member == m {
			ids = append(ids, id)
		}
	}
	return ids
}

// Empty reports whether no shard has a record.
func (t *Table) Empty() bool { return len(t.records)+len(t.unreadable) == 0 }
