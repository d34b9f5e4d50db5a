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

// plan decides which shards get another owner, and commits one change at a time: it cancels a move to
// a member that no longer exists, or else assigns shards without an owner, or else proposes one move.
func (sc *shardCoordinator) plan() {
	l, c := sc.leader, sc.leader.controller
	if sc.changeInFlight || !sc.sharding.tableLoaded || l.phase == phaseLoading || c.store.Unavailable() || !c.now.Before(l.lease.ValidUntil) {
		return
	}
	if change := sc.cancelMoveToEndedMember(); change != nil {
		sc.commitChange(change)
		return
	}
	decisions := sc.planner.Plan(c.now, sc.plannerControllers(), sc.plannerShards())
	var assignments []shard.Assignment
	for _, d := range decisions {
		if d.Reason == shard.ReasonUnowned && len(assignments) < sc.maxAssignments() {
			assignments = append(assignments, d.Assignment)
		}
	}
	if len(assignments) > 0 {
		sc.commitChange(sc.sharding.table.Assign(assignments, sc.leaderState()))
		return
	}
	for _, d := range decisions {
		if change := sc.sharding.table.ProposeMove(d.ID, d.To, sc.leaderState()); change != nil {
			c.log.Info("shard move requested", "shard", d.ID, "to", d.To.Name, "reason", d.Reason.String())
			sc.moves.Begin(c.now, sc.sharding.table, d)
			sc.commitChange(change)
			return
		}
	}
}

// maxAssignments is how many shards one transaction can assign. Each takes one operation; two more
// are for the term and the record that sharding is in use.
func (sc *shardCoordinator) maxAssignments() int { return max(1, sc.leader.controller.cfg.MaxTxnOps-2) }

func (sc *shardCoordinator) leaderState() shard.LeaderState {
	e := sc.leader.controller.election
	term, version := e.Term()
	return shard.LeaderState{LeaderVersion: sc.leader.keyVersion, Term: term, TermVersion: version, ShardingRecorded: e.Sharded()}
}

// cancelMoveToEndedMember returns a change that cancels a move to a member whose membership has
// ended, or nil if there is none.
func (sc *shardCoordinator) cancelMoveToEndedMember() *shard.Change {
	for _, id := range sc.sharding.table.IDs() {
		r, _, ok := sc.sharding.table.Record(id)
		if ok && r.Next != nil && !sc.sharding.table.Alive(r.Next.Member) && sc.sharding.table.Alive(r.Owner.Member) {
			return sc.sharding.table.CancelMove(id, sc.leaderState())
		}
	}
	return nil
}

// commitChange commits a change of owners. While it is in flight, or its result is unknown, no other
// change is made.
func (sc *shardCoordinator) commitChange(change *shard.Change) {
	l, c := sc.leader, sc.leader.controller
	if len(change.Txn.Ops) == 0 {
		return
	}
	sc.changeInFlight = true
	l.writer.committer.Spend(len(change.Txn.Ops))
	c.store.Commit(&change.Txn, func(r statestore.CommitResult) {
		if !l.alive() {
			return
		}
		if r.Status == statestore.CommitApplied {
			sc.changeInFlight = false
			sc.changeApplied(change, r.Revision)
			return
		}
		if slices.Contains(r.Failed, records.KeyLeader) {
			c.election.StepDown("the leader key has changed")
			return
		}
		// The transaction may have been applied, or may still be applied later: the term and the
		// table are read again.
		c.after(200*time.Millisecond, sc.reloadTermAndTable)
	})
}

func (sc *shardCoordinator) changeApplied(change *shard.Change, revision uint64) {
	sc.leader.controller.election.TermRaised(change.Term, revision)
	sc.sharding.table.Applied(change, revision)
	sc.sharding.ownershipChanged()
}

