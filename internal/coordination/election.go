package coordination

import (
	"encoding/json"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// election follows who leads, and stands when nobody does.
type election struct {
	leader            records.Leader
	leaderVersion     uint64 // 0: nobody leads, as far as we know
	leaderLease       uint64
	term              uint64
	termVersion       uint64
	preferredZone     string // zone that leaders should be in
	sharded           bool   // machines are divided into shards
	loaded            bool
	campaigning       bool
	campaignTimer     *timer
	notBefore         time.Time   // after stepping down by choice
	disconnectedUntil time.Time   // it led and reached too few machines
	generation        int         // of the watch; an older one's news is dropped
	leaderChanges     []time.Time // of the leadership, lately
	lostOverloadedAt  time.Time   // it lost the leadership while it was behind
}

// overloadLossWindow is how long that is held against it.
const overloadLossWindow = 2 * time.Minute

func (c *Controller) startElection() {
	e := &c.election
	e.generation++
	generation := e.generation
	alive := func() bool { return c.election.generation == generation }
	c.storeList(records.PrefixElection, alive, func(items []protocol.KeyValue, revision uint64, _ time.Time) {
		e.leaderVersion, e.leader, e.leaderLease = 0, records.Leader{}, 0
		e.termVersion, e.term, e.sharded = 0, 0, false
		for _, it := range items {
			c.applyElectionKey(it.Key, it.Value, it.Version)
			if it.Key == records.KeyLeader {
				e.leaderLease = it.Lease
			}
		}
		e.loaded = true
		c.electionUpdated()
		c.watchElection(revision, generation)
	})
}

func (c *Controller) applyElectionKey(key string, value json.RawMessage, version uint64) {
	e := &c.election
	switch key {
	case records.KeyLeader:
		var l records.Leader
		if json.Unmarshal(value, &l) == nil {
			if l.Term > e.leader.Term {
				c.noteLeaderChange()
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
			e.preferredZone = p.Zone
		}
	}
}

func (c *Controller) removeElectionKey(key string) {
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
						c.removeElectionKey(ev.Key)
						continue
					}
					c.applyElectionKey(ev.Key, ev.Value, ev.Version)
				}
				if len(events) > 0 {
					c.electionUpdated()
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

// electionUpdated acts on what is now known of the leadership.
func (c *Controller) electionUpdated() {
	e := &c.election
	if c.leader != nil && e.leaderVersion != c.leader.version && e.leaderVersion > c.leader.version {
		c.stepDown("another leader was elected")
	}
	c.resumeDeferred()
	if c.leader != nil {
		return
	}
	if e.leaderVersion == 0 {
		c.scheduleCampaign()
		return
	}
	if e.leader.Node == c.cfg.Name && e.leader.Boot != c.bootID && e.leaderLease != 0 {
		// This node's earlier process led. It is gone for good and all its
		// late writes are conditional on the key that goes with this lease.
		c.log.Info("revoking lease of previous process", "term", e.leader.Term)
		c.store("DELETE", protocol.LeaseTarget(e.leaderLease), nil, storeTimeout, func(Outcome) {})
	}
}

// scheduleCampaign stands for election after a short random wait, longer where
// another zone is the better place for a leader.
func (c *Controller) scheduleCampaign() {
	e := &c.election
	if e.campaigning || e.campaignTimer != nil || !e.loaded {
		return
	}
	wait := c.jitter(60 * time.Millisecond)
	if e.preferredZone != "" && e.preferredZone != c.cfg.Zone {
		wait += 700 * time.Millisecond
	}
	if c.disconnected() {
		wait += disconnectedDelay // others first
	}
	if d := e.notBefore.Sub(c.now); d > wait {
		wait = d
	}
	e.campaignTimer = c.after(wait, func() {
		e.campaignTimer = nil
		if e.leaderVersion == 0 && c.leader == nil && !e.campaigning {
			c.campaign()
		}
	})
}

// A node that led and reached too few machines stands behind the others for a while,
// and no leader hands over to it. One that was cut off from its workers had been handed
// the lead again, for its zone, and gave up a whole fleet that another node reached.
const (
	disconnectedFor   = time.Minute
	disconnectedDelay = 2 * time.Second
)

func (c *Controller) disconnected() bool { return c.now.Before(c.election.disconnectedUntil) }

// resignDisconnected hands over because of the machines that this node doesn't reach, unless all
// others did so lately: then it makes no difference who leads. One that did so itself
// does it again only for another that is known to be fit.
func (c *Controller) resignDisconnected(reason string) bool {
	eligible, disconnected := 0, 0
	for _, p := range c.peers {
		switch {
		case c.now.Sub(p.heardAt) >= 3*time.Second:
		case p.disconnected:
			disconnected++
		case p.storeReachable:
			eligible++
		}
	}
	if disconnected == len(c.cfg.Peers) || c.disconnected() && eligible == 0 {
		return false
	}
	c.election.disconnectedUntil = c.now.Add(disconnectedFor)
	c.broadcastStatus()
	c.resign(reason, 3*time.Second)
	return true
}

// leaderChangeWindow is how long a change of leaders counts for the next one's lease.
const leaderChangeWindow = 15 * time.Second

// noteLeaderChange remembers that somebody became leader.
func (c *Controller) noteLeaderChange() {
	e := &c.election
	e.leaderChanges = append(e.leaderChanges, c.now)
	for len(e.leaderChanges) > 0 && (len(e.leaderChanges) > 4 || c.now.Sub(e.leaderChanges[0]) > leaderChangeWindow) {
		e.leaderChanges = e.leaderChanges[1:]
	}
}

// campaignLeaseTTL is the lease that a candidate asks for: twice as long after a recent
// change, four times after three of them. A large fleet is most work for a new
// leader; one that couldn't renew a short lease in time left the same work to the
// next, and none ever got through with it.
//
// A leader that lost its lease while it was behind has twice as much to do as before:
// alone with all workers of a fleet it lost each short one to the next peak, minutes
// apart. And where no peer is heard, nobody waits for a short lease to end.
func (c *Controller) campaignLeaseTTL() time.Duration {
	recent := 0
	if c.now.Sub(c.election.lostOverloadedAt) < overloadLossWindow && !c.election.lostOverloadedAt.IsZero() {
		return 4 * c.op.LeaderLease()
	}
	if len(c.cfg.Peers) > 0 && len(c.peers) > 0 && !c.heardFromPeer() {
		recent = 1
	}
	for _, at := range c.election.leaderChanges {
		if c.now.Sub(at) <= leaderChangeWindow {
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

// campaign tries to become leader: a lease, then one transaction that creates the
// leader key bound to it and raises the term. Two candidates can't both
// succeed, and a transaction that arrives late finds another term.
func (c *Controller) campaign() {
	e := &c.election
	e.campaigning = true
	ttl := c.campaignLeaseTTL()
	sent := c.now
	retry := func() {
		e.campaigning = false
		c.after(150*time.Millisecond+c.jitter(150*time.Millisecond), func() {
			if c.leader == nil {
				c.startElection()
			}
		})
	}
	c.store("POST", protocol.PathLeases, protocol.EncodeLeaseRequest(ttl), storeTimeout, func(o Outcome) {
		lease, err := uint64(0), error(nil)
		if o.Answered && o.Status == 200 {
			lease, err = protocol.ParseLease(o.Body)
		}
		if lease == 0 || err != nil {
			retry()
			return
		}
		term := e.term + 1
		record := records.Leader{Node: c.cfg.Name, Zone: c.cfg.Zone, Term: term, Boot: c.bootID}
		c.storeTxn(&protocol.Txn{
			Conditions: []protocol.Condition{{Key: records.KeyLeader}, {Key: records.KeyTerm, Version: e.termVersion}},
			Ops: []protocol.Op{
				{Put: records.KeyLeader, Value: records.Encode(record), Lease: lease},
				{Put: records.KeyTerm, Value: records.Encode(records.Term{Term: term})},
			},
		}, func(r txnResult, revision uint64, _ []string) {
			if r == txnApplied {
				e.campaigning = false
				e.leader, e.leaderVersion, e.leaderLease = record, revision, lease
				e.term, e.termVersion = term, revision
				c.noteLeaderChange()
				c.becomeLeader(term, revision, lease, ttl, sent.Add(ttl-clockDrift(ttl)))
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
	c.store("POST", protocol.RenewLeaseTarget(l.lease.id), nil, ttl/2, func(o Outcome) {
		if !l.alive() {
			return
		}
		next := ttl * 3 / 10
		switch {
		case o.Answered && o.Status == 200:
			l.lease.validUntil = sent.Add(ttl - clockDrift(ttl))
			l.fenced = false
		case o.Answered && o.Status == 404:
			c.stepDown("leader lease expired")
			return
		default:
			next = 200 * time.Millisecond
		}
		c.after(next, l.renew)
	})
	if !l.holdsLease() && !l.fenced && !l.jobsKnownAt.IsZero() {
		// It answers no worker any more, but keeps what it knows: in an outage
		// the lease stands still, and once it is renewed after all, nobody
		// else can have led meanwhile.
		l.fenced = true
		c.log.Warn("fenced until leader lease is renewed", "term", l.term)
	}
}

// stepDown gives up the leadership and all that was kept in memory for it.
func (c *Controller) stepDown(reason string) {
	l := c.leader
	if l == nil {
		return
	}
	c.log.Warn("stepping down", "term", l.term, "reason", reason)
	if c.now.Sub(c.overloadedAt) < overloadLossCause && !c.overloadedAt.IsZero() && l.phase == phaseActive {
		c.election.lostOverloadedAt = c.now
	}
	l.ended = true
	c.leader = nil
	c.startElection()
}

// resign steps down by choice, so that another node can lead at once.
func (c *Controller) resign(reason string, pause time.Duration) {
	l := c.leader
	c.election.notBefore = c.now.Add(pause)
	c.store("DELETE", protocol.LeaseTarget(l.lease.id), nil, storeTimeout, func(Outcome) {})
	c.stepDown(reason)
}

// otherLeader is where workers are sent; empty when unknown.
func (c *Controller) otherLeader() string {
	if c.election.leaderVersion == 0 || c.election.leader.Node == c.cfg.Name {
		return ""
	}
	return c.election.leader.Node
}
