package coordination

import (
	"strconv"
	"time"

	"brasskeel/internal/coordination/shard"
)

// shardMove is a move that a leader asked for, and how far it has come for all that the leader
// knows. One that a leader didn't ask for itself isn't followed.
type shardMove struct {
	id         shard.ID
	from, to   string
	reason     shard.Reason
	proposed   time.Time
	handedOver time.Time // the next member owns the shard
	served     time.Time // and has said that it serves it
}

// beginMove follows a move from here on.
func (sl *shardCoordinator) beginMove(d shard.Decision) {
	owner, _ := sl.sharding.table.Owner(d.ID)
	sl.moves[d.ID] = &shardMove{id: d.ID, from: owner.Name, to: d.To.Name, reason: d.Reason, proposed: sl.leader.controller.now}
}

// updateMoves notes which shards were released, and forgets moves that came to nothing.
func (sl *shardCoordinator) updateMoves() {
	for id, v := range sl.moves {
		r, _, ok := sl.sharding.table.Record(id)
		switch {
		case !ok:
			delete(sl.moves, id)
		case r.Owner.Name == v.to && r.Next == nil:
			if v.handedOver.IsZero() {
				v.handedOver = sl.leader.controller.now
			}
		case r.Next == nil && sl.leader.controller.now.Sub(v.proposed) > ownerTimeout || r.Owner.Name != v.from:
			delete(sl.moves, id) // taken back, or somebody else's
		}
	}
}

// moveServed notes that an owner says that it serves a shard.
func (sl *shardCoordinator) moveServed(owner *ownerChannel, id shard.ID) {
	v := sl.moves[id]
	if v == nil || v.to != owner.member.Name || v.handedOver.IsZero() {
		return
	}
	v.served = sl.leader.controller.now
	if !sl.hasMachines(id) {
		sl.finishMove(v)
	}
}

func (sl *shardCoordinator) hasMachines(id shard.ID) bool {
	for _, m := range sl.leader.fleetList {
		if m.shard == id {
			return true
		}
	}
	return false
}

// moveAnswered notes that a worker of a shard was heard by its new owner: the move is over.
func (sl *shardCoordinator) moveAnswered(id shard.ID) {
	if v := sl.moves[id]; v != nil && !v.served.IsZero() {
		sl.finishMove(v)
	}
}

// finishMove tells of a move that is over.
func (sl *shardCoordinator) finishMove(v *shardMove) {
	c := sl.leader.controller
	delete(sl.moves, v.id)
	c.log.Info("shard moved", "shard", v.id, "from", v.from, "to", v.to, "reason", v.reason.String(),
		"handed_over", v.handedOver.Sub(v.proposed), "served", v.served.Sub(v.proposed), "first_heartbeat", c.now.Sub(v.proposed))
	c.effects.Spans = append(c.effects.Spans, Span{Name: "shard move", From: v.proposed, Until: c.now,
		Attributes: []Attribute{{"shard", strconv.Itoa(int(v.id))}, {"from", v.from}, {"to", v.to}, {"why", v.reason.String()}},
		Parts: []Span{
			{Name: "release", From: v.proposed, Until: v.handedOver},
			{Name: "take over", From: v.handedOver, Until: v.served},
			{Name: "first report", From: v.served, Until: c.now},
		}})
}
