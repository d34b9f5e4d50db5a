package shard

import "time"

// Move is a move that this leader proposed, and how far it has come for all that the leader
// knows.
type Move struct {
	ID         ID
	From, To   string // controllers, by name
	Reason     Reason
	Proposed   time.Time
	HandedOver time.Time // when the next member became the owner
	Served     time.Time // when it said that it serves the shard
}

// Moves follows the moves that this leader proposed. It doesn't follow those of an earlier one.
type Moves struct {
	abandonAfter time.Duration
	byShard      map[ID]*Move
}

// NewMoves follows no moves yet. A move that was taken back is forgotten once it was proposed
// longer ago than abandonAfter: until then the table may show what stood there before.
func NewMoves(abandonAfter time.Duration) *Moves {
	return &Moves{abandonAfter: abandonAfter, byShard: map[ID]*Move{}}
}

// Begin follows a move from its proposal on.
func (ms *Moves) Begin(now time.Time, t *Table, d Decision) {
	owner, _ := t.Owner(d.ID)
	ms.byShard[d.ID] = &Move{ID: d.ID, From: owner.Name, To: d.To.Name, Reason: d.Reason, Proposed: now}
}

// Update notes which shards were handed over, and forgets moves that came to nothing.
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
			delete(ms.byShard, id) // taken back, or somebody else's
		}
	}
}

// Served notes that a controller says that it serves a shard. It gives the move if that ends
// it: that of a shard without machines, where no worker will ever be heard.
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

// HeartbeatReceived notes that the owner of a shard heard one of its workers. It gives the move that is
// over by that, nil without one.
func (ms *Moves) HeartbeatReceived(id ID) *Move {
	m := ms.byShard[id]
	if m == nil || m.Served.IsZero() {
		return nil
	}
	delete(ms.byShard, id)
	return m
}
