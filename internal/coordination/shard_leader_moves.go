package coordination

import (
	"strconv"
	"time"

	"brasskeel/internal/coordination/shard"
)

// shardMove is a move that a leader asked for, and how far it has come for all that the leader
// knows. One that a leader didn't ask for itself isn't followed.
type shardMove struct {
	id       shard.ID
	from, to string
	why      shard.Reason
	asked    time.Time
	released time.Time // the next member owns the shard
	served   time.Time // and has said that it serves it
}

// beginMove follows a move from here on.
func (sl *shardLeader) beginMove(d shard.Decision) {
	owner, _ := sl.s.table.Owner(d.ID)
	sl.moves[d.ID] = &shardMove{id: d.ID, from: owner.Node, to: d.To.Node, why: d.Why, asked: sl.l.controller.now}
}

// followMoves notes which shards were released, and forgets moves that came to nothing.
func (sl *shardLeader) followMoves() {
	for id, v := range sl.moves {
		r, _, ok := sl.s.table.Record(id)
		switch {
		case !ok:
			delete(sl.moves, id)
		case r.Owner.Node == v.to && r.Next == nil:
			if v.released.IsZero() {
				v.released = sl.l.controller.now
			}
		case r.Next == nil && sl.l.controller.now.Sub(v.asked) > ownerQuiet || r.Owner.Node != v.from:
			delete(sl.moves, id) // taken back, or somebody else's
		}
	}
}

// moveServed notes that an owner says that it serves a shard.
func (sl *shardLeader) moveServed(k *ownerLink, id shard.ID) {
	v := sl.moves[id]
	if v == nil || v.to != k.member.Node || v.released.IsZero() {
		return
	}
	v.served = sl.l.controller.now
	if !sl.hasMachines(id) {
		sl.endMove(v)
	}
}

func (sl *shardLeader) hasMachines(id shard.ID) bool {
	for _, m := range sl.l.fleetList {
		if m.shard == id {
			return true
		}
	}
	return false
}

// moveAnswered notes that a worker of a shard was heard by its new owner: the move is over.
func (sl *shardLeader) moveAnswered(id shard.ID) {
	if v := sl.moves[id]; v != nil && !v.served.IsZero() {
		sl.endMove(v)
	}
}

// endMove tells of a move that is over.
func (sl *shardLeader) endMove(v *shardMove) {
	c := sl.l.controller
	delete(sl.moves, v.id)
	c.log.Info("shard moved", "shard", v.id, "from", v.from, "to", v.to, "why", v.why.String(),
		"released", v.released.Sub(v.asked), "served", v.served.Sub(v.asked), "answered", c.now.Sub(v.asked))
	c.effects.Spans = append(c.effects.Spans, Span{Name: "shard move", From: v.asked, Until: c.now,
		Attributes: []Attribute{{"shard", strconv.Itoa(int(v.id))}, {"from", v.from}, {"to", v.to}, {"why", v.why.String()}},
		Parts: []Span{
			{Name: "release", From: v.asked, Until: v.released},
			{Name: "take over", From: v.released, Until: v.served},
			{Name: "first report", From: v.served, Until: c.now},
		}})
}
