package coordination

import (
	"time"

	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// An owner that hears no leader shows through the state service, every reachabilityInterval, whether
// it reaches its workers: one change each time, and none while the leader is heard. The
// leader takes it for two such intervals.
const (
	reachabilityInterval = 3 * time.Second
	reachabilityValidity = 2 * reachabilityInterval
)

// writeReachability writes what this owner reaches into its member record, if it hears no leader and
// the last account is old enough.
func (o *shardOwner) writeReachability() {
	c, s := o.controller, o.sharding
	if s.member.Name == "" || s.writingMember || c.storeDown() || c.now.Sub(o.feed.leaderHeard) <= ownerTimeout || c.now.Sub(o.reachabilityAt) < reachabilityInterval {
		return
	}
	o.reachabilityAt = c.now
	o.reachabilityReports++
	reach := o.currentReachability()
	reach.Sequence = o.reachabilityReports
	s.reachability = &reach
	s.writeMember(o, func(bool) {})
}

// currentReachability counts the workers that this owner heard, and those that it lost.
func (o *shardOwner) currentReachability() shard.ReachabilityReport {
	var reach shard.ReachabilityReport
	for _, m := range o.fleetList {
		if !m.session.Registered {
			continue
		}
		reach.Workers++
		if m.session.FailedProbes >= sessions.UnreachableProbes || o.unansweredFor(m) > o.controller.maxUnanswered() {
			reach.Unreachable++
		}
	}
	return reach
}

// maxUnanswered is how long a worker's reports may go unanswered before it counts as lost to
// its owner, whether or not it answers calls: where links break and come back every few
// seconds calls get through now and then, and reports, which come rarely, don't.
func (c *Controller) maxUnanswered() time.Duration { return c.cfg.WorkerLease / 3 }

// partitionedHold is for how long after it lost most of its workers a controller tells the others
// not to send workers to it: it doesn't see when they could reach it again.
const partitionedHold = 20 * time.Second

// updatePartitioned notes whether this controller reaches its workers.
func (s *sharding) updatePartitioned() {
	if reach := s.owner.currentReachability(); shard.Partitioned(reach.Workers, reach.Unreachable) {
		s.partitionedUntil = s.controller.now.Add(partitionedHold)
	}
}

// WorkersUnreachable reports whether this controller lately lost most of its workers.
func (c *Controller) workersUnreachable() bool {
	return c.sharding != nil && c.now.Before(c.sharding.partitionedUntil)
}

// writeMember writes the member's record anew, bound to the same lease.
func (s *sharding) writeMember(own *shardOwner, done func(applied bool)) {
	c := s.controller
	s.writingMember = true
	key := records.KeyMember(c.cfg.Name)
	_, version := s.table.Member(c.cfg.Name)
	value := records.Encode(shard.MemberRecord{Member: s.member, Zone: c.cfg.Zone, Draining: s.draining, Reachability: s.reachability})
	c.storeTxn(&protocol.Txn{
		Conditions: []protocol.Condition{{Key: key, Version: version}},
		Ops:        []protocol.Op{{Put: key, Value: value, Lease: own.lease.ID}},
	}, func(res txnResult, revision uint64, _ []string) {
		s.writingMember = false
		if s.owner != own {
			return // it left, and joins as another member
		}
		if res == txnApplied {
			s.putRecord(key, protocol.KeyValue{Key: key, Value: value, Version: revision})
			s.ownershipChanged()
		} else if res != txnRefused {
			s.loadTable() // it may have been applied
		}
		done(res == txnApplied)
	})
}

// updateReachability takes what a member's record newly shows.
func (owner *ownerChannel) updateReachability(now time.Time, m shard.MemberRecord) {
	if m.Reachability == nil || m.Reachability.Sequence == owner.reachability.Sequence {
		return
	}
	// What stood there when the link began may be old.
	if owner.reachabilityRead {
		owner.reachabilityAt = now
	}
	owner.reachability = *m.Reachability
}

// shownReachability tells what the state service lately showed of an owner that isn't heard; shown is
// false where it showed nothing.
func (owner *ownerChannel) shownReachability(now time.Time) (vouched, blind, shown bool) {
	if owner.reachabilityAt.IsZero() || now.Sub(owner.reachabilityAt) > reachabilityValidity || now.Sub(owner.heard) <= ownerTimeout {
		return false, false, false
	}
	blind = shard.Partitioned(owner.reachability.Workers, owner.reachability.Unreachable)
	return !blind, blind, true
}

// hasAlternativeOwner reports whether a machine's owner doesn't reach its workers while another
// controller may: then their silence says nothing of them.
func (sl *shardCoordinator) hasAlternativeOwner(m *machine) bool {
	owner := sl.channelToOwner(m.shard)
	return owner != nil && owner.partitioned && owner.alternatives[m.Zone]
}

// updateAlternatives notes for a blind owner which zones' workers another controller may reach.
func (sl *shardCoordinator) updateAlternatives(owner *ownerChannel) {
	owner.alternatives = nil
	if !owner.partitioned {
		return
	}
	owner.alternatives = map[string]bool{}
	controllers := sl.controllers()
	for _, m := range sl.leader.fleetList {
		if _, known := owner.alternatives[m.Zone]; !known {
			owner.alternatives[m.Zone] = sl.planner.HasAlternative(sl.leader.controller.now, controllers, owner.member, m.Zone)
		}
	}
}

// ownerUnheard reports whether a machine's owner isn't heard, so that there is no point in
// waiting for its tasks: with controllers that refuse each other's connections a new leader
// waited its longest for two thirds of the fleet.
func (l *leader) ownerUnheard(m *machine) bool {
	if l.shards == nil {
		return false
	}
	owner := l.shards.channelToOwner(m.shard)
	return owner == nil || l.controller.now.Sub(owner.heard) > ownerTimeout
}

// resignIfDisconnected lets another node lead if this one hears no owner but itself, reaches no workers
// either, and the state service shows that others do. It reports whether it did.
func (sl *shardCoordinator) resignIfIsolated() bool {
	l, c := sl.leader, sl.leader.controller
	if c.now.Sub(l.reconciledAt) <= ownerTimeout {
		return false
	}
	able := 0
	for node, owner := range sl.channels {
		if node == c.cfg.Name {
			if owner.status.Load.Machines > 0 && !owner.partitioned {
				return false
			}
			continue
		}
		vouched, _, shown := owner.shownReachability(c.now)
		if !shown && c.now.Sub(owner.heard) <= ownerUnheardLimit {
			return false
		}
		if vouched {
			able++
		}
	}
	return able > 0 && c.resignDisconnected("neither workers nor their owners are heard")
}

// ownerUnheardLimit is after how long without a line an owner counts as one that the leader can't
// talk to.
const ownerUnheardLimit = 6 * time.Second
