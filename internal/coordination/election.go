package coordination

import (
	"encoding/json"
	"time"

	"brasskeel/internal/bookkeeping"
	"brasskeel/internal/protocol"
)

// election follows who leads, and stands when nobody does.
type election struct {
	leader        bookkeeping.Leader
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

func (n *Node) startElection() {
	e := &n.election
	e.generation++
	generation := e.generation
	alive := func() bool { return n.election.generation == generation }
	n.storeList(bookkeeping.PrefixElection, alive, func(items []protocol.Item, revision uint64, _ time.Time) {
		e.leaderVersion, e.leader, e.leaderLease = 0, bookkeeping.Leader{}, 0
		e.termVersion, e.term, e.sharded = 0, 0, false
		for _, it := range items {
			n.electionKey(it.Key, it.Value, it.Version)
			if it.Key == bookkeeping.KeyLeader {
				e.leaderLease = it.Lease
			}
		}
		e.loaded = true
		n.electionChanged()
		n.watchElection(revision, generation)
	})
}

func (n *Node) electionKey(key string, value json.RawMessage, version uint64) {
	e := &n.election
	switch key {
	case bookkeeping.KeyLeader:
		var l bookkeeping.Leader
		if json.Unmarshal(value, &l) == nil {
			if l.Term > e.leader.Term {
				n.noteChange()
			}
			e.leader, e.leaderVersion, e.leaderLease = l, version, 0
		}
	case bookkeeping.KeyTerm:
		var t bookkeeping.Term
		if json.Unmarshal(value, &t) == nil {
			e.term, e.termVersion = t.Term, version
		}
	case bookkeeping.KeySharded:
		e.sharded = true
	case bookkeeping.KeyPrefer:
		var p bookkeeping.Prefer
		if json.Unmarshal(value, &p) == nil {
			e.prefer = p.Zone
		}
	}
}

func (n *Node) electionKeyGone(key string) {
	switch key {
	case bookkeeping.KeyLeader:
		n.election.leaderVersion, n.election.leader = 0, bookkeeping.Leader{}
	case bookkeeping.KeySharded:
		n.election.sharded = false
	}
}

func (n *Node) watchElection(after uint64, generation int) {
	n.storeWatch(bookkeeping.PrefixElection, after, watchWait, func(o Outcome) {
		if n.election.generation != generation {
			return
		}
		if o.Answered && o.Status == 200 {
			if events, revision, err := protocol.ParseEvents(o.Body); err == nil {
				for _, ev := range events {
					if ev.Deleted {
						n.electionKeyGone(ev.Key)
						continue
					}
					n.electionKey(ev.Key, ev.Value, ev.Version)
				}
				if len(events) > 0 {
					n.electionChanged()
				}
				n.watchElection(max(after, revision), generation)
				return
			}
		}
		if o.Answered && o.Status == 410 {
			n.startElection()
			return
		}
		n.after(200*time.Millisecond+n.jitter(100*time.Millisecond), func() {
			if n.election.generation == generation {
				n.startElection()
			}
		})
	})
}

// electionChanged acts on what is now known of the leadership.
func (n *Node) electionChanged() {
	e := &n.election
	if n.lead != nil && e.leaderVersion != n.lead.version && e.leaderVersion > n.lead.version {
		n.stepDown("another leader was elected")
	}
	n.releaseHeld()
	if n.lead != nil {
		return
	}
	if e.leaderVersion == 0 {
		n.planCampaign()
		return
	}
	if e.leader.Node == n.cfg.Name && e.leader.Boot != n.boot && e.leaderLease != 0 {
		// This node's earlier process led. It is gone for good and all its
		// late writes are conditional on the key that goes with this lease.
		n.log.Info("ending the lease of this node's earlier process", "term", e.leader.Term)
		n.store("DELETE", protocol.LeaseTarget(e.leaderLease), nil, storeTimeout, func(Outcome) {})
	}
}

// planCampaign stands for election after a short random wait, longer where
// another zone is the better place for a leader.
func (n *Node) planCampaign() {
	e := &n.election
	if e.standing || e.planned != nil || !e.loaded {
		return
	}
	wait := n.jitter(60 * time.Millisecond)
	if e.prefer != "" && e.prefer != n.cfg.Zone {
		wait += 700 * time.Millisecond
	}
	if n.unfit() {
		wait += unfitWait // others first
	}
	if d := e.notBefore.Sub(n.now); d > wait {
		wait = d
	}
	e.planned = n.after(wait, func() {
		e.planned = nil
		if e.leaderVersion == 0 && n.lead == nil && !e.standing {
			n.stand()
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

func (n *Node) unfit() bool { return n.now.Before(n.election.unfitUntil) }

// resignUnfit hands over because of the machines that this node doesn't reach, unless all
// others did so lately: then it makes no difference who leads. One that did so itself
// does it again only for another that is known to be fit.
func (n *Node) resignUnfit(why string) bool {
	fit, unfit := 0, 0
	for _, p := range n.peers {
		switch {
		case n.now.Sub(p.at) >= 3*time.Second:
		case p.unfit:
			unfit++
		case p.storeOK:
			fit++
		}
	}
	if unfit == len(n.cfg.Peers) || n.unfit() && fit == 0 {
		return false
	}
	n.election.unfitUntil = n.now.Add(unfitTime)
	n.publish()
	n.resign(why, 3*time.Second)
	return true
}

// changesCount is how long a change of leaders counts for the next one's lease.
const changesCount = 15 * time.Second

// noteChange remembers that somebody became leader.
func (n *Node) noteChange() {
	e := &n.election
	e.changes = append(e.changes, n.now)
	for len(e.changes) > 0 && (len(e.changes) > 4 || n.now.Sub(e.changes[0]) > changesCount) {
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
func (n *Node) leaseTime() time.Duration {
	recent := 0
	if n.now.Sub(n.election.lostLate) < lostCounts && !n.election.lostLate.IsZero() {
		return 4 * n.op.LeaderLease()
	}
	if len(n.cfg.Peers) > 0 && len(n.peers) > 0 && !n.hearsPeer() {
		recent = 1
	}
	for _, at := range n.election.changes {
		if n.now.Sub(at) <= changesCount {
			recent++
		}
	}
	switch {
	case recent == 0:
		return n.op.LeaderLease()
	case recent < 3:
		return 2 * n.op.LeaderLease()
	}
	return 4 * n.op.LeaderLease()
}

// stand tries to become leader: a lease, then one transaction that creates the
// leader key bound to it and raises the term. Two candidates can't both
// succeed, and a transaction that arrives late finds another term.
func (n *Node) stand() {
	e := &n.election
	e.standing = true
	ttl := n.leaseTime()
	sent := n.now
	retry := func() {
		e.standing = false
		n.after(150*time.Millisecond+n.jitter(150*time.Millisecond), func() {
			if n.lead == nil {
				n.startElection()
			}
		})
	}
	n.store("POST", protocol.PathLeases, protocol.LeaseBody(ttl), storeTimeout, func(o Outcome) {
		lease, err := uint64(0), error(nil)
		if o.Answered && o.Status == 200 {
			lease, err = protocol.ParseLease(o.Body)
		}
		if lease == 0 || err != nil {
			retry()
			return
		}
		term := e.term + 1
		record := bookkeeping.Leader{Node: n.cfg.Name, Zone: n.cfg.Zone, Term: term, Boot: n.boot}
		n.storeTxn(&protocol.Txn{
			If: []protocol.Condition{{Key: bookkeeping.KeyLeader}, {Key: bookkeeping.KeyTerm, Version: e.termVersion}},
			Then: []protocol.Op{
				{Put: bookkeeping.KeyLeader, Value: bookkeeping.Encode(record), Lease: lease},
				{Put: bookkeeping.KeyTerm, Value: bookkeeping.Encode(bookkeeping.Term{Term: term})},
			},
		}, func(r txnResult, revision uint64, _ []string) {
			if r == txnApplied {
				e.standing = false
				e.leader, e.leaderVersion, e.leaderLease = record, revision, lease
				e.term, e.termVersion = term, revision
				n.noteChange()
				n.becomeLeader(term, revision, lease, ttl, sent.Add(ttl-drift(ttl)))
				return
			}
			// Ending the lease also ends what the transaction may have created,
			// or may yet create: a write with an expired lease is refused.
			n.store("DELETE", protocol.LeaseTarget(lease), nil, storeTimeout, func(Outcome) {})
			retry()
		})
	})
}

// renew keeps the leader's lease; it is never delayed by a budget.
func (l *lead) renew() {
	n := l.n
	if !l.alive() {
		return
	}
	ttl := l.right.ttl
	sent := n.now
	n.store("POST", protocol.TouchTarget(l.right.lease), nil, ttl/2, func(o Outcome) {
		if !l.alive() {
			return
		}
		next := ttl * 3 / 10
		switch {
		case o.Answered && o.Status == 200:
			l.right.validUntil = sent.Add(ttl - drift(ttl))
			l.muted = false
		case o.Answered && o.Status == 404:
			n.stepDown("the leader lease ended")
			return
		default:
			next = 200 * time.Millisecond
		}
		n.after(next, l.renew)
	})
	if !l.entitled() && !l.muted && !l.known.IsZero() {
		// It answers no worker any more, but keeps what it knows: in an outage
		// the lease stands still, and once it is renewed after all, nobody
		// else can have led meanwhile.
		l.muted = true
		n.log.Warn("answering no worker until the leader lease is renewed", "term", l.term)
	}
}

// stepDown gives up the leadership and all that was kept in memory for it.
func (n *Node) stepDown(why string) {
	l := n.lead
	if l == nil {
		return
	}
	n.log.Warn("stepping down", "term", l.term, "why", why)
	if n.now.Sub(n.lateAt) < lateCounts && !n.lateAt.IsZero() && l.phase == active {
		n.election.lostLate = n.now
	}
	l.ended = true
	n.lead = nil
	n.startElection()
}

// resign steps down by choice, so that another node can lead at once.
func (n *Node) resign(why string, pause time.Duration) {
	l := n.lead
	n.election.notBefore = n.now.Add(pause)
	n.store("DELETE", protocol.LeaseTarget(l.right.lease), nil, storeTimeout, func(Outcome) {})
	n.stepDown(why)
}

// leaderName is where workers are sent; empty when unknown.
func (n *Node) leaderName() string {
	if n.election.leaderVersion == 0 || n.election.leader.Node == n.cfg.Name {
		return ""
	}
	return n.election.leader.Node
}
