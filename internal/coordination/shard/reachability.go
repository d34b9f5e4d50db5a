package shard

import "time"

// reachFailure is a member that lost most of its workers while it served machines of a zone.
type reachFailure struct {
	member Member
	zone   string
}

// reachFailures remembers when members last lost their workers, by zone. By time alone a shard
// rested for a minute wherever it was: an owner that had just been given shards kept them
// when it lost its workers, until their leases ended. By this a shard goes to everybody who
// hasn't lately failed with its zone, and to nobody twice in a row: where no controller
// reaches the machines, it isn't passed round.
type reachFailures map[reachFailure]time.Time

// recent reports whether a member lost the workers of a zone not long ago.
func (f reachFailures) recent(now time.Time, m Member, zone string) bool {
	at, ok := f[reachFailure{m, zone}]
	return ok && now.Sub(at) < reachFailureTTL
}

// recordPartitioned remembers who doesn't reach its workers now.
func (p *Planner) recordPartitioned(now time.Time, v *view) {
	for k, at := range p.reachFailures {
		if now.Sub(at) >= reachFailureTTL {
			delete(p.reachFailures, k)
		}
	}
	for i := range v.shards {
		s := &v.shards[i]
		if c := v.controller(s.Owner); !s.Unowned && c != nil && c.Reachability == WorkersUnreachable && s.Machines > 0 {
			p.reachFailures[reachFailure{c.Member, s.Zone}] = now
		}
	}
}

// canTake reports whether a controller may be given a shard that is to leave its owner. A
// partitioned owner's go to one that isn't heard, too, if the state service shows that it reaches
// its workers: where controllers can't talk to each other, the leader may be the partitioned one.
func (p *Planner) canTake(now time.Time, c *Controller, s *Shard, why Reason) bool {
	if c.Member == s.Owner || p.reachFailures.recent(now, c.Member, s.Zone) {
		return false
	}
	return c.Healthy || why == ReasonPartitioned && c.Reachability == WorkersReachable
}

// HasAlternative reports whether another controller than a zone's present owner may reach the
// zone's workers, for all that is known.
func (p *Planner) HasAlternative(now time.Time, controllers []Controller, owner Member, zone string) bool {
	s := Shard{Owner: owner, Zone: zone}
	for i := range controllers {
		if c := &controllers[i]; !c.Draining && p.canTake(now, c, &s, ReasonPartitioned) {
			return true
		}
	}
	return false
}

// servesUnresponsive reports whether a shard would leave its owner only because the leader doesn't
// hear it, while the state service shows that it reaches its workers.
func (v *view) servesUnresponsive(s *Shard, why Reason) bool {
	return why == ReasonUnresponsive && s.Machines > 0 && v.controller(s.Owner).Reachability == WorkersReachable
}

// hasCapacity reports whether a controller has the processor for a shard of an owner that serves
// unheard: silence between controllers is no reason to put a whole fleet on one of them.
func (v *view) hasCapacity(c *Controller, s *Shard, why Reason) bool {
	return !v.servesUnresponsive(s, why) || v.projectedCPUShare(c, s) <= maxTakeoverCPUShare
}

// keepsShard reports whether an owner that serves unheard keeps a shard. It isn't emptied,
// but for its last shard only for lastShardKeepTime: results that its workers report are recorded
// by nobody meanwhile.
func (v *view) keepsShard(s *Shard, why Reason) bool {
	return v.servesUnresponsive(s, why) && v.countStaying(s.Owner) <= 1 && v.controller(s.Owner).SinceLastMessage <= lastShardKeepTime
}

// countStaying counts a member's shards with machines that aren't about to leave it.
func (v *view) countStaying(m Member) int {
	count := 0
	for i := range v.shards {
		if s := &v.shards[i]; !s.Unowned && !s.Moving && s.Owner == m && s.Machines > 0 {
			count++
		}
	}
	return count
}

// projectedCPUShare is about which share of its processor a controller would use with a shard more.
// Where no load is known it is the part of the fleet that it would serve.
func (v *view) projectedCPUShare(c *Controller, s *Shard) float64 {
	machines := float64(v.machines[c.Member] + s.Machines)
	if c.Load.Machines > 0 && c.Load.CPUShare > 0 {
		return c.Load.CPUShare * machines / float64(c.Load.Machines)
	}
	all := 0
	for i := range v.shards {
		all += v.shards[i].Machines
	}
	return machines / float64(max(1, all))
}

// Reachability is what is known of whether a controller reaches the workers of its shards.
type Reachability uint8

// What may be known of it.
const (
	// ReachabilityUnknown: nothing speaks against it, nor does the state service show it.
	ReachabilityUnknown Reachability = iota
	// WorkersReachable: the state service lately showed that it reaches most of them, although
	// the leader doesn't hear it.
	WorkersReachable
	// WorkersUnreachable: it doesn't reach most of them.
	WorkersUnreachable
)

// ReachabilityInterval is how often an owner that hears no leader writes its reachability into
// its member record: one change each time, and none while the leader is heard.
const ReachabilityInterval = 3 * time.Second

// reachabilityValidity is for how long the leader takes what it wrote.
const reachabilityValidity = 2 * ReachabilityInterval

// ReachabilityTracker follows what a member's record shows. The zero value has seen none.
type ReachabilityTracker struct {
	report      ReachabilityReport
	initialized bool      // a record was looked at before
	reportedAt  time.Time // when the report was first seen; zero where it may be old
}

// Update takes a member's record.
func (s *ReachabilityTracker) Update(now time.Time, m MemberRecord) {
	if m.Reachability != nil && m.Reachability.Sequence != s.report.Sequence {
		// What stood there at first may be old.
		if s.initialized {
			s.reportedAt = now
		}
		s.report = *m.Reachability
	}
	s.initialized = true
}

// At is what is known at a time.
func (s *ReachabilityTracker) At(now time.Time) Reachability {
	switch {
	case s.reportedAt.IsZero() || now.Sub(s.reportedAt) > reachabilityValidity:
		return ReachabilityUnknown
	case Partitioned(s.report.Workers, s.report.Unreachable):
		return WorkersUnreachable
	}
	return WorkersReachable
}
