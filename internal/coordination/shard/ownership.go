package shard

import (
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// ID numbers a shard, from 1. 0 is no shard.
type ID int

// Member is one life of a controller that may own shards. It ends with its lease.
type Member struct {
	Name        string `json:"node"`
	Incarnation uint64 `json:"inc"` // never used again
}

// MemberRecord is what a controller records of itself, bound to the member's lease.
type MemberRecord struct {
	Member
	Zone     string `json:"zone"`
	Draining bool   `json:"draining,omitempty"` // it wants to own nothing
	// Reach is written while no leader is heard, and anew every few seconds.
	Reachability *ReachabilityReport `json:"reach,omitempty"`
}

// ReachabilityReport is what a member shows through the state service of the workers that it serves.
type ReachabilityReport struct {
	Sequence    uint64 `json:"n"`              // of these accounts, from 1
	Workers     int    `json:"w"`              // that were heard by it
	Unreachable int    `json:"lost,omitempty"` // of them, those that don't answer its calls
}

// minWorkersForPartition is how many workers must be known for most of them to say anything.
const minWorkersForPartition = 3

// Partitioned reports whether most of some workers are lost.
func Partitioned(workers, unreachable int) bool {
	return workers >= minWorkersForPartition && unreachable*2 > workers
}

// Ownership is the right to serve the workers of a shard.
type Ownership struct {
	Member
	// Term is that of the tokens under which the member serves. It is drawn from the same
	// counter as leaders' terms, so that it is above every one before it.
	Term uint64 `json:"term"`
}

// OwnerRecord tells who owns a shard.
type OwnerRecord struct {
	Owner Ownership `json:"owner"`
	// Next is whom the shard is to move to. The owner stops serving, then makes it the
	// owner.
	Next *Ownership `json:"next,omitempty"`
	// Released is whether every owner before stopped serving before this one was made the
	// owner. Otherwise one of them may have gone on for its grace.
	HandedOver bool `json:"released,omitempty"`
	// Generation counts the owners.
	Generation uint64 `json:"gen"`
}

// LeaderState is what a leader's changes are conditional on.
type LeaderState struct {
	LeaderVersion    uint64 // of the leader key
	Term             uint64 // the highest drawn so far
	TermVersion      uint64 // of its key
	ShardingRecorded bool   // it is on record that there are shards
}

// Change is a transaction that changes owners.
type Change struct {
	Txn protocol.Txn
	// Term is the highest term after the change, for the next Authority.
	Term uint64
	// Records are those written.
	Records map[ID]OwnerRecord
}

// newChange begins a change of a leader's.
func newChange(a LeaderState) *Change {
	c := &Change{Term: a.Term, Records: map[ID]OwnerRecord{}}
	c.require(records.KeyLeader, a.LeaderVersion)
	return c
}

func (c *Change) require(key string, version uint64) {
	c.Txn.Conditions = append(c.Txn.Conditions, protocol.Condition{Key: key, Version: version})
}

func (c *Change) put(id ID, version uint64, r OwnerRecord) {
	key := records.KeyOwner(int(id))
	c.require(key, version)
	c.Txn.Ops = append(c.Txn.Ops, protocol.Op{Put: key, Value: records.Encode(r)})
	c.Records[id] = r
}

// nextOwnership draws a term for a new owner.
func (c *Change) nextOwnership(to Member) Ownership {
	c.Term++
	return Ownership{Member: to, Term: c.Term}
}

// recordTerm records the terms that were drawn.
func (c *Change) recordTerm(a LeaderState) *Change {
	if c.Term != a.Term {
		c.require(records.KeyTerm, a.TermVersion)
		c.Txn.Ops = append(c.Txn.Ops, protocol.Op{Put: records.KeyTerm, Value: records.Encode(records.Term{Term: c.Term})})
	}
	return c
}

// Assignment gives a shard to a member.
type Assignment struct {
	ID ID
	To Member
}

// Assign gives shards that nobody serves to members: new ones, and those whose owner's
// lease has ended. That no such lease is there is a condition of the change, so that the
// right of the owner before has ended in the state service. It gives nothing for shards
// whose owner is alive. One whose record can't be read is given too: whoever asks for that
// has waited until the right of any owner has ended.
func (t *Table) Assign(list []Assignment, a LeaderState) *Change {
	c := newChange(a)
	owners := map[string]bool{}
	for _, as := range list {
		k, ok := t.records[as.ID]
		if ok && t.Alive(k.value.Owner.Member) {
			continue
		}
		unreadable := t.unreadable[as.ID]
		r := OwnerRecord{Owner: c.nextOwnership(as.To), Generation: k.value.Generation + 1}
		r.HandedOver = !ok && unreadable == 0 // nobody served it
		c.put(as.ID, max(k.version, unreadable), r)
		if controller := k.value.Owner.Name; ok && !owners[controller] {
			owners[controller] = true
			c.require(records.KeyMember(controller), t.members[controller].version)
		}
	}
	if !a.ShardingRecorded {
		// With a term in the same change: who is elected later knows of it.
		c.Txn.Ops = append(c.Txn.Ops, protocol.Op{Put: records.KeySharded, Value: records.Encode(true)})
	}
	return c.recordTerm(a)
}

// ProposeMove asks the owner of a shard to release it to a member. It gives nil where the shard
// has no owner that is alive, or moves already.
func (t *Table) ProposeMove(id ID, to Member, a LeaderState) *Change {
	k, ok := t.records[id]
	if !ok || k.value.Next != nil || !t.Alive(k.value.Owner.Member) || k.value.Owner.Member == to {
		return nil
	}
	c := newChange(a)
	r := k.value
	grant := c.nextOwnership(to)
	r.Next = &grant
	c.put(id, k.version, r)
	return c.recordTerm(a)
}

// CancelMove takes an intent back, as when the member that the shard was to move to has
// ended. It gives nil without one.
func (t *Table) CancelMove(id ID, a LeaderState) *Change {
	k, ok := t.records[id]
	if !ok || k.value.Next == nil {
		return nil
	}
	c := newChange(a)
	r := k.value
	r.Next = nil
	c.put(id, k.version, r)
	return c
}

// HandOver makes the member that a shard moves to its owner. The owner alone may do so,
// once it has stopped serving. No leader is needed for it. alone says that nobody before that
// owner may still answer workers: otherwise the next one has to wait for that as well.
func (t *Table) HandOver(id ID, from Member, exclusive bool) *Change {
	k, ok := t.records[id]
	if !ok || k.value.Next == nil || k.value.Owner.Member != from {
		return nil
	}
	c := &Change{Records: map[ID]OwnerRecord{}}
	c.put(id, k.version, OwnerRecord{Owner: *k.value.Next, Generation: k.value.Generation + 1, HandedOver: exclusive})
	return c
}
