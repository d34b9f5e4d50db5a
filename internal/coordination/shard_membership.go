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

// sharding is a controller's part in serving machines by shards: what the state service
// tells of owners, this controller's own lease as a member, and what it owns by that.
type sharding struct {
	controller          *Controller
	table               *shard.Table
	tableLoaded         bool // the table was read and is watched
	watchGeneration     int  // of the watch; an older one's news is dropped
	tableGeneration     int  // generation whose read made the table
	draining            bool
	joining             bool
	memberWriteInFlight bool                      // the member's record is being written anew
	reachability        *shard.ReachabilityReport // that its record shows
	member              shard.Member              // zero without a lease
	owner               *shardOwner               // nil without a lease
	redirector          redirector
	partitionedUntil    time.Time // until when workers are better not sent here
}

// startSharding makes the controller one that may own shards.
func (c *Controller) startSharding(draining bool) {
	c.sharding = &sharding{controller: c, table: shard.NewTable(), draining: draining, redirector: newRedirector(c)}
	c.sharding.loadTable()
	c.every(time.Second, c.sharding.sendStatus)
}

// loadTable reads who owns what, and watches it from there.
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

func (s *sharding) putRecord(key string, it protocol.KeyValue) {
	if err := s.table.Put(key, it.Value, it.Version); err != nil {
		s.controller.log.Error("shard record unreadable", "key", key, "error", err)
	}
}

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

// ownershipChanged acts on what is now known.
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

// join takes a lease as a member: its number tells this life of the controller from all
// others.
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

// writeFirstMemberRecord writes the member's record, on the version of whatever stands there: an
// earlier life's write that comes late fails.
func (s *sharding) writeFirstMemberRecord(r leadership.Lease) {
	c := s.controller
	member := shard.MemberRecord{Member: shard.Member{Name: c.cfg.Name, Incarnation: r.ID}, Zone: c.cfg.Zone, Draining: s.draining}
	_, version := s.table.Member(c.cfg.Name)
	key := records.KeyMember(c.cfg.Name)
	value := records.Encode(member)
	c.store.Commit(&protocol.Txn{
		Conditions: []protocol.Condition{{Key: key, Version: version}},
		Ops:        []protocol.Op{{Put: key, Value: value, Lease: r.ID}},
	}, func(result statestore.CommitResult) {
		if result.Status != statestore.CommitApplied {
			// Ending the lease also ends what the transaction may have written.
			c.store.RevokeLease(r.ID)
			s.loadTable()
			s.retryJoin()
			return
		}
		s.joining = false
		s.putRecord(key, protocol.KeyValue{Key: key, Value: value, Version: result.Revision})
		s.member = member.Member
		s.owner = newShardOwner(s, r)
		c.log.Info("shard membership acquired", "incarnation", r.ID, "draining", s.draining)
		leadership.KeepLeaseAlive(electionHost{c}, electionHost{c}, &s.owner.lease, s.owner)
		s.ownershipChanged()
	})
}

// leave gives up all that the member owned, and what was kept in memory for it.
func (s *sharding) leave(why string) {
	s.controller.log.Warn("shard membership lost", "incarnation", s.member.Incarnation, "reason", why)
	s.owner.ended = true
	s.owner, s.member, s.reachability = nil, shard.Member{}, nil
}

// handleHeartbeat answers a worker, or tells it who does.
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

// ownerName is who serves a shard, empty when nobody does.
func (s *sharding) ownerName(id shard.ID) string {
	owner, ok := s.table.Owner(id)
	if !ok {
		return ""
	}
	return owner.Name
}

// sendStatus tells the leader every second how this owner and its workers are.
func (s *sharding) sendStatus() {
	if s.owner != nil {
		s.updatePartitioned()
		s.owner.sendStatus()
	}
}

// writeReachability writes what this owner reaches into its member record, if it hears no leader and
// the last report is old enough.
func (o *shardOwner) writeReachability() {
	c, s := o.controller, o.sharding
	if s.member.Name == "" || s.memberWriteInFlight || c.store.Unavailable() || c.now.Sub(o.feed.leaderHeardAt) <= ownerTimeout || c.now.Sub(o.reachabilityWrittenAt) < shard.ReachabilityInterval {
		return
	}
	o.reachabilityWrittenAt = c.now
	o.reachabilitySequence++
	reach := o.currentReachability()
	reach.Sequence = o.reachabilitySequence
	s.reachability = &reach
	s.writeMemberRecord(o, func(bool) {})
}

// currentReachability counts the workers that this owner heard, and those that it lost.
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

// maxUnanswered is how long a worker's heartbeats may go unanswered before it counts as lost to
// its owner, whether or not it answers calls: where links break and come back every few
// seconds calls get through now and then, and heartbeats, which come rarely, don't.
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

// writeMemberRecord writes the member's record anew, bound to the same lease.
func (s *sharding) writeMemberRecord(own *shardOwner, done func(applied bool)) {
	c := s.controller
	s.memberWriteInFlight = true
	key := records.KeyMember(c.cfg.Name)
	_, version := s.table.Member(c.cfg.Name)
	value := records.Encode(shard.MemberRecord{Member: s.member, Zone: c.cfg.Zone, Draining: s.draining, Reachability: s.reachability})
	c.store.Commit(&protocol.Txn{
		Conditions: []protocol.Condition{{Key: key, Version: version}},
		Ops:        []protocol.Op{{Put: key, Value: value, Lease: own.lease.ID}},
	}, func(result statestore.CommitResult) {
		s.memberWriteInFlight = false
		if s.owner != own {
			return // it left, and joins as another member
		}
		if result.Status == statestore.CommitApplied {
			s.putRecord(key, protocol.KeyValue{Key: key, Value: value, Version: result.Revision})
			s.ownershipChanged()
		} else if result.Status != statestore.CommitRefused {
			s.loadTable() // it may have been applied
		}
		done(result.Status == statestore.CommitApplied)
	})
}

// A shard's owner as the holder of its lease (leadership.Holder).

// NeedsLease implements leadership.Holder.
func (o *shardOwner) NeedsLease() bool { return o.sharding.owner == o }

// RenewalSent implements leadership.Holder.
func (o *shardOwner) RenewalSent() {}

// LeaseRenewed implements leadership.Holder.
func (o *shardOwner) LeaseRenewed() {}

// LeaseExpired implements leadership.Holder.
func (o *shardOwner) LeaseExpired() {
	o.sharding.leave("its lease has ended")
	o.sharding.loadTable()
}
