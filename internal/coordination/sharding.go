package coordination

import (
	"time"

	"brasskeel/internal/bookkeeping"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
)

// sharding is a controller's part in serving machines by shards: what the state service
// tells of owners, this controller's own lease as a member, and what it owns by that.
type sharding struct {
	n          *Node
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
	sendOn     sendOn
	blindUntil time.Time // until when workers are better not sent here
}

// startSharding makes the node one that may own shards.
func (n *Node) startSharding(draining bool) {
	n.sharding = &sharding{n: n, table: shard.NewTable(), draining: draining, sendOn: newSendOn(n)}
	n.sharding.readTable()
	n.every(time.Second, n.sharding.tellStatus)
}

// readTable reads who owns what, and watches it from there.
func (s *sharding) readTable() {
	s.generation++
	generation := s.generation
	current := func() bool { return s.generation == generation }
	s.n.storeList(bookkeeping.PrefixShards, current, func(items []protocol.Item, revision uint64, _ time.Time) {
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
		s.n.log.Error("unreadable record of shards", "key", key, "err", err)
	}
}

func (s *sharding) watch(after uint64, current func() bool) {
	s.n.storeWatch(bookkeeping.PrefixShards, after, watchWait, func(o Outcome) {
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
		s.n.after(200*time.Millisecond+s.n.jitter(100*time.Millisecond), func() {
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
	if l := s.n.lead; l != nil && l.shards != nil {
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
	n, ttl, sent := s.n, s.n.op.LeaderLease(), s.n.now
	n.store("POST", protocol.PathLeases, protocol.LeaseBody(ttl), storeTimeout, func(o Outcome) {
		lease, err := uint64(0), error(nil)
		if o.Answered && o.Status == 200 {
			lease, err = protocol.ParseLease(o.Body)
		}
		if lease == 0 || err != nil {
			s.joinAgain()
			return
		}
		s.recordMember(right{lease, ttl, sent.Add(ttl - drift(ttl))})
	})
}

func (s *sharding) joinAgain() {
	s.n.after(300*time.Millisecond+s.n.jitter(200*time.Millisecond), func() {
		s.joining = false
		s.join()
	})
}

// recordMember writes the member's record, on the version of whatever stands there: an
// earlier life's write that comes late fails.
func (s *sharding) recordMember(r right) {
	n := s.n
	member := shard.MemberRecord{Member: shard.Member{Node: n.cfg.Name, Incarnation: r.lease}, Zone: n.cfg.Zone, Draining: s.draining}
	_, version := s.table.Member(n.cfg.Name)
	key := bookkeeping.KeyMember(n.cfg.Name)
	value := bookkeeping.Encode(member)
	n.storeTxn(&protocol.Txn{
		If:   []protocol.Condition{{Key: key, Version: version}},
		Then: []protocol.Op{{Put: key, Value: value, Lease: r.lease}},
	}, func(res txnResult, revision uint64, _ []string) {
		if res != txnApplied {
			// Ending the lease also ends what the transaction may have written.
			n.store("DELETE", protocol.LeaseTarget(r.lease), nil, storeTimeout, func(Outcome) {})
			s.readTable()
			s.joinAgain()
			return
		}
		s.joining = false
		s.put(key, protocol.Item{Key: key, Value: value, Version: revision})
		s.member = member.Member
		s.own = newShardOwner(s, r)
		n.log.Info("may own shards", "incarnation", r.lease, "draining", s.draining)
		s.renew(s.own)
		s.changed()
	})
}

// renew keeps the member's lease.
func (s *sharding) renew(own *shardOwner) {
	n, ttl, sent := s.n, own.right.ttl, s.n.now
	n.store("POST", protocol.TouchTarget(own.right.lease), nil, ttl/2, func(o Outcome) {
		if s.own != own {
			return
		}
		next := ttl * 3 / 10
		switch {
		case o.Answered && o.Status == 200:
			own.right.validUntil = sent.Add(ttl - drift(ttl))
		case o.Answered && o.Status == 404:
			s.leave("its lease has ended")
			s.readTable()
			return
		default:
			next = 200 * time.Millisecond
		}
		n.after(next, func() {
			if s.own == own {
				s.renew(own)
			}
		})
	})
}

// leave gives up all that the member owned, and what was kept in memory for it.
func (s *sharding) leave(why string) {
	s.n.log.Warn("owning no shard any more", "incarnation", s.member.Incarnation, "why", why)
	s.own.ended = true
	s.own, s.member, s.reach = nil, shard.Member{}, nil
}

// report answers a worker, or tells it who does.
func (s *sharding) report(id uint64, body []byte) {
	n := s.n
	r, err := protocol.ParseReport(body)
	if err != nil {
		n.reply(id, 400, protocol.ErrorAnswer("not a worker's report"))
		return
	}
	if s.own != nil && s.own.takes(id, r, body) {
		return
	}
	if l := n.lead; l != nil && l.shards != nil && !l.known.IsZero() {
		l.shards.redirect(id, r, body)
		return
	}
	if n.lead == nil && !n.leaderDoubtful() || n.storeDown() {
		n.reply(id, 421, protocol.Redirect(s.sendOn.to(r.Machine)))
		return
	}
	n.holdForLeader(id, body)
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
