package shard

import "time"

// Move is a move that this leader proposed, and its progress as far as the leader knows.
type Move struct {
	ID         ID
	From, To   string // controllers, by name
	Reason     Reason
	Proposed   time.Time
	HandedOver time.Time // when the leader learned that To became the owner
	Served     time.Time // when To announced that it serves the shard
}

// Moves tracks the moves that this leader proposed, but not those of an earlier leader.
type Moves struct {
	abandonAfter time.Duration
	byShard      map[ID]*Move
}

// NewMoves returns an empty tracker. A move that the table doesn't show is dropped once
// abandonAfter has passed since its proposal: until then the table may be older than the proposal.
func NewMoves(abandonAfter time.Duration) *Moves {
	return &Moves{abandonAfter: abandonAfter, byShard: map[ID]*Move{}}
}

// Begin tracks a move from its proposal on.
func (ms *Moves) Begin(now time.Time, t *Table, d Decision) {
	owner, _ := t.Owner(d.ID)
	ms.byShard[d.ID] = &Move{ID: d.ID, From: owner.Name, To: d.To.Name, Reason: d.Reason, Proposed: now}
}

// Update records which shards were handed over, and drops moves that were cancelled or that another
// change of the owner has made obsolete.
func (ms *Moves) Update(now time.Time, t *Table) {
	for id, m := range ms.byShard {
		r, _, ok := t.Record(id)
		switch {
		case !ok:
			delete(ms.byShard, id)
		case r.Owner.Name == m.To && r.Next == nil:
			if m.HandedOver.IsZero() {
				m.HandedOver = now
			}
		case r.Next == nil && now.Sub(m.Proposed) > ms.abandonAfter || r.Owner.Name != m.From:
			delete(ms.byShard, id) // cancelled, or another controller became the owner
		}
	}
}

// Served records that a controller announced that it serves a shard. It returns the move if that
// completes it, which is the case only for a shard without machines, since its owner gets no
// heartbeats. A move of any other shard is completed by HeartbeatReceived.
func (ms *Moves) Served(now time.Time, id ID, controller string, hasMachines func(ID) bool) *Move {
	m := ms.byShard[id]
	if m == nil || m.To != controller || m.HandedOver.IsZero() {
		return nil
	}
	m.Served = now
	if hasMachines(id) {
		return nil
	}
	delete(ms.byShard, id)
	return m
}

// HeartbeatReceived records that the owner of a shard received a heartbeat from one of its workers.
// It returns the move that this completes, or nil: a heartbeat completes a move only after the new
// owner announced that it serves the shard.
func (ms *Moves) HeartbeatReceived(id ID) *Move {
	m := ms.byShard[id]
	if m == nil || m.Served.IsZero() {
		return nil
	}
	delete(ms.byShard, id)
	return m
}
