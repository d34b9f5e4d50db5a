package coordination

import (
	"time"

	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// An owner that hears no leader shows through the state service, every reachEvery, whether
// it reaches its workers: one change each time, and none while the leader is heard. The
// leader takes it for two such intervals.
const (
	reachEvery = 3 * time.Second
	reachCount = 2 * reachEvery
)

// showReach writes what this owner reaches into its member record, if it hears no leader and
// the last account is old enough.
func (o *shardOwner) showReach() {
	c, s := o.controller, o.sharding
	if s.member.Node == "" || s.writing || c.storeDown() || c.now.Sub(o.feed.heard) <= ownerQuiet || c.now.Sub(o.shownAt) < reachEvery {
		return
	}
	o.shownAt = c.now
	o.accounts++
	reach := o.reachNow()
	reach.Count = o.accounts
	s.reach = &reach
	s.writeMember(o, func(bool) {})
}

// reachNow counts the workers that this owner heard, and those that it lost.
func (o *shardOwner) reachNow() shard.Reach {
	var reach shard.Reach
	for _, m := range o.fleetList {
		if !m.registered {
			continue
		}
		reach.Workers++
		if m.failedProbes >= unreachableProbes || o.unansweredFor(m) > o.controller.unansweredMost() {
			reach.Lost++
		}
	}
	return reach
}

// unansweredMost is how long a worker's reports may go unanswered before it counts as lost to
// its owner, whether or not it answers calls: where links break and come back every few
// seconds calls get through now and then, and reports, which come rarely, don't.
func (c *Controller) unansweredMost() time.Duration { return c.cfg.WorkerLease / 3 }

// blindTold is for how long after it lost most of its workers a controller tells the others
// not to send workers to it: it doesn't see when they could reach it again.
const blindTold = 20 * time.Second

// noteOwnReach notes whether this controller reaches its workers.
func (s *sharding) noteOwnReach() {
	if reach := s.own.reachNow(); shard.Blind(reach.Workers, reach.Lost) {
		s.blindUntil = s.controller.now.Add(blindTold)
	}
}

// workersUnreachable reports whether this controller lately lost most of its workers.
func (c *Controller) workersUnreachable() bool {
	return c.sharding != nil && c.now.Before(c.sharding.blindUntil)
}

// writeMember writes the member's record anew, bound to the same lease.
func (s *sharding) writeMember(own *shardOwner, done func(applied bool)) {
	c := s.controller
	s.writing = true
	key := records.KeyMember(c.cfg.Name)
	_, version := s.table.Member(c.cfg.Name)
	value := records.Encode(shard.MemberRecord{Member: s.member, Zone: c.cfg.Zone, Draining: s.draining, Reach: s.reach})
	c.storeTxn(&protocol.Txn{
		If:   []protocol.Condition{{Key: key, Version: version}},
		Then: []protocol.Op{{Put: key, Value: value, Lease: own.lease.id}},
	}, func(res txnResult, revision uint64, _ []string) {
		s.writing = false
		if s.own != own {
			return // it left, and joins as another member
		}
		if res == txnApplied {
			s.put(key, protocol.Item{Key: key, Value: value, Version: revision})
			s.changed()
		} else if res != txnRefused {
			s.readTable() // it may have been applied
		}
		done(res == txnApplied)
	})
}

// noteReach takes what a member's record newly shows.
func (k *ownerLink) noteReach(now time.Time, m shard.MemberRecord) {
	if m.Reach == nil || m.Reach.Count == k.reach.Count {
		return
	}
	// What stood there when the link began may be old.
	if k.reachKnown {
		k.reachAt = now
	}
	k.reach = *m.Reach
}

// reaches tells what the state service lately showed of an owner that isn't heard; shown is
// false where it showed nothing.
func (k *ownerLink) reaches(now time.Time) (vouched, blind, shown bool) {
	if k.reachAt.IsZero() || now.Sub(k.reachAt) > reachCount || now.Sub(k.heard) <= ownerQuiet {
		return false, false, false
	}
	blind = shard.Blind(k.reach.Workers, k.reach.Lost)
	return !blind, blind, true
}

// relieved reports whether a machine's owner doesn't reach its workers while another
// controller may: then their silence says nothing of them.
func (sl *shardLeader) relieved(m *machine) bool {
	k := sl.owner(m.shard)
	return k != nil && k.blind && k.untried[m.Zone]
}

// noteUntried notes for a blind owner which zones' workers another controller may reach.
func (sl *shardLeader) noteUntried(k *ownerLink) {
	k.untried = nil
	if !k.blind {
		return
	}
	k.untried = map[string]bool{}
	controllers := sl.controllers()
	for _, m := range sl.l.fleetList {
		if _, known := k.untried[m.Zone]; !known {
			k.untried[m.Zone] = sl.planner.Untried(sl.l.controller.now, controllers, k.member, m.Zone)
		}
	}
}

// nobodyTells reports whether a machine's owner isn't heard, so that there is no point in
// waiting for its tasks: with controllers that refuse each other's connections a new leader
// waited its longest for two thirds of the fleet.
func (l *leader) nobodyTells(m *machine) bool {
	if l.shards == nil {
		return false
	}
	k := l.shards.owner(m.shard)
	return k == nil || l.controller.now.Sub(k.heard) > ownerQuiet
}

// resignIfDisconnected lets another node lead if this one hears no owner but itself, reaches no workers
// either, and the state service shows that others do. It reports whether it did.
func (sl *shardLeader) givesWay() bool {
	l, c := sl.l, sl.l.controller
	if c.now.Sub(l.reconciledAt) <= ownerQuiet {
		return false
	}
	able := 0
	for node, k := range sl.links {
		if node == c.cfg.Name {
			if k.status.Load.Machines > 0 && !k.blind {
				return false
			}
			continue
		}
		vouched, _, shown := k.reaches(c.now)
		if !shown && c.now.Sub(k.heard) <= unheardOwner {
			return false
		}
		if vouched {
			able++
		}
	}
	return able > 0 && c.resignDisconnected("neither workers nor their owners are heard")
}

// unheardOwner is after how long without a line an owner counts as one that the leader can't
// talk to.
const unheardOwner = 6 * time.Second
