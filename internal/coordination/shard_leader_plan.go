package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/bookkeeping"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
)

// plan decides on owners, and writes one change at a time.
func (sl *shardLeader) plan() {
	l, n := sl.l, sl.l.n
	if sl.writing || !sl.s.read || l.phase == loading || n.storeDown() || !n.now.Before(l.right.validUntil) {
		return
	}
	if c := sl.withdrawal(); c != nil {
		sl.write(c)
		return
	}
	decisions := sl.planner.Plan(n.now, sl.controllers(), sl.shards())
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
		if c := sl.s.table.Intend(d.ID, d.To, sl.authority()); c != nil {
			n.log.Info("moving shard", "shard", d.ID, "to", d.To.Node, "why", d.Why.String())
			sl.beginMove(d)
			sl.write(c)
			return
		}
	}
}

// assignAtOnce is how many shards one transaction assigns: each takes a change, as do the
// terms and the mark that there are shards.
func (sl *shardLeader) assignAtOnce() int { return max(1, sl.l.n.cfg.TxnOps-2) }

func (sl *shardLeader) authority() shard.Authority {
	e := &sl.l.n.election
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
func (sl *shardLeader) write(c *shard.Change) {
	l, n := sl.l, sl.l.n
	if len(c.Txn.Then) == 0 {
		return
	}
	sl.writing = true
	l.journal.budget.Spend(n.now, float64(len(c.Txn.Then)))
	n.storeTxn(&c.Txn, func(r txnResult, revision uint64, failed []string) {
		if !l.alive() {
			return
		}
		if r == txnApplied {
			sl.writing = false
			sl.applied(c, revision)
			return
		}
		if slices.Contains(failed, bookkeeping.KeyLeader) {
			n.stepDown("the leader key has changed")
			return
		}
		// It may have been applied, or may yet be: what stands there decides.
		n.after(200*time.Millisecond, sl.readAgain)
	})
}

func (sl *shardLeader) applied(c *shard.Change, revision uint64) {
	e := &sl.l.n.election
	if c.Term > e.term {
		e.term, e.termVersion = c.Term, revision
	}
	sl.s.table.Applied(c, revision)
	sl.s.changed()
}

// readAgain reads the terms and owners afresh before anything is changed again.
func (sl *shardLeader) readAgain() {
	if !sl.l.alive() {
		return
	}
	sl.l.n.storeGet(bookkeeping.KeyTerm, func(it protocol.Item, found, ok bool) {
		if !sl.l.alive() {
			return
		}
		if !ok || !found {
			sl.l.n.after(200*time.Millisecond, sl.readAgain)
			return
		}
		sl.l.n.electionKey(it.Key, it.Value, it.Version)
		sl.writing = false
		sl.s.readTable()
	})
}

// controllers are the members as the planner sees them.
func (sl *shardLeader) controllers() []shard.Controller {
	n := sl.l.n
	var list []shard.Controller
	for _, m := range sl.s.table.Members() {
		c := shard.Controller{Member: m.Member, Zone: m.Zone, Draining: m.Draining}
		if k := sl.links[m.Node]; k != nil && k.member == m.Member {
			c.Load, c.Blind, c.Silent = k.status.Load, k.blind, n.now.Sub(k.heard)
			if vouched, blind, shown := k.reaches(n.now); shown {
				c.Vouched, c.Blind = vouched, blind
			}
			c.Fit = !c.Blind && c.Silent <= ownerQuiet && c.Load.Lag <= lagLate
		}
		if sl.retiring && m.Node != n.cfg.Name {
			c.Draining = true
		}
		list = append(list, c)
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
	n := sl.l.n
	if sl.oddSeen[id] != version {
		sl.oddSeen[id], sl.oddSince[id] = version, n.now
	}
	return n.now.Sub(sl.oddSince[id]) > n.answersFor()+drift(n.cfg.CancelWithin)+proofMargin
}
