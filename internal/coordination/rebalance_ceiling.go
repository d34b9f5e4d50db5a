package coordination

import (
	"time"

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

// ceilingPolicy says how machines are judged for a job's tasks; nil where its team has no surge, or
// where its work never waits for a ceiling.
func (b *rebalancer) ceilingPolicy(j *job) *balance.CeilingPolicy {
	if b.surgeOf(j) == 0 || j.Priority == protocol.Critical || j.withinQuota || j.Kind == protocol.Gang {
		return nil
	}
	return &balance.CeilingPolicy{Settings: b.settings, Now: b.l.controller.now, Team: b.teams[j.Team].id, Task: j.placementTask()}
}

// applyPolicy lets a judge change what ranks a machine.
func (b *rebalancer) applyPolicy(g *balance.CeilingPolicy, m *machine, k *placement.Candidate) {
	k.AboveCeiling = g.Exceeds(&m.Machine, m.load)
	k.Score -= g.Penalty(&m.Machine, m.load, b.l.controller.op.ImageWeight)
}

// mayExceedCeiling reports whether a job's tasks may go above the ceiling, as nothing else will do in
// time.
func (b *rebalancer) mayExceedCeiling(j *job) bool {
	c, surge := b.l.controller, b.surgeOf(j)
	if j.exceededSurge == surge {
		return true
	}
	if j.heldSurge != surge {
		j.heldSurge, j.heldSince, j.heldTimerSet = surge, c.now, false
	}
	most := b.ceilingWait(j)
	until := j.heldSince.Add(most)
	if c.now.Before(until) && b.bootsInTime(j, until) {
		if !j.heldTimerSet {
			j.heldTimerSet = true
			c.after(until.Sub(c.now)+time.Millisecond, b.l.requestPlacementIfLeading)
		}
		return false
	}
	j.exceededSurge = surge
	c.limits.Reached(limits.SurgeCeiling)
	c.log.Debug("surge ceiling exceeded", "job", j.ID, "team", j.Team, "tasks", j.pendingTasks(), "duration", c.now.Sub(j.heldSince))
	return true
}

// roomAboveCeiling is how many more tasks of a job the machines that are left would take.
func (l *leader) roomAboveCeiling(c *placement.Candidates, j *job) int {
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
	return surge != 0 && j.heldSurge == surge && j.exceededSurge != surge && b.ceilingPolicy(j) != nil
}

// ceilingWait is how long a job may be held: a part of the shortest time that its users give it.
func (b *rebalancer) ceilingWait(j *job) time.Duration {
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
	if b.likelyBoots == nil {
		b.likelyBoots = l.likelyBootTimes()
	}
	for kind, up := range b.likelyBoots {
		t := l.controller.types[kind.typ]
		if t != nil && !up.After(until) && (offer{t, kind.zone, kind.spot}).allows(j.Job) && j.zoneAllowed(kind.zone) {
			return true
		}
	}
	return false
}

// likelyBootTimes is when the first of the machines of a kind that boot is likely to be up. Those
// that are late count for nothing.
func (l *leader) likelyBootTimes() map[offerKey]time.Time {
	list := map[offerKey]time.Time{}
	for _, m := range l.fleetList {
		if !l.booting(m) || l.bootOverdue(m) {
			continue
		}
		key, up := offerKey{m.Type, m.Zone, m.Spot}, m.provisionedAt.Add(m.Spec.BootTime)
		if first, ok := list[key]; !ok || up.Before(first) {
			list[key] = up
		}
	}
	return list
}
