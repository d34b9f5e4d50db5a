package coordination

import (
	"time"

	"brasskeel/internal/coordination/leadership"
	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/coordination/statestore"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// sharding is a controller's state as a shard member: the owners and members as recorded in the
// state service, this controller's lease as a member, and the shards that it owns under it.
type sharding struct {
	controller          *Controller
	table               *shard.Table
	tableLoaded         bool                      // the table was read and is watched
	watchGeneration     int                       // number of the current watch; events of an earlier one are dropped
	tableGeneration     int                       // number of the watch whose initial read built the table
	draining            bool                      // this controller is to own no shards
	joining             bool                      // a lease or the first member record is being acquired
	memberWriteInFlight bool                      // the member's record is being rewritten
	reachability        *shard.ReachabilityReport // the latest report written to the member record
	member              shard.Member              // zero without a lease
	owner               *shardOwner               // nil without a lease
	redirector          redirector
	partitionedUntil    time.Time // until when other controllers shouldn't redirect workers here
}

// startSharding makes the controller join the members that may own shards. A draining controller
// becomes a member too, but gets no shards.
func (c *Controller) startSharding(draining bool) {
	c.sharding = &sharding{controller: c, table: shard.NewTable(), draining: draining, redirector: newRedirector(c)}
	c.sharding.loadTable()
	c.every(time.Second, c.sharding.sendStatus)
}

// loadTable reads the records of owners and members, and watches them from the revision of that read
// on.
func (s *sharding) loadTable() {
	s.watchGeneration++
	generation := s.watchGeneration
	current := func() bool { return s.watchGeneration == generation }
	s.controller.store.List(records.PrefixShards, current, func(list statestore.ListResult) {
		s.table = shard.NewTable()
		for _, it := range list.Items {
			s.putRecord(it.Key, it)
		}
		s.tableLoaded, s.tableGeneration = true, generation
		s.ownershipChanged()
		s.watchTable(list.Revision, current)
	})
}

// putRecord adds a record to the table and logs an error if it can't be parsed.
func (s *sharding) putRecord(key string, it protocol.KeyValue) {
	if err := s.table.Put(key, it.Value, it.Version); err != nil {
		s.controller.log.Error("shard record unreadable", "key", key, "error", err)
	}
}

// watchTable watches the records of owners and members from a revision on. If the watch fails, it
// reads them again.
func (s *sharding) watchTable(after uint64, current func() bool) {
	store := s.controller.store
	store.Watch(records.PrefixShards, after, watchWait, func(r statestore.WatchResult) {
		if !current() {
			return
		}
		switch r.Status {
		case statestore.WatchEvents:
			s.applyEvents(r.Events)
			s.watchTable(max(after, r.Revision), current)
		case statestore.WatchCompacted:
			s.loadTable()
		default:
			store.RetryRead(current, s.loadTable)
		}
	})
}

func (s *sharding) applyEvents(events []protocol.Event) {
	for _, ev := range events {
		if ev.Deleted {
			s.table.Remove(ev.Key, ev.Version)
			continue
		}
		s.putRecord(ev.Key, protocol.KeyValue{Key: ev.Key, Value: ev.Value, Version: ev.Version})
	}
	if len(events) > 0 {
		s.ownershipChanged()
	}
}

// ownershipChanged applies the current table to this controller's membership, to the shards that it
// owns, and, if it leads, to its shard coordinator.
func (s *sharding) ownershipChanged() {
	if !s.tableLoaded {
		return
	}
	if s.owner != nil && !s.table.Alive(s.member) {
		s.leave("its lease has ended")
	}
	if s.owner == nil {
		s.join()
	} else {
		s.owner.applyTable()
	}
	if l := s.controller.leader; l != nil && l.shards != nil {
		l.shards.ownershipChanged()
	}
}

// join acquires a lease as a member. The lease's ID is the member's incarnation, which distinguishes
// this membership from earlier ones of the same controller.
func (s *sharding) join() {
	if s.joining || !s.tableLoaded {
		return
	}
	s.joining = true
	ttl, sent := s.controller.operator.LeaderLease(), s.controller.now
	s.controller.store.GrantLease(ttl, func(leaseID uint64, granted bool) {
		if !granted {
			s.retryJoin()
			return
		}
		s.writeFirstMemberRecord(leadership.NewLease(leaseID, ttl, sent))
	})
}

func (s *sharding) retryJoin() {
	s.controller.after(300*time.Millisecond+s.controller.jitter(200*time.Millisecond), func() {
		s.joining = false
		s.join()
	})
}

// writeFirstMemberRecord writes the record of a new member, conditional on the version of the
// record that it replaces, so that a delayed write of an earlier incarnation fails.
func (s *sharding) writeFirstMemberRecord(lease leadership.Lease) {
	c := s.controller
	member := shard.MemberRecord{Member: shard.Member{Name: c.cfg.Name, Incarnation: lease.ID}, Zone: c.cfg.Zone, Draining: s.draining}
	_, version := s.table.Member(c.cfg.Name)
	key := records.KeyMember(c.cfg.Name)
	value := records.Encode(member)
	c.store.Commit(&protocol.Txn{
		Conditions: []protocol.Condition{{Key: key, Version: version}},
		Ops:        []protocol.Op{{Put: key, Value: value, Lease: lease.ID}},
	}, func(result statestore.CommitResult) {
		if result.Status != statestore.CommitApplied {
			// Revoking the lease also removes the record if the transaction was applied after all.
			c.store.RevokeLease(lease.ID)
			s.loadTable()
			s.retryJoin()
			return
		}
		s.joining = false
		s.putRecord(key, protocol.KeyValue{Key: key, Value: value, Version: result.Revision})
		s.member = member.Member
		s.owner = newShardOwner(s, lease)
		c.log.Info("shard membership acquired", "incarnation", lease.ID, "draining", s.draining)
		leadership.KeepLeaseAlive(electionHost{c}, electionHost{c}, &s.owner.lease, s.owner)
		s.ownershipChanged()
	})
}

// leave ends the membership and discards all state of the shards that the member owned.
func (s *sharding) leave(reason string) {
	s.controller.log.Warn("shard membership lost", "incarnation", s.member.Incarnation, "reason", reason)
	s.owner.ended = true
	s.owner, s.member, s.reachability = nil, shard.Member{}, nil
}

// handleHeartbeat answers a worker's heartbeat, redirects it to the worker's owner or the leader,
// or defers it until one of them is known.
func (s *sharding) handleHeartbeat(id uint64, body []byte) {
	c := s.controller
	r, err := protocol.ParseHeartbeat(body)
	if err != nil {
		c.reply(id, 400, protocol.EncodeError("not a worker's report"))
		return
	}
	if s.owner != nil && s.owner.handleHeartbeat(id, r, body) {
		return
	}
	if l := c.leader; l != nil && l.shards != nil && !l.jobsKnownAt.IsZero() {
		l.shards.redirectHeartbeat(id, r, body)
		return
	}
	if c.leader == nil && !c.leaderSuspect() || c.store.Unavailable() {
		c.reply(id, 421, protocol.EncodeRedirect(s.redirector.target(r.Machine)))
		return
	}
	c.deferHeartbeat(id, body)
}

// ownerName returns the name of the controller that owns a shard, or "" if there is no owner or its
// lease has ended.
func (s *sharding) ownerName(id shard.ID) string {
	owner, ok := s.table.Owner(id)
	if !ok {
		return ""
	}
	return owner.Name
}

// sendStatus sends the status of this owner and its workers to the leader. It runs every second.
func (s *sharding) sendStatus() {
	if s.owner != nil {
		s.updatePartitioned()
		s.owner.sendStatus()
	}
}

// writeReachability writes into the member record whether this owner reaches its workers, if it has
// received no message from a leader within ownerTimeout. Writes are at least
// shard.ReachabilityInterval apart.
func (o *shardOwner) writeReachability() {
	c, s := o.controller, o.sharding
	if s.member.Name == "" || s.memberWriteInFlight || c.store.Unavailable() || c.now.Sub(o.feed.leaderLastReceivedAt) <= ownerTimeout || c.now.Sub(o.reachabilityWrittenAt) < shard.ReachabilityInterval {
		return
	}
	o.reachabilityWrittenAt = c.now
	o.reachabilitySequence++
	reach := o.currentReachability()
	reach.Sequence = o.reachabilitySequence
	s.reachability = &reach
	s.writeMemberRecord(o, func(bool) {})
}

// currentReachability counts the workers that are registered with this owner, and those of them
// that it lost contact with.
func (o *shardOwner) currentReachability() shard.ReachabilityReport {
	var reach shard.ReachabilityReport
	for _, m := range o.fleetList {
		if !m.session.Registered {
			continue
		}
		reach.Workers++
		if m.session.FailedProbes >= sessions.UnreachableProbeThreshold || o.unansweredFor(m) > o.controller.maxUnanswered() {
			reach.Unreachable++
		}
	}
	return reach
}

// maxUnanswered is how long a worker's heartbeats may go unanswered before its owner counts as
// having lost contact with the worker, even if the worker answers calls: over links that fail
// and recover every few seconds some calls get through, while the less frequent heartbeats don't.
func (c *Controller) maxUnanswered() time.Duration { return c.cfg.WorkerLease / 3 }

// partitionedHold is how long a controller that lost contact with most of its workers reports to the
// other controllers that they shouldn't redirect workers to it. It can't detect when workers could
// reach it again.
const partitionedHold = 20 * time.Second

// updatePartitioned restarts the period of partitionedHold if this controller doesn't reach most of its
// workers now.
func (s *sharding) updatePartitioned() {
	if reach := s.owner.currentReachability(); shard.Partitioned(reach.Workers, reach.Unreachable) {
		s.partitionedUntil = s.controller.now.Add(partitionedHold)
	}
}

// workersUnreachable reports whether this controller lost contact with most of its workers within
// partitionedHold.
func (c *Controller) workersUnreachable() bool {
	return c.sharding != nil && c.now.Before(c.sharding.partitionedUntil)
}

// writeMemberRecord rewrites the member's record, bound to the same lease.
func (s *sharding) writeMemberRecord(owner *shardOwner, done func(applied bool)) {
	c := s.controller
	s.memberWriteInFlight = true
	key := records.KeyMember(c.cfg.Name)
	_, version := s.table.Member(c.cfg.Name)
	value := records.Encode(shard.MemberRecord{Member: s.member, Zone: c.cfg.Zone, Draining: s.draining, Reachability: s.reachability})
	c.store.Commit(&protocol.Txn{
		Conditions: []protocol.Condition{{Key: key, Version: version}},
		Ops:        []protocol.Op{{Put: key, Value: value, Lease: owner.lease.ID}},
	}, func(result statestore.CommitResult) {
		s.memberWriteInFlight = false
		if s.owner != owner {
			return // the membership has ended since the write was sent
		}
		if result.Status == statestore.CommitApplied {
			s.putRecord(key, protocol.KeyValue{Key: key, Value: value, Version: result.Revision})
			s.ownershipChanged()
		} else if result.Status != statestore.CommitRefused {
			s.loadTable() // the transaction may have been applied
		}
		done(result.Status == statestore.CommitApplied)
	})
}

// shardOwner implements leadership.LeaseHolder for the lease of its membership.

// NeedsLease implements leadership.LeaseHolder.
func (o *shardOwner) NeedsLease() bool { return o.sharding.owner == o }

// RenewalSent implements leadership.LeaseHolder.
func (o *shardOwner) RenewalSent() {}

// LeaseRenewed implements leadership.LeaseHolder.
func (o *shardOwner) LeaseRenewed() {}

// LeaseExpired implements leadership.LeaseHolder.
func (o *shardOwner) LeaseExpired() {
	o.sharding.leave("its lease has ended")
	o.sharding.loadTable()
}
