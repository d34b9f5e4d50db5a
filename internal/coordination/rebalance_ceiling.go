package coordination

import (
	"time"

	"brasskeel/internal/coordination/autoscaler"
	"brasskeel/internal/coordination/balance"
	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

const (
	// maxCeilingWait is how long a job waits at the most for a machine that stays below its
	// team's ceiling, far from the time that any may wait beside room.
	maxCeilingWait = 15 * time.Second
	// ceilingWaitDivisor is the part of the time that users give a job's class, as a divisor,
	// that is waited at the most.
	ceilingWaitDivisor = 4
)

// ceilingPolicy is the policy for a job's tasks; nil where its team has no surge, or where its
// work never waits for a ceiling.
func (b *rebalancer) ceilingPolicy(j *job) *balance.CeilingPolicy {
	if b.surgeOf(j) == 0 || j.Priority == protocol.Critical || j.withinQuota() || j.Kind == protocol.Gang {
		return nil
	}
	return &balance.CeilingPolicy{Settings: b.settings, Now: b.l.controller.now, Team: b.teams[j.Team].id, Task: j.placementTask()}
}

// applyCeilingPolicy lets a policy change what ranks a machine.
func (b *rebalancer) applyCeilingPolicy(policy *balance.CeilingPolicy, m *machine, k *placement.Candidate) {
	k.AboveCeiling = policy.Exceeds(&m.Machine, m.load)
	k.Score -= policy.Penalty(&m.Machine, m.load, b.l.controller.operator.ImageWeight)
}

// ceilingState is how a job's tasks stand to the ceiling of their team's surge.
type ceilingState uint8

// A job goes from ceilingNotReached to ceilingWaiting when only machines above the ceiling have
// room, and on to ceilingExceeded when nothing else will do in time. Another surge begins anew.
const (
	ceilingNotReached ceilingState = iota
	ceilingWaiting
	ceilingExceeded
)

// ceilingWait is a job's wait for machines below the ceiling.
type ceilingWait struct {
	surge    uint64 // to which the rest belongs; 0: none yet
	state    ceilingState
	since    time.Time // when it began to wait
	timerSet bool      // the end of the wait has a timer
}

// mayExceedCeiling reports whether a job's tasks may go above the ceiling, as nothing else will
// do in time. Its team must be in a surge.
func (b *rebalancer) mayExceedCeiling(j *job) bool {
	c, hold, surge := b.l.controller, &j.ceiling, b.surgeOf(j)
	if hold.surge != surge {
		*hold = ceilingWait{surge: surge, state: ceilingWaiting, since: c.now}
	}
	if hold.state == ceilingExceeded {
		return true
	}
	until := hold.since.Add(b.ceilingWaitLimit(j))
	if c.now.Before(until) && b.bootsInTime(j, until) {
		if !hold.timerSet {
			hold.timerSet = true
			c.after(until.Sub(c.now)+time.Millisecond, b.l.requestPlacementIfLeading)
		}
		return false
	}
	hold.state = ceilingExceeded
	c.limits.Reached(limits.SurgeCeiling)
	c.log.Debug("surge ceiling exceeded", "job", j.ID, "team", j.Team, "tasks", j.pendingTasks(), "duration", c.now.Sub(hold.since))
	return true
}

// taskCapacityAboveCeiling is how many more tasks of a job the machines that are left would take.
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

// ceilingWaitLimit is how long a job may be held: a part of the shortest time that its users give it.
func (b *rebalancer) ceilingWaitLimit(j *job) time.Duration {
	least := maxCeilingWait * ceilingWaitDivisor
	if j.HasDeadline {
		least = min(least, max(0, j.Deadline-j.EstimatedRuntime))
	}
	for i := range b.l.controller.cfg.Objectives {
		o := &b.l.controller.cfg.Objectives[i]
		if (o.Kind == "wait" || o.Kind == "finished") && o.Class == j.Class && o.Within > 0 {
			least = min(least, o.Within)
		}
	}
	return least / ceilingWaitDivisor
}

// bootsInTime reports whether a machine that boots, and that a job may use, is likely to be up
// by a time.
func (b *rebalancer) bootsInTime(j *job, until time.Time) bool {
	l := b.l
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

// expectedBootTimes is when the first of the machines of a kind that boot is likely to be up. Those
// that are late count for nothing.
func (l *leader) expectedBootTimes() map[autoscaler.OfferKey]time.Time {
	list := map[autoscaler.OfferKey]time.Time{}
	for _, m := range l.fleetList {
		if !l.booting(m) || l.bootOverdue(m) {
			continue
		}
		key, up := autoscaler.OfferKey{Type: m.Type, Zone: m.Zone, Spot: m.Spot}, m.provisionedAt.Add(m.Spec.BootTime)
		if first, ok := list[key]; !ok || up.Before(first) {
			list[key] = up
		}
	}
	return list
}
