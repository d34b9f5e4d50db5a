package shard

import (
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// ID is the number of a shard, from 1; 0 is no shard.
type ID int

// Member is one incarnation of a controller that may own shards. It ends with its lease.
type Member struct {
	Name        string `json:"node"`
	Incarnation uint64 `json:"inc"` // unique among all members
}

// MemberRecord is a controller's record of its membership, bound to the member's lease.
type MemberRecord struct {
	Member
	Zone     string `json:"zone"`
	Draining bool   `json:"draining,omitempty"` // it is to own no shards
	// Reachability is written every ReachabilityInterval while no messages arrive from a leader.
	Reachability *ReachabilityReport `json:"reach,omitempty"`
}

// ReachabilityReport is how many of its workers a member reaches, as its record in the state service
// shows it.
type ReachabilityReport struct {
	Sequence    uint64 `json:"n"`              // of the report, from 1
	Workers     int    `json:"w"`              // registered with it
	Unreachable int    `json:"lost,omitempty"` // those of Workers that it lost contact with
}

// minWorkersForPartition is how many workers must be known before losing most of them counts as a
// partition.
const minWorkersForPartition = 3

// Partitioned reports whether more than half of the workers are unreachable, if there are at least
// minWorkersForPartition of them.
func Partitioned(workers, unreachable int) bool {
	return workers >= minWorkersForPartition && unreachable*2 > workers
}

// Ownership is the right to serve the workers of a shard.
type Ownership struct {
	Member
	// Term is the term of the fencing tokens under which the member serves. It is allocated from
	// the same counter as leaders' terms, so that it is above all earlier ones.
	Term uint64 `json:"term"`
}

// OwnerRecord is the record of a shard's owner.
type OwnerRecord struct {
	Owner Ownership `json:"owner"`
	// Next is the ownership that the shard is to move to. The current owner stops serving, then
	// makes Next the owner.
	Next *Ownership `json:"next,omitempty"`
	// HandedOver reports whether all earlier owners had stopped serving when this one became the
	// owner. If it is false, one of them may have continued to serve for its grace period.
	HandedOver bool `json:"released,omitempty"`
	// Generation counts the owners of the shard, this one included.
	Generation uint64 `json:"gen"`
}

// LeaderState is the state that a leader's changes are conditional on.
type LeaderState struct {
	LeaderVersion    uint64 // of the leader key
	Term             uint64 // the highest allocated so far
	TermVersion      uint64 // of the term's key
	ShardingRecorded bool   // whether the record that sharding is in use exists
}

// Change is a transaction that changes owners.
type Change struct {
	Txn protocol.Txn
	// Term is the highest allocated term after the change, for the next LeaderState.
	Term uint64
	// Records are the owner records that the transaction writes.
	Records map[ID]OwnerRecord
}

// newChange returns an empty change by a leader, conditional on its leadership.
func newChange(leader LeaderState) *Change {
	c := &Change{Term: leader.Term, Records: map[ID]OwnerRecord{}}
	c.require(records.KeyLeader, leader.LeaderVersion)
	return c
}

// require makes the change conditional on the version of a key.
func (c *Change) require(key string, version uint64) {
	c.Txn.Conditions = append(c.Txn.Conditions, protocol.Condition{Key: key, Version: version})
}

// put adds the write of a shard's record, conditional on the record's version.
func (c *Change) put(id ID, version uint64, r OwnerRecord) {
	key := records.KeyOwner(int(id))
	c.require(key, version)
	c.Txn.Ops = append(c.Txn.Ops, protocol.Op{Put: key, Value: records.Encode(r)})
	c.Records[id] = r
}

// nextOwnership allocates a term for a new owner.
func (c *Change) nextOwnership(to Member) Ownership {
	c.Term++
	return Ownership{Member: to, Term: c.Term}
}

// recordTerm adds the write of the term if terms were allocated.
func (c *Change) recordTerm(leader LeaderState) *Change {
	if c.Term != leader.Term {
		c.require(records.KeyTerm, leader.TermVersion)
		c.Txn.Ops = append(c.Txn.Ops, protocol.Op{Put: records.KeyTerm, Value: records.Encode(records.Term{Term: c.Term})})
	}
	return c
}

// Assignment is a shard and the member that is to own it.
type Assignment struct {
	ID ID
	To Member
}

// Assign returns a change that assigns unowned shards to members: new shards, and those whose
// owner's lease has ended. The change is conditional on the member key of the previous owner being
// as the table has it: absent, or of a later incarnation. So the previous ownership has certainly
// ended in the state service. Shards whose owner's lease hasn't ended are skipped. A shard whose
// record can't be parsed is assigned too: the caller must have waited until any owner of the shard
// has stopped serving.
func (t *Table) Assign(list []Assignment, leader LeaderState) *Change {
	c := newChange(leader)
	owners := map[string]bool{}
	for _, assignment := range list {
		current, ok := t.records[assignment.ID]
		if ok && t.Alive(current.value.Owner.Member) {
			continue
		}
		unreadable := t.unreadable[assignment.ID]
		r := OwnerRecord{Owner: c.nextOwnership(assignment.To), Generation: current.value.Generation + 1}
		r.HandedOver = !ok && unreadable == 0 // the shard never had an owner
		c.put(assignment.ID, max(current.version, unreadable), r)
		if controller := current.value.Owner.Name; ok && !owners[controller] {
			owners[controller] = true
			c.require(records.KeyMember(controller), t.members[controller].version)
		}
	}
	if !leader.ShardingRecorded {
		// The same change raises the term, so that every leader elected later sees the record.
		c.Txn.Ops = append(c.Txn.Ops, protocol.Op{Put: records.KeySharded, Value: records.Encode(true)})
	}
	return c.recordTerm(leader)
}

// ProposeMove returns a change that requests the owner of a shard to hand it over to a member. It
// returns nil if the shard has no owner or the owner's lease has ended, if the shard is moving
// already, or if that member owns it.
func (t *Table) ProposeMove(id ID, to Member, leader LeaderState) *Change {
	current, ok := t.records[id]
	if !ok || current.value.Next != nil || !t.Alive(current.value.Owner.Member) || current.value.Owner.Member == to {
		return nil
	}
	c := newChange(leader)
	r := current.value
	next := c.nextOwnership(to)
	r.Next = &next
	c.put(id, current.version, r)
	return c.recordTerm(leader)
}

// CancelMove returns a change that cancels a proposed move, for example when the membership of the
// next owner has ended. It returns nil if there is no such move.
func (t *Table) CancelMove(id ID, leader LeaderState) *Change {
	current, ok := t.records[id]
	if !ok || current.value.Next == nil {
		return nil
	}
	c := newChange(leader)
	r := current.value
	r.Next = nil
	c.put(id, current.version, r)
	return c
}

// HandOver returns a change that makes the member that a shard moves to its owner. Only the current
// owner may commit it, once it has stopped serving; no leader is involved. exclusive says that no
// earlier owner may still answer workers; if it is false, the next owner must wait for the end of
// such an owner's grace period. HandOver returns nil if from isn't the owner or no move is proposed.
func (t *Table) HandOver(id ID, from Member, exclusive bool) *Change {
	current, ok := t.records[id]
	if !ok || current.value.Next == nil || current.value.Owner.Member != from {
		return nil
	}
	c := &Change{Records: map[ID]OwnerRecord{}}
	c.put(id, current.version, OwnerRecord{Owner: *current.value.Next, Generation: current.value.Generation + 1, HandedOver: exclusive})
	return c
}
