package coordination

import (
	"time"

	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// sharding is a controller's part in serving machines by shards: what the state service
// tells of owners, this controller's own lease as a member, and what it owns by that.
type sharding struct {
	controller *Controller
	table      *shard.Table
	read       bool // the table was read and is watched
	generation int  // of the watch; an older one's news is dropped
	tableOf    int  // generation whose read made the table
	draining   bool
	joining    bool
	writing    bool         // the member's record is being written anew
	reach      *shard.Reach // that its record shows
	member     shard.Member // zero without a lease
	own        *shardOwner  // nil without a lease
	redirector redirector
	blindUntil time.Time // until when workers are better not sent here
}

// startSharding makes the node one that may own shards.
func (c *Controller) startSharding(draining bool) {
	c.sharding = &sharding{controller: c, table: shard.NewTable(), draining: draining, redirector: newRedirector(c)}
	c.sharding.readTable()
	c.every(time.Second, c.sharding.tellStatus)
}

// readTable reads who owns what, and watches it from there.
func (s *sharding) readTable() {
	s.generation++
	generation := s.generation
	current := func() bool { return s.generation == generation }
	s.controller.storeList(records.PrefixShards, current, func(items []protocol.Item, revision uint64, _ time.Time) {
		s.table = shard.NewTable()
		for _, it := range items {
			s.put(it.Key, it)
		}
		s.read, s.tableOf = true, generation
		s.changed()
		s.watch(revision, current)
	})
}

func (s *sharding) put(key string, it protocol.Item) {
	if err := s.table.Put(key, it.Value, it.Version); err != nil {
		s.controller.log.Error("unreadable record of shards", "key", key, "err", err)
	}
}

func (s *sharding) watch(after uint64, current func() bool) {
	s.controller.storeWatch(records.PrefixShards, after, watchWait, func(o Outcome) {
		if !current() {
			return
		}
		if o.Answered && o.Status == 200 {
			if events, revision, err := protocol.ParseEvents(o.Body); err == nil {
				s.takeEvents(events)
				s.watch(max(after, revision), current)
				return
			}
		}
		if o.Answered && o.Status == 410 {
			s.readTable()
			return
		}
		s.controller.after(200*time.Millisecond+s.controller.jitter(100*time.Millisecond), func() {
			if current() {
				s.readTable()
			}
		})
	})
}

func (s *sharding) takeEvents(events []protocol.Event) {
	for _, ev := range events {
		if ev.Deleted {
			s.table.Remove(ev.Key, ev.Version)
			continue
		}
		s.put(ev.Key, protocol.Item{Key: ev.Key, Value: ev.Value, Version: ev.Version})
	}
	if len(events) > 0 {
		s.changed()
	}
}

// changed acts on what is now known.
func (s *sharding) changed() {
	if !s.read {
		return
	}
	if s.own != nil && !s.table.Alive(s.member) {
		s.leave("its lease has ended")
	}
	if s.own == nil {
		s.join()
	} else {
		s.own.follow()
	}
	if l := s.controller.leader; l != nil && l.shards != nil {
		l.shards.changed()
	}
}

// join takes a lease as a member: its number tells this life of the controller from all
// others.
func (s *sharding) join() {
	if s.joining || !s.read {
		return
	}
	s.joining = true
	c, ttl, sent := s.controller, s.controller.op.LeaderLease(), s.controller.now
	c.store("POST", protocol.PathLeases, protocol.LeaseBody(ttl), storeTimeout, func(o Outcome) {
		leaseID, err := uint64(0), error(nil)
		if o.Answered && o.Status == 200 {
			leaseID, err = protocol.ParseLease(o.Body)
		}
		if leaseID == 0 || err != nil {
			s.joinAgain()
			return
		}
		s.recordMember(lease{leaseID, ttl, sent.Add(ttl - clockDrift(ttl))})
	})
}

func (s *sharding) joinAgain() {
	s.controller.after(300*time.Millisecond+s.controller.jitter(200*time.Millisecond), func() {
		s.joining = false
		s.join()
	})
}

// recordMember writes the member's record, on the version of whatever stands there: an
// earlier life's write that comes late fails.
func (s *sharding) recordMember(r lease) {
	c := s.controller
	member := shard.MemberRecord{Member: shard.Member{Node: c.cfg.Name, Incarnation: r.id}, Zone: c.cfg.Zone, Draining: s.draining}
	_, version := s.table.Member(c.cfg.Name)
	key := records.KeyMember(c.cfg.Name)
	value := records.Encode(member)
	c.storeTxn(&protocol.Txn{
		If:   []protocol.Condition{{Key: key, Version: version}},
		Then: []protocol.Op{{Put: key, Value: value, Lease: r.id}},
	}, func(res txnResult, revision uint64, _ []string) {
		if res != txnApplied {
			// Ending the lease also ends what the transaction may have written.
			c.store("DELETE", protocol.LeaseTarget(r.id), nil, storeTimeout, func(Outcome) {})
			s.readTable()
			s.joinAgain()
			return
		}
		s.joining = false
		s.put(key, protocol.Item{Key: key, Value: value, Version: revision})
		s.member = member.Member
		s.own = newShardOwner(s, r)
		c.log.Info("may own shards", "incarnation", r.id, "draining", s.draining)
		s.renew(s.own)
		s.changed()
	})
}

// renew keeps the member's lease.
func (s *sharding) renew(own *shardOwner) {
	c, ttl, sent := s.controller, own.lease.ttl, s.controller.now
	c.store("POST", protocol.TouchTarget(own.lease.id), nil, ttl/2, func(o Outcome) {
		if s.own != own {
			return
		}
		next := ttl * 3 / 10
		switch {
		case o.Answered && o.Status == 200:
			own.lease.validUntil = sent.Add(ttl - clockDrift(ttl))
		case o.Answered && o.Status == 404:
			s.leave("its lease has ended")
			s.readTable()
			return
		default:
			next = 200 * time.Millisecond
		}
		c.after(next, func() {
			if s.own == own {
				s.renew(own)
			}
		})
	})
}

// leave gives up all that the member owned, and what was kept in memory for it.
func (s *sharding) leave(why string) {
	s.controller.log.Warn("owning no shard any more", "incarnation", s.member.Incarnation, "why", why)
	s.own.ended = true
	s.own, s.member, s.reach = nil, shard.Member{}, nil
}

// report answers a worker, or tells it who does.
func (s *sharding) report(id uint64, body []byte) {
	c := s.controller
	r, err := protocol.ParseReport(body)
	if err != nil {
		c.reply(id, 400, protocol.ErrorAnswer("not a worker's report"))
		return
	}
	if s.own != nil && s.own.takes(id, r, body) {
		return
	}
	if l := c.leader; l != nil && l.shards != nil && !l.jobsKnownAt.IsZero() {
		l.shards.redirect(id, r, body)
		return
	}
	if c.leader == nil && !c.leaderSuspect() || c.storeDown() {
		c.reply(id, 421, protocol.Redirect(s.redirector.target(r.Machine)))
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
	return owner.Node
}

// tellStatus tells the leader every second how this owner and its workers are.
func (s *sharding) tellStatus() {
	if s.own != nil {
		s.noteOwnReach()
		s.own.status()
	}
}
