package coordination

import (
	"time"

	"brasskeel/internal/coordination/autoscaler"
	"brasskeel/internal/coordination/balance"
	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// While a team surges, its tasks are placed so that they use no more of a machine than a share, the
// ceiling (balance.Settings.CeilingShare). If no machine below the ceiling has capacity, a job waits
// for one that is booting, but only for a limited time.
const (
	// maxCeilingWait is the longest time that a job waits for a machine below its team's
	// ceiling. It is much shorter than the time for which the simulator lets a job wait
	// although there is free capacity (maxWaitDespiteCapacity).
	maxCeilingWait = 15 * time.Second
	// ceilingWaitDivisor bounds the wait to a quarter of the time that the job's deadline or an
	// objective of its class leaves (ceilingWaitLimit).
	ceilingWaitDivisor = 4
)

// ceilingPolicy returns the surge ceiling policy for a job's tasks. It is nil if the job's team
// has no surge, or if the job is exempt from the ceiling: critical jobs, jobs within their team's
// quota, and gangs.
func (b *rebalancer) ceilingPolicy(j *job) *balance.CeilingPolicy {
	if b.surgeOf(j) == 0 || j.Priority == protocol.Critical || j.withinQuota() || j.Kind == protocol.Gang {
		return nil
	}
	return &balance.CeilingPolicy{Settings: b.settings, Now: b.leader.controller.now, Team: b.teams[j.Team].id, Task: j.placementTask()}
}

// applyCeilingPolicy adjusts the rank of a candidate machine by a ceiling policy.
func (b *rebalancer) applyCeilingPolicy(policy *balance.CeilingPolicy, m *machine, k *placement.Candidate) {
	k.AboveCeiling = policy.Exceeds(&m.Machine, m.load)
	k.Score -= policy.Penalty(&m.Machine, m.load, b.leader.controller.operator.ImageCacheWeight)
}

// ceilingState is the state of a job with respect to the ceiling of its team's surge.
type ceilingState uint8

// A job changes from ceilingNotReached to ceilingWaiting when a task would put every machine with
// capacity above the ceiling, and to ceilingExceeded when its wait is over or no other machine is
// expected to boot in time. In another surge the job waits again.
const (
	ceilingNotReached ceilingState = iota
	ceilingWaiting
	ceilingExceeded
)

// ceilingWait is a job's wait for machines below the ceiling.
type ceilingWait struct {
	surge    uint64 // number of the surge that the other fields belong to; 0: none yet
	state    ceilingState
	since    time.Time // when the wait began
	timerSet bool      // a timer is set for the end of the wait
}

// mayExceedCeiling reports whether a job's tasks may be placed above the ceiling: its wait is over, or
// no machine that it may use is expected to boot before the wait ends. The first call in a surge
// begins the wait. The job's team must be in a surge.
func (b *rebalancer) mayExceedCeiling(j *job) bool {
	c, wait, surge := b.leader.controller, &j.ceiling, b.surgeOf(j)
	if wait.surge != surge {
		*wait = ceilingWait{surge: surge, state: ceilingWaiting, since: c.now}
	}
	if wait.state == ceilingExceeded {
		return true
	}
	until := wait.since.Add(b.ceilingWaitLimit(j))
	if c.now.Before(until) && b.bootsInTime(j, until) {
		if !wait.timerSet {
			wait.timerSet = true
			c.after(until.Sub(c.now)+time.Millisecond, b.leader.requestPlacementIfLeading)
		}
		return false
	}
	wait.state = ceilingExceeded
	c.limits.Reached(limits.SurgeCeiling)
	c.log.Debug("surge ceiling exceeded", "job", j.ID, "team", j.Team, "tasks", j.pendingTasks(), "duration", c.now.Sub(wait.since))
	return true
}

// taskCapacityAboveCeiling returns how many more tasks of a job fit on the remaining candidates, on
// all of which one more task would exceed the ceiling.
func (l *leader) taskCapacityAboveCeiling(c *placement.Candidates, j *job) int {
	count := 0
	for k := range c.All {
		m := l.round.withRoom[k.Machine]
		if j.zoneAllowed(m.Zone) {
			count += m.TaskCapacity(j.Job)
		}
	}
	return count
}

// waitsForCeiling reports whether a job's tasks wait for a machine below the ceiling.
func (b *rebalancer) waitsForCeiling(j *job) bool {
	surge := b.surgeOf(j)
	return surge != 0 && j.ceiling.surge == surge && j.ceiling.state == ceilingWaiting && b.ceilingPolicy(j) != nil
}

// ceilingWaitLimit returns how long a job waits for a machine below the ceiling: a fraction of the
// shortest time that its deadline and the objectives of its class leave, at most maxCeilingWait.
func (b *rebalancer) ceilingWaitLimit(j *job) time.Duration {
	shortest := maxCeilingWait * ceilingWaitDivisor
	if j.HasDeadline {
		shortest = min(shortest, max(0, j.Deadline-j.EstimatedRuntime))
	}
	for i := range b.leader.controller.cfg.Objectives {
		o := &b.leader.controller.cfg.Objectives[i]
		if (o.Kind == "wait" || o.Kind == "finished") && o.Class == j.Class && o.Within > 0 {
			shortest = min(shortest, o.Within)
		}
	}
	return shortest / ceilingWaitDivisor
}

// bootsInTime reports whether a machine that is booting, and that a job may use, is expected to be
// up by the given time.
func (b *rebalancer) bootsInTime(j *job, until time.Time) bool {
	l := b.leader
	if b.expectedBoots == nil {
		b.expectedBoots = l.expectedBootTimes()
	}
	for kind, up := range b.expectedBoots {
		t := l.controller.types[kind.Type]
		if t != nil && !up.After(until) && (autoscaler.Offer{Spec: t, Zone: kind.Zone, Spot: kind.Spot}).Allows(j.Job) && j.zoneAllowed(kind.Zone) {
			return true
		}
	}
	return false
}

// expectedBootTimes returns, for each machine type, zone and kind of instance (spot or on-demand),
// when the first booting machine is expected to be up. Machines whose boot is overdue are ignored.
func (l *leader) expectedBootTimes() map[autoscaler.OfferKey]time.Time {
	times := map[autoscaler.OfferKey]time.Time{}
	for _, m := range l.fleetList {
		if !l.booting(m) || l.bootOverdue(m) {
			continue
		}
		key, up := autoscaler.OfferKey{Type: m.Type, Zone: m.Zone, Spot: m.Spot}, m.provisionedAt.Add(m.Spec.BootTime)
		if first, ok := times[key]; !ok || up.Before(first) {
			times[key] = up
		}
	}
	return times
}