// reloadTermAndTable reads the term and the table again before the next change.
func (sc *shardCoordinator) reloadTermAndTable() {
	if !sc.leader.alive() {
		return
	}
	sc.leader.controller.store.Get(records.KeyTerm, func(r statestore.ReadResult) {
		if !sc.leader.alive() {
			return
		}
		if r.Status != statestore.Found {
			sc.leader.controller.after(200*time.Millisecond, sc.reloadTermAndTable)
			return
		}
		sc.leader.controller.election.TermRead(r.Item)
		sc.changeInFlight = false
		sc.sharding.loadTable()
	})
}

// plannerControllers returns the members as input of the planner.
func (sc *shardCoordinator) plannerControllers() []shard.Controller {
	c := sc.leader.controller
	var list []shard.Controller
	for _, m := range sc.sharding.table.Members() {
		member := shard.Controller{Member: m.Member, Zone: m.Zone, Draining: m.Draining}
		if owner := sc.channels[m.Name]; owner != nil && owner.member == m.Member {
			member.Load, member.SinceLastMessage, member.Reachability = owner.status.Load, c.now.Sub(owner.lastReceivedAt), owner.reachabilityAt(c.now)
			if member.Reachability == shard.ReachabilityUnknown && owner.partitioned {
				member.Reachability = shard.WorkersUnreachable
			}
			member.Healthy = member.Reachability != shard.WorkersUnreachable && member.SinceLastMessage <= ownerTimeout && member.Load.Lag <= overload.OverloadThreshold
		}
		if sc.retiring && m.Name != c.cfg.Name {
			member.Draining = true
		}
		list = append(list, member)
	}
	return list
}

// plannerShards returns the recorded and the configured shards as input of the planner.
func (sc *shardCoordinator) plannerShards() []shard.Shard {
	count := sc.shardCount
	if sc.retiring {
		count = 0
	}
	return sc.sharding.table.PlannerShards(count, sc.leader.machineShards, sc.previousOwnerEnded)
}

// machineShards yields the shard and the zone of each machine.
func (l *leader) machineShards(yield func(shard.ID, string) bool) {
	for _, m := range l.fleetList {
		if !yield(m.shard, m.Zone) {
			return
		}
	}
}

// previousOwnerEnded reports whether every previous owner of a shard whose record can't be parsed has
// certainly stopped answering workers. An owner that reads such a record stops at once. An owner
// without access to the state service stops when its knowledge of cancellations is too old
// (maxAnswerStaleness).
func (sc *shardCoordinator) previousOwnerEnded(id shard.ID, version uint64) bool {
	c := sc.leader.controller
	return sc.unreadable.Age(c.now, id, version) > c.maxAnswerStaleness()+leadership.MaxClockDrift(c.cfg.CancelDeadline)+deadlineMargin
}

// shardForNewMachine returns the shard for a new machine, or 0 without sharding.
func (l *leader) shardForNewMachine(m *machine) shard.ID {
	if l.shards == nil {
		return 0
	}
	return shard.ForNewMachine(m.Zone, l.shards.shardCount, l.machineShards)
}

// assignUnshardedMachines moves machines whose record has no shard in its key to records that have
// one. Where both records exist, the one with a shard takes precedence.
func (l *leader) assignUnshardedMachines() {
	unsharded := map[string]bool{} // keys of the old records
	for _, m := range l.fleetList {
		if m.group == nil || m.group.shard != 0 {
			continue
		}
		if m.group.stored() && !unsharded[m.group.key] {
			unsharded[m.group.key] = true
		}
		l.writer.recordMachine(m)
	}
	for _, key := range slices.Sorted(maps.Keys(unsharded)) {
		l.writer.deleteKey(key)
	}
}

func (sc *shardCoordinator) hasMachines(id shard.ID) bool {
	for _, m := range sc.leader.fleetList {
		if m.shard == id {
			return true
		}
	}
	return false
}

// reportMoveCompleted logs a completed move and emits a trace span for it. It does nothing if move is
// nil.
func (sc *shardCoordinator) reportMoveCompleted(move *shard.Move) {
	if move == nil {
		return
	}
	c := sc.leader.controller
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
