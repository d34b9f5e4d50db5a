package coordination

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"brasskeel/internal/coordination/leadership"
	"brasskeel/internal/coordination/overload"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/coordination/statestore"
	"brasskeel/internal/records"
)

// plan decides on owners, and writes one change at a time.
func (sl *shardCoordinator) plan() {
	l, c := sl.leader, sl.leader.controller
	if sl.changeInFlight || !sl.sharding.tableLoaded || l.phase == phaseLoading || c.store.Unavailable() || !c.now.Before(l.lease.ValidUntil) {
		return
	}
	if change := sl.cancelMoveToEndedMember(); change != nil {
		sl.commitChange(change)
		return
	}
	decisions := sl.planner.Plan(c.now, sl.plannerControllers(), sl.plannerShards())
	var vacant []shard.Assignment
	for _, d := range decisions {
		if d.Reason == shard.ReasonUnowned && len(vacant) < sl.maxAssignments() {
			vacant = append(vacant, d.Assignment)
		}
	}
	if len(vacant) > 0 {
		sl.commitChange(sl.sharding.table.Assign(vacant, sl.leaderState()))
		return
	}
	for _, d := range decisions {
		if change := sl.sharding.table.ProposeMove(d.ID, d.To, sl.leaderState()); change != nil {
			c.log.Info("shard move requested", "shard", d.ID, "to", d.To.Name, "reason", d.Reason.String())
			sl.moves.Begin(c.now, sl.sharding.table, d)
			sl.commitChange(change)
			return
		}
	}
}

// maxAssignments is how many shards one transaction assigns: each takes a change, as do the
// terms and the mark that there are shards.
func (sl *shardCoordinator) maxAssignments() int { return max(1, sl.leader.controller.cfg.TxnOps-2) }

func (sl *shardCoordinator) leaderState() shard.LeaderState {
	e := sl.leader.controller.election
	term, version := e.Term()
	return shard.LeaderState{LeaderVersion: sl.leader.keyVersion, Term: term, TermVersion: version, ShardingRecorded: e.Sharded()}
}

// cancelMoveToEndedMember takes an intent back whose member is gone.
func (sl *shardCoordinator) cancelMoveToEndedMember() *shard.Change {
	for _, id := range sl.sharding.table.IDs() {
		r, _, ok := sl.sharding.table.Record(id)
		if ok && r.Next != nil && !sl.sharding.table.Alive(r.Next.Member) && sl.sharding.table.Alive(r.Owner.Member) {
			return sl.sharding.table.CancelMove(id, sl.leaderState())
		}
	}
	return nil
}

// commitChange carries a change of owners out.
func (sl *shardCoordinator) commitChange(change *shard.Change) {
	l, c := sl.leader, sl.leader.controller
	if len(change.Txn.Ops) == 0 {
		return
	}
	sl.changeInFlight = true
	l.writer.committer.Spend(len(change.Txn.Ops))
	c.store.Commit(&change.Txn, func(r statestore.CommitResult) {
		if !l.alive() {
			return
		}
		if r.Status == statestore.CommitApplied {
			sl.changeInFlight = false
			sl.changeApplied(change, r.Revision)
			return
		}
		if slices.Contains(r.Failed, records.KeyLeader) {
			c.election.StepDown("the leader key has changed")
			return
		}
		// It may have been applied, or may yet be: what stands there decides.
		c.after(200*time.Millisecond, sl.reloadTermAndTable)
	})
}

func (sl *shardCoordinator) changeApplied(change *shard.Change, revision uint64) {
	sl.leader.controller.election.TermRaised(change.Term, revision)
	sl.sharding.table.Applied(change, revision)
	sl.sharding.ownershipChanged()
}

// reloadTermAndTable reads the terms and owners afresh before anything is changed again.
func (sl *shardCoordinator) reloadTermAndTable() {
	if !sl.leader.alive() {
		return
	}
	sl.leader.controller.store.Get(records.KeyTerm, func(r statestore.ReadResult) {
		if !sl.leader.alive() {
			return
		}
		if r.Status != statestore.Found {
			sl.leader.controller.after(200*time.Millisecond, sl.reloadTermAndTable)
			return
		}
		sl.leader.controller.election.TermRead(r.Item)
		sl.changeInFlight = false
		sl.sharding.loadTable()
	})
}

