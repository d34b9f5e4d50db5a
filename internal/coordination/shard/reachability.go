package shard

import "time"

// reachFailure identifies a member that lost contact with most of its workers while it owned
// machines of a zone.
type reachFailure struct {
	member Member
	zone   string
}

// reachFailures are the latest times at which members were out of contact with most of their workers,
// by zone. With them a shard can move at once to a member that hasn't recently failed in its zone,
// but not back to one that has: if no controller reaches the machines, the shard doesn't move around
// endlessly. An earlier version instead had a minimum time of a minute between moves of a shard, so
// that an owner that lost contact with its workers soon after it got shards kept them until the
// workers' leases ended.
type reachFailures map[reachFailure]time.Time

// recent reports whether a member lost contact with its workers in a zone within reachFailureTTL.
func (f reachFailures) recent(now time.Time, m Member, zone string) bool {
	at, ok := f[reachFailure{m, zone}]
	return ok && now.Sub(at) < reachFailureTTL
}

// recordPartitioned records the members that don't reach their workers now, and drops old records.
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

// canTake reports whether a controller may get a shard that is to move away from its owner: it is
// another one, it hasn't recently lost contact with workers of the shard's zone, and it is healthy.
// Only a shard of a partitioned owner may also move to a controller without contact to the leader, if
// the state service shows that it reaches its workers: if controllers can't reach each other, the
// leader's own controller may be the partitioned one.
func (p *Planner) canTake(now time.Time, c *Controller, s *Shard, why Reason) bool {
	if c.Member == s.Owner || p.reachFailures.recent(now, c.Member, s.Zone) {
		return false
	}
	return c.Healthy || why == ReasonPartitioned && c.Reachability == WorkersReachable
}

// HasAlternative reports whether a controller other than the current owner may reach the workers of
// a zone, as far as known.
func (p *Planner) HasAlternative(now time.Time, controllers []Controller, owner Member, zone string) bool {
	s := Shard{Owner: owner, Zone: zone}
	for i := range controllers {
		if c := &controllers[i]; !c.Draining && p.canTake(now, c, &s, ReasonPartitioned) {
			return true
		}
	}
	return false
}

// ownerStillServes reports whether a shard with machines would move away only because its owner and
// the leader are out of contact, while the state service shows that the owner reaches its workers.
func (v *view) ownerStillServes(s *Shard, why Reason) bool {
	return why == ReasonUnresponsive && s.Machines > 0 && v.controller(s.Owner).Reachability == WorkersReachable
}

// hasCapacity reports whether a controller has the processor capacity for a shard of an unresponsive
// owner that reaches its workers: lost contact between controllers is no reason to move the whole
// fleet to one of them. For other shards the capacity isn't checked.
func (v *view) hasCapacity(c *Controller, s *Shard, why Reason) bool {
	return !v.ownerStillServes(s, why) || v.projectedCPUShare(c, s) <= maxTakeoverCPUShare
}

// keepsShard reports whether an unresponsive owner that reaches its workers keeps a shard: only its
// last shard with machines, and only until the leader has received no message from it for
// lastShardKeepTime, since no results that its workers report during that time are recorded.
func (v *view) keepsShard(s *Shard, why Reason) bool {
	return v.ownerStillServes(s, why) && v.countStaying(s.Owner) <= 1 && v.controller(s.Owner).SinceLastMessage <= lastShardKeepTime
}

// countStaying counts a member's shards with machines that aren't moving away.
func (v *view) countStaying(m Member) int {
	count := 0
	for i := range v.shards {
		if s := &v.shards[i]; !s.Unowned && !s.Moving && s.Owner == m && s.Machines > 0 {
			count++
		}
	}
	return count
}

// projectedCPUShare estimates which part of its processor share a controller would use with another
// shard. If its load isn't known, the estimate is the part of the fleet that it would serve.
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

// Reachability is whether a controller reaches the workers of its shards, as far as known.
type Reachability uint8

// Values of Reachability.
const (
	// ReachabilityUnknown: there is no evidence of either.
	ReachabilityUnknown Reachability = iota
	// WorkersReachable: its member record recently showed that it isn't partitioned from its
	// workers, although it receives no messages from the leader.
	WorkersReachable
	// WorkersUnreachable: it doesn't reach most of them.
	WorkersUnreachable
)

// ReachabilityInterval is how often an owner that receives no messages from a leader writes its
// reachability into its member record. It costs one write each time, and none in normal operation.
const ReachabilityInterval = 3 * time.Second

// reachabilityValidity is how long the leader relies on a written report. It covers one missing
// report.
const reachabilityValidity = 2 * ReachabilityInterval

// ReachabilityTracker follows the reachability reports in a member's record. The zero value has seen
// no record.
type ReachabilityTracker struct {
	report      ReachabilityReport
	initialized bool      // a record was processed before
	reportedAt  time.Time // when the report was first seen; zero if it may be old
}

// Update processes a member's record.
func (s *ReachabilityTracker) Update(now time.Time, m MemberRecord) {
	if m.Reachability != nil && m.Reachability.Sequence != s.report.Sequence {
		// The report in the first record may be old.
		if s.initialized {
			s.reportedAt = now
		}
		s.report = *m.Reachability
	}
	s.initialized = true
}

// At returns the member's reachability at a time.
func (s *ReachabilityTracker) At(now time.Time) Reachability {
	switch {
	case s.reportedAt.IsZero() || now.Sub(s.reportedAt) > reachabilityValidity:
		return ReachabilityUnknown
	case Partitioned(s.report.Workers, s.report.Unreachable):
		return WorkersUnreachable
	}
	return WorkersReachable
}
