package coordination

import (
	"encoding/json"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// election follows who leads, and stands when nobody does.
type election struct {
	leader        records.Leader
	leaderVersion uint64 // 0: nobody leads, as far as we know
	leaderLease   uint64
	term          uint64
	termVersion   uint64
	prefer        string // zone that leaders should be in
	sharded       bool   // machines are divided into shards
	loaded        bool
	standing      bool
	planned       *timer
	notBefore     time.Time   // after stepping down by choice
	unfitUntil    time.Time   // it led and reached too few machines
	generation    int         // of the watch; an older one's news is dropped
	changes       []time.Time // of the leadership, lately
	lostLate      time.Time   // it lost the leadership while it was behind
}

// lostCounts is how long that is held against it.
const lostCounts = 2 * time.Minute

func (c *Controller) startElection() {
	e := &c.election
	e.generation++
	generation := e.generation
	alive := func() bool { return c.election.generation == generation }
	c.storeList(records.PrefixElection, alive, func(items []protocol.Item, revision uint64, _ time.Time) {
		e.leaderVersion, e.leader, e.leaderLease = 0, records.Leader{}, 0
		e.termVersion, e.term, e.sharded = 0, 0, false
		for _, it := range items {
			c.electionKey(it.Key, it.Value, it.Version)
			if it.Key == records.KeyLeader {
				e.leaderLease = it.Lease
			}
		}
		e.loaded = true
		c.electionChanged()
		c.watchElection(revision, generation)
	})
}

func (c *Controller) electionKey(key string, value json.RawMessage, version uint64) {
	e := &c.election
	switch key {
	case records.KeyLeader:
		var l records.Leader
		if json.Unmarshal(value, &l) == nil {
			if l.Term > e.leader.Term {
				c.noteChange()
			}
			e.leader, e.leaderVersion, e.leaderLease = l, version, 0
		}
	case records.KeyTerm:
		var t records.Term
		if json.Unmarshal(value, &t) == nil {
			e.term, e.termVersion = t.Term, version
		}
	case records.KeySharded:
		e.sharded = true
	case records.KeyPrefer:
		var p records.Prefer
		if json.Unmarshal(value, &p) == nil {
			e.prefer = p.Zone
		}
	}
}

func (c *Controller) electionKeyGone(key string) {
	switch key {
	case records.KeyLeader:
		c.election.leaderVersion, c.election.leader = 0, records.Leader{}
	case records.KeySharded:
		c.election.sharded = false
	}
}

func (c *Controller) watchElection(after uint64, generation int) {
	c.storeWatch(records.PrefixElection, after, watchWait, func(o Outcome) {
		if c.election.generation != generation {
			return
		}
		if o.Answered && o.Status == 200 {
			if events, revision, err := protocol.ParseEvents(o.Body); err == nil {
				for _, ev := range events {
					if ev.Deleted {
						c.electionKeyGone(ev.Key)
						continue
					}
					c.electionKey(ev.Key, ev.Value, ev.Version)
				}
				if len(events) > 0 {
					c.electionChanged()
				}
				c.watchElection(max(after, revision), generation)
				return
			}
		}
		if o.Answered && o.Status == 410 {
			c.startElection()
			return
		}
		c.after(200*time.Millisecond+c.jitter(100*time.Millisecond), func() {
			if c.election.generation == generation {
				c.startElection()
			}
		})
	})
}

// electionChanged acts on what is now known of the leadership.
func (c *Controller) electionChanged() {
	e := &c.election
	if c.leader != nil && e.leaderVersion != c.leader.version && e.leaderVersion > c.leader.version {
		c.stepDown("another leader was elected")
	}
	c.releaseHeld()
	if c.leader != nil {
		return
	}
	if e.leaderVersion == 0 {
		c.planCampaign()
		return
	}
	if e.leader.Node == c.cfg.Name && e.leader.Boot != c.boot && e.leaderLease != 0 {
		// This node's earlier process led. It is gone for good and all its
		// late writes are conditional on the key that goes with this lease.
		c.log.Info("ending the lease of this node's earlier process", "term", e.leader.Term)
		c.store("DELETE", protocol.LeaseTarget(e.leaderLease), nil, storeTimeout, func(Outcome) {})
	}
}

// planCampaign stands for election after a short random wait, longer where
// another zone is the better place for a leader.
func (c *Controller) planCampaign() {
	e := &c.election
	if e.standing || e.planned != nil || !e.loaded {
		return
	}
	wait := c.jitter(60 * time.Millisecond)
	if e.prefer != "" && e.prefer != c.cfg.Zone {
		wait += 700 * time.Millisecond
	}
	if c.unfit() {
		wait += unfitWait // others first
	}
	if d := e.notBefore.Sub(c.now); d > wait {
		wait = d
	}
	e.planned = c.after(wait, func() {
		e.planned = nil
		if e.leaderVersion == 0 && c.leader == nil && !e.standing {
			c.stand()
		}
	})
}

// A node that led and reached too few machines stands behind the others for a while,
// and no leader hands over to it. One that was cut off from its workers had been handed
// the lead again, for its zone, and gave up a whole fleet that another node reached.
const (
	unfitTime = time.Minute
	unfitWait = 2 * time.Second
)

func (c *Controller) unfit() bool { return c.now.Before(c.election.unfitUntil) }

// resignUnfit hands over because of the machines that this node doesn't reach, unless all
// others did so lately: then it makes no difference who leads. One that did so itself
// does it again only for another that is known to be fit.
func (c *Controller) resignUnfit(why string) bool {
	fit, unfit := 0, 0
	for _, p := range c.peers {
		switch {
		case c.now.Sub(p.at) >= 3*time.Second:
		case p.unfit:
			unfit++
		case p.storeOK:
			fit++
		}
	}
	if unfit == len(c.cfg.Peers) || c.unfit() && fit == 0 {
		return false
	}
	c.election.unfitUntil = c.now.Add(unfitTime)
	c.publish()
	c.resign(why, 3*time.Second)
	return true
}

// changesCount is how long a change of leaders counts for the next one's lease.
const changesCount = 15 * time.Second

// noteChange remembers that somebody became leader.
func (c *Controller) noteChange() {
	e := &c.election
	e.changes = append(e.changes, c.now)
	for len(e.changes) > 0 && (len(e.changes) > 4 || c.now.Sub(e.changes[0]) > changesCount) {
		e.changes = e.changes[1:]
	}
}

// leaseTime is the lease that a candidate asks for: twice as long after a recent
// change, four times after three of them. A large fleet is most work for a new
// leader; one that couldn't renew a short lease in time left the same work to the
// next, and none ever got through with it.
//
// A leader that lost its lease while it was behind has twice as much to do as before:
// alone with all workers of a fleet it lost each short one to the next peak, minutes
// apart. And where no peer is heard, nobody waits for a short lease to end.
func (c *Controller) leaseTime() time.Duration {
	recent := 0
	if c.now.Sub(c.election.lostLate) < lostCounts && !c.election.lostLate.IsZero() {
		return 4 * c.op.LeaderLease()
	}
	if len(c.cfg.Peers) > 0 && len(c.peers) > 0 && !c.hearsPeer() {
		recent = 1
	}
	for _, at := range c.election.changes {
		if c.now.Sub(at) <= changesCount {
			recent++
		}
	}
	switch {
	case recent == 0:
		return c.op.LeaderLease()
	case recent < 3:
		return 2 * c.op.LeaderLease()
	}
	return 4 * c.op.LeaderLease()
}

// stand tries to become leader: a lease, then one transaction that creates the
// leader key bound to it and raises the term. Two candidates can't both
// succeed, and a transaction that arrives late finds another term.
func (c *Controller) stand() {
	e := &c.election
	e.standing = true
	ttl := c.leaseTime()
	sent := c.now
	retry := func() {
		e.standing = false
		c.after(150*time.Millisecond+c.jitter(150*time.Millisecond), func() {
			if c.leader == nil {
				c.startElection()
			}
		})
	}
	c.store("POST", protocol.PathLeases, protocol.LeaseBody(ttl), storeTimeout, func(o Outcome) {
		lease, err := uint64(0), error(nil)
		if o.Answered && o.Status == 200 {
			lease, err = protocol.ParseLease(o.Body)
		}
		if lease == 0 || err != nil {
			retry()
			return
		}
		term := e.term + 1
		record := records.Leader{Node: c.cfg.Name, Zone: c.cfg.Zone, Term: term, Boot: c.boot}
		c.storeTxn(&protocol.Txn{
			If: []protocol.Condition{{Key: records.KeyLeader}, {Key: records.KeyTerm, Version: e.termVersion}},
			Then: []protocol.Op{
				{Put: records.KeyLeader, Value: records.Encode(record), Lease: lease},
				{Put: records.KeyTerm, Value: records.Encode(records.Term{Term: term})},
			},
		}, func(r txnResult, revision uint64, _ []string) {
			if r == txnApplied {
				e.standing = false
				e.leader, e.leaderVersion, e.leaderLease = record, revision, lease
				e.term, e.termVersion = term, revision
				c.noteChange()
				c.becomeLeader(term, revision, lease, ttl, sent.Add(ttl-drift(ttl)))
				return
			}
			// Ending the lease also ends what the transaction may have created,
			// or may yet create: a write with an expired lease is refused.
			c.store("DELETE", protocol.LeaseTarget(lease), nil, storeTimeout, func(Outcome) {})
			retry()
		})
	})
}

// renew keeps the leader's lease; it is never delayed by a budget.
func (l *leader) renew() {
	c := l.controller
	if !l.alive() {
		return
	}
	ttl := l.lease.ttl
	sent := c.now
	c.store("POST", protocol.TouchTarget(l.lease.id), nil, ttl/2, func(o Outcome) {
		if !l.alive() {
			return
		}
		next := ttl * 3 / 10
		switch {
		case o.Answered && o.Status == 200:
			l.lease.validUntil = sent.Add(ttl - drift(ttl))
			l.muted = false
		case o.Answered && o.Status == 404:
			c.stepDown("the leader lease ended")
			return
		default:
			next = 200 * time.Millisecond
		}
		c.after(next, l.renew)
	})
	if !l.holdsLease() && !l.muted && !l.jobsKnownAt.IsZero() {
		// It answers no worker any more, but keeps what it knows: in an outage
		// the lease stands still, and once it is renewed after all, nobody
		// else can have led meanwhile.
		l.muted = true
		c.log.Warn("answering no worker until the leader lease is renewed", "term", l.term)
	}
}

// stepDown gives up the leadership and all that was kept in memory for it.
func (c *Controller) stepDown(why string) {
	l := c.leader
	if l == nil {
		return
	}
	c.log.Warn("stepping down", "term", l.term, "why", why)
	if c.now.Sub(c.lateAt) < lateCounts && !c.lateAt.IsZero() && l.phase == active {
		c.election.lostLate = c.now
	}
	l.ended = true
	c.leader = nil
	c.startElection()
}

// resign steps down by choice, so that another node can lead at once.
func (c *Controller) resign(why string, pause time.Duration) {
	l := c.leader
	c.election.notBefore = c.now.Add(pause)
	c.store("DELETE", protocol.LeaseTarget(l.lease.id), nil, storeTimeout, func(Outcome) {})
	c.stepDown(why)
}

// leaderName is where workers are sent; empty when unknown.
func (c *Controller) leaderName() string {
	if c.election.leaderVersion == 0 || c.election.leader.Node == c.cfg.Name {
		return ""
	}
	return c.election.leader.Node
}