// plannerControllers are the members as the planner sees them.
func (sl *shardCoordinator) plannerControllers() []shard.Controller {
	c := sl.leader.controller
	var list []shard.Controller
	for _, m := range sl.sharding.table.Members() {
		member := shard.Controller{Member: m.Member, Zone: m.Zone, Draining: m.Draining}
		if owner := sl.channels[m.Name]; owner != nil && owner.member == m.Member {
			member.Load, member.SinceLastMessage, member.Reachability = owner.status.Load, c.now.Sub(owner.heardAt), owner.reachabilityAt(c.now)
			if member.Reachability == shard.ReachabilityUnknown && owner.partitioned {
				member.Reachability = shard.WorkersUnreachable
			}
			member.Healthy = member.Reachability != shard.WorkersUnreachable && member.SinceLastMessage <= ownerTimeout && member.Load.Lag <= overload.OverloadThreshold
		}
		if sl.retiring && m.Name != c.cfg.Name {
			member.Draining = true
		}
		list = append(list, member)
	}
	return list
}

// plannerShards are those that there are, and those that are to be, as the planner sees them.
func (sl *shardCoordinator) plannerShards() []shard.Shard {
	count := sl.shardCount
	if sl.retiring {
		count = 0
	}
	return sl.sharding.table.PlannerShards(count, sl.leader.machineShards, sl.previousOwnerEnded)
}

// machineShards gives the shard and the zone of each machine.
func (l *leader) machineShards(yield func(shard.ID, string) bool) {
	for _, m := range l.fleetList {
		if !yield(m.shard, m.Zone) {
			return
		}
	}
}

// previousOwnerEnded reports whether whoever owned a shard whose record can't be read has surely
// stopped answering: an owner that reads such a record stops at once, and one that can't
// read it is at the end of what it knows.
func (sl *shardCoordinator) previousOwnerEnded(id shard.ID, version uint64) bool {
	c := sl.leader.controller
	return sl.unreadable.Age(c.now, id, version) > c.maxAnswerStaleness()+leadership.MaxClockDrift(c.cfg.CancelWithin)+deadlineMargin
}

// shardForNewMachine is the shard that a new machine's record is to be in, 0 for none.
func (l *leader) shardForNewMachine(m *machine) shard.ID {
	if l.shards == nil {
		return 0
	}
	return shard.ForNewMachine(m.Zone, l.shards.shardCount, l.machineShards)
}

// assignUnshardedMachines moves machines whose record names no shard to records that do. Where both
// stand, the one with a shard counts.
func (l *leader) assignUnshardedMachines() {
	old := map[string]bool{}
	for _, m := range l.fleetList {
		if m.group == nil || m.group.shard != 0 {
			continue
		}
		if m.group.stored() && !old[m.group.key] {
			old[m.group.key] = true
		}
		l.writer.recordMachine(m)
	}
	for _, key := range slices.Sorted(maps.Keys(old)) {
		l.writer.deleteKey(key)
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

// reportMoveCompleted tells operators of a move that is over, if one is.
func (sl *shardCoordinator) reportMoveCompleted(move *shard.Move) {
	if move == nil {
		return
	}
	c := sl.leader.controller
	c.log.Info("shard moved", "shard", move.ID, "from", move.From, "to", move.To, "reason", move.Reason.String(),
		"handed_over", move.HandedOver.Sub(move.Proposed), "served", move.Served.Sub(move.Proposed), "first_heartbeat", c.now.Sub(move.Proposed))
	c.effects.Spans = append(c.effects.Spans, Span{Name: "shard move", From: move.Proposed, Until: c.now,
		Attributes: []Attribute{{"shard", strconv.Itoa(int(move.ID))}, {"from", move.From}, {"to", move.To}, {"why", move.Reason.String()}},
		Parts: []Span{
			{Name: "release", From: move.Proposed, Until: move.HandedOver},
			{Name: "take over", From: move.HandedOver, Until: move.Served},
			{Name: "first report", From: move.Served, Until: c.now},
		}})
}
