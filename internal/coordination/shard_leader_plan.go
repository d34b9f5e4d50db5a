package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// plan decides on owners, and writes one change at a time.
func (sl *shardLeader) plan() {
	l, c := sl.l, sl.l.controller
	if sl.writing || !sl.s.read || l.phase == phaseLoading || c.storeDown() || !c.now.Before(l.lease.validUntil) {
		return
	}
	if change := sl.withdrawal(); change != nil {
		sl.write(change)
		return
	}
	decisions := sl.planner.Plan(c.now, sl.controllers(), sl.shards())
	var vacant []shard.Assignment
	for _, d := range decisions {
		if d.Why == shard.ReasonVacant && len(vacant) < sl.assignAtOnce() {
			vacant = append(vacant, d.Assignment)
		}
	}
	if len(vacant) > 0 {
		sl.write(sl.s.table.Assign(vacant, sl.authority()))
		return
	}
	for _, d := range decisions {
		if change := sl.s.table.Intend(d.ID, d.To, sl.authority()); change != nil {
			c.log.Info("moving shard", "shard", d.ID, "to", d.To.Node, "why", d.Why.String())
			sl.beginMove(d)
			sl.write(change)
			return
		}
	}
}

// assignAtOnce is how many shards one transaction assigns: each takes a change, as do the
// terms and the mark that there are shards.
func (sl *shardLeader) assignAtOnce() int { return max(1, sl.l.controller.cfg.TxnOps-2) }

func (sl *shardLeader) authority() shard.Authority {
	e := &sl.l.controller.election
	return shard.Authority{LeaderVersion: sl.l.version, Term: e.term, TermVersion: e.termVersion, Marked: e.sharded}
}

// withdrawal takes an intent back whose member is gone.
func (sl *shardLeader) withdrawal() *shard.Change {
	for _, id := range sl.s.table.IDs() {
		r, _, ok := sl.s.table.Record(id)
		if ok && r.Next != nil && !sl.s.table.Alive(r.Next.Member) && sl.s.table.Alive(r.Owner.Member) {
			return sl.s.table.Withdraw(id, sl.authority())
		}
	}
	return nil
}

// write carries a change of owners out.
func (sl *shardLeader) write(change *shard.Change) {
	l, c := sl.l, sl.l.controller
	if len(change.Txn.Then) == 0 {
		return
	}
	sl.writing = true
	l.journal.budget.Spend(c.now, float64(len(change.Txn.Then)))
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
			c.stepDown("the leader key has changed")
			return
		}
		// It may have been applied, or may yet be: what stands there decides.
		c.after(200*time.Millisecond, sl.readAgain)
	})
}

func (sl *shardLeader) applied(change *shard.Change, revision uint64) {
	e := &sl.l.controller.election
	if change.Term > e.term {
		e.term, e.termVersion = change.Term, revision
	}
	sl.s.table.Applied(change, revision)
	sl.s.changed()
}

// readAgain reads the terms and owners afresh before anything is changed again.
func (sl *shardLeader) readAgain() {
	if !sl.l.alive() {
		return
	}
	sl.l.controller.storeGet(records.KeyTerm, func(it protocol.Item, found, ok bool) {
		if !sl.l.alive() {
			return
		}
		if !ok || !found {
			sl.l.controller.after(200*time.Millisecond, sl.readAgain)
			return
		}
		sl.l.controller.applyElectionKey(it.Key, it.Value, it.Version)
		sl.writing = false
		sl.s.readTable()
	})
}

// controllers are the members as the planner sees them.
func (sl *shardLeader) controllers() []shard.Controller {
	c := sl.l.controller
	var list []shard.Controller
	for _, m := range sl.s.table.Members() {
		member := shard.Controller{Member: m.Member, Zone: m.Zone, Draining: m.Draining}
		if k := sl.links[m.Node]; k != nil && k.member == m.Member {
			member.Load, member.Blind, member.Silent = k.status.Load, k.blind, c.now.Sub(k.heard)
			if vouched, blind, shown := k.reaches(c.now); shown {
				member.Vouched, member.Blind = vouched, blind
			}
			member.Fit = !member.Blind && member.Silent <= ownerQuiet && member.Load.Lag <= lagOverloaded
		}
		if sl.retiring && m.Node != c.cfg.Name {
			member.Draining = true
		}
		list = append(list, member)
	}
	return list
}

// shards are those that there are, and those that are to be, as the planner sees them.
func (sl *shardLeader) shards() []shard.Shard {
	machines := map[shard.ID]map[string]int{}
	for _, m := range sl.l.fleetList {
		if machines[m.shard] == nil {
			machines[m.shard] = map[string]int{}
		}
		machines[m.shard][m.Zone]++
	}
	ids := sl.s.table.IDs()
	if !sl.retiring {
		for id := shard.ID(1); id <= shard.ID(sl.count); id++ {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	var list []shard.Shard
	for _, id := range slices.Compact(ids) {
		if s, ok := sl.planned(id, machines[id]); ok {
			list = append(list, s)
		}
	}
	return list
}

// planned is a shard as the planner sees it; false when nothing can be planned for it.
func (sl *shardLeader) planned(id shard.ID, zones map[string]int) (shard.Shard, bool) {
	s := shard.Shard{ID: id}
	for zone, count := range zones {
		s.Machines += count
		if most := zones[s.Zone]; s.Zone == "" || count > most || count == most && zone < s.Zone {
			s.Zone = zone
		}
	}
	if version, odd := sl.s.table.Unreadable(id); odd {
		s.Vacant = true
		return s, sl.surelyEnded(id, version)
	}
	r, _, ok := sl.s.table.Record(id)
	s.Owner, s.Moving = r.Owner.Member, r.Next != nil
	s.Vacant = !ok || !sl.s.table.Alive(r.Owner.Member)
	return s, true
}

// surelyEnded reports whether whoever owned a shard whose record can't be read has surely
// stopped answering: an owner that reads such a record stops at once, and one that can't
// read it is at the end of what it knows.
func (sl *shardLeader) surelyEnded(id shard.ID, version uint64) bool {
	c := sl.l.controller
	if sl.oddSeen[id] != version {
		sl.oddSeen[id], sl.oddSince[id] = version, c.now
	}
	return c.now.Sub(sl.oddSince[id]) > c.answerFreshness()+clockDrift(c.cfg.CancelWithin)+deadlineMargin
}
