package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/coordination/leadership"
	"brasskeel/internal/coordination/overload"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// plan decides on owners, and writes one change at a time.
func (sl *shardCoordinator) plan() {
	l, c := sl.leader, sl.leader.controller
	if sl.writing || !sl.sharding.loaded || l.phase == phaseLoading || c.storeDown() || !c.now.Before(l.lease.ValidUntil) {
		return
	}
	if change := sl.canceledMove(); change != nil {
		sl.write(change)
		return
	}
	decisions := sl.planner.Plan(c.now, sl.controllers(), sl.shards())
	var vacant []shard.Assignment
	for _, d := range decisions {
		if d.Reason == shard.ReasonUnowned && len(vacant) < sl.maxAssignments() {
			vacant = append(vacant, d.Assignment)
		}
	}
	if len(vacant) > 0 {
		sl.write(sl.sharding.table.Assign(vacant, sl.leaderState()))
		return
	}
	for _, d := range decisions {
		if change := sl.sharding.table.ProposeMove(d.ID, d.To, sl.leaderState()); change != nil {
			c.log.Info("shard move requested", "shard", d.ID, "to", d.To.Name, "reason", d.Reason.String())
			sl.beginMove(d)
			sl.write(change)
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
	return shard.LeaderState{LeaderVersion: sl.leader.version, Term: term, TermVersion: version, ShardingRecorded: e.Sharded()}
}

// canceledMove takes an intent back whose member is gone.
func (sl *shardCoordinator) canceledMove() *shard.Change {
	for _, id := range sl.sharding.table.IDs() {
		r, _, ok := sl.sharding.table.Record(id)
		if ok && r.Next != nil && !sl.sharding.table.Alive(r.Next.Member) && sl.sharding.table.Alive(r.Owner.Member) {
			return sl.sharding.table.CancelMove(id, sl.leaderState())
		}
	}
	return nil
}

// write carries a change of owners out.
func (sl *shardCoordinator) write(change *shard.Change) {
	l, c := sl.leader, sl.leader.controller
	if len(change.Txn.Ops) == 0 {
		return
	}
	sl.writing = true
	l.journal.budget.Spend(c.now, float64(len(change.Txn.Ops)))
	c.storeTxn(&change.Txn, func(r txnResult, revision uint64, failed []string) {
		if !l.alive() {
			return
		}
		if r == txnApplied {
			sl.writing = false
			sl.applied(change, revision)
			return
		}
		if slices.Contains(failed, records.KeyLeader) {
			c.election.StepDown("the leader key has changed")
			return
		}
		// It may have been applied, or may yet be: what stands there decides.
		c.after(200*time.Millisecond, sl.readAgain)
	})
}

func (sl *shardCoordinator) applied(change *shard.Change, revision uint64) {
	sl.leader.controller.election.TermRaised(change.Term, revision)
	sl.sharding.table.Applied(change, revision)
	sl.sharding.ownershipChanged()
}

// readAgain reads the terms and owners afresh before anything is changed again.
func (sl *shardCoordinator) readAgain() {
	if !sl.leader.alive() {
		return
	}
	sl.leader.controller.storeGet(records.KeyTerm, func(it protocol.KeyValue, found, ok bool) {
		if !sl.leader.alive() {
			return
		}
		if !ok || !found {
			sl.leader.controller.after(200*time.Millisecond, sl.readAgain)
			return
		}
		sl.leader.controller.election.TermRead(it)
		sl.writing = false
		sl.sharding.loadTable()
	})
}

// controllers are the members as the planner sees them.
func (sl *shardCoordinator) controllers() []shard.Controller {
	c := sl.leader.controller
	var list []shard.Controller
	for _, m := range sl.sharding.table.Members() {
		member := shard.Controller{Member: m.Member, Zone: m.Zone, Draining: m.Draining}
		if owner := sl.channels[m.Name]; owner != nil && owner.member == m.Member {
			member.Load, member.Partitioned, member.UnheardFor = owner.status.Load, owner.partitioned, c.now.Sub(owner.heard)
			if vouched, blind, shown := owner.shownReachability(c.now); shown {
				member.ShownReachable, member.Partitioned = vouched, blind
			}
			member.Fit = !member.Partitioned && member.UnheardFor <= ownerTimeout && member.Load.Lag <= overload.Overloaded
		}
		if sl.retiring && m.Name != c.cfg.Name {
			member.Draining = true
		}
		list = append(list, member)
	}
	return list
}

// shards are those that there are, and those that are to be, as the planner sees them.
func (sl *shardCoordinator) shards() []shard.Shard {
	machines := map[shard.ID]map[string]int{}
	for _, m := range sl.leader.fleetList {
		if machines[m.shard] == nil {
			machines[m.shard] = map[string]int{}
		}
		machines[m.shard][m.Zone]++
	}
	ids := sl.sharding.table.IDs()
	if !sl.retiring {
		for id := shard.ID(1); id <= shard.ID(sl.count); id++ {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	var list []shard.Shard
	for _, id := range slices.Compact(ids) {
		if s, ok := sl.plannedShard(id, machines[id]); ok {
			list = append(list, s)
		}
	}
	return list
}

// plannedShard is a shard as the planner sees it; false when nothing can be planned for it.
func (sl *shardCoordinator) plannedShard(id shard.ID, zones map[string]int) (shard.Shard, bool) {
	s := shard.Shard{ID: id}
	for zone, count := range zones {
		s.Machines += count
		if most := zones[s.Zone]; s.Zone == "" || count > most || count == most && zone < s.Zone {
			s.Zone = zone
		}
	}
	if version, odd := sl.sharding.table.Unreadable(id); odd {
		s.Unowned = true
		return s, sl.previousOwnerEnded(id, version)
	}
	r, _, ok := sl.sharding.table.Record(id)
	s.Owner, s.Moving = r.Owner.Member, r.Next != nil
	s.Unowned = !ok || !sl.sharding.table.Alive(r.Owner.Member)
	return s, true
}

// previousOwnerEnded reports whether whoever owned a shard whose record can't be read has surely
// stopped answering: an owner that reads such a record stops at once, and one that can't
// read it is at the end of what it knows.
func (sl *shardCoordinator) previousOwnerEnded(id shard.ID, version uint64) bool {
	c := sl.leader.controller
	if sl.unreadableVersion[id] != version {
		sl.unreadableVersion[id], sl.unreadableSince[id] = version, c.now
	}
	return c.now.Sub(sl.unreadableSince[id]) > c.answerFreshness()+leadership.ClockDrift(c.cfg.CancelWithin)+deadlineMargin
}
