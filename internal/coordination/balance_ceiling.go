package coordination

import (
	"time"

	"brasskeel/internal/coordination/balance"
	"brasskeel/internal/protocol"
)

const (
	// ceilingWait is how long a job waits at the most for a machine that stays below its
	// team's ceiling, far from the time that any may wait beside room.
	ceilingWait = 15 * time.Second
	// ceilingPart is the part of the time that users give a job's class, as a divisor,
	// that is waited at the most.
	ceilingPart = 4
)

// judge says how machines are judged for a job's tasks; nil where its team has no surge, or
// where its work never waits for a ceiling.
func (b *balancer) judge(j *job) *balance.Judge {
	if b.surge(j) == 0 || j.Priority == protocol.Critical || j.within || j.Kind == protocol.Gang {
		return nil
	}
	return &balance.Judge{Settings: b.settings, Now: b.l.controller.now, Team: b.teams[j.Team].id, Task: j.wants()}
}

// apply lets a judge change what ranks a machine.
func (b *balancer) apply(g *balance.Judge, m *machine, k *candidate) {
	k.Above = g.Above(&m.Machine, m.load)
	k.Score -= g.Penalty(&m.Machine, m.load, b.l.controller.op.ImageWeight)
}

// yields reports whether a job's tasks may go above the ceiling, as nothing else will do in
// time.
func (b *balancer) yields(j *job) bool {
	c, surge := b.l.controller, b.surge(j)
	if j.yieldedIn == surge {
		return true
	}
	if j.heldIn != surge {
		j.heldIn, j.heldSince, j.heldAsked = surge, c.now, false
	}
	most := b.patience(j)
	until := j.heldSince.Add(most)
	if c.now.Before(until) && b.comesInTime(j, until) {
		if !j.heldAsked {
			j.heldAsked = true
			c.after(until.Sub(c.now)+time.Millisecond, b.l.askPlaceAlive)
		}
		return false
	}
	j.yieldedIn = surge
	c.bounds.hit(boundCeiling)
	c.log.Debug("placing above the ceiling", "job", j.ID, "team", j.Team, "tasks", j.toStart(), "after", c.now.Sub(j.heldSince))
	return true
}

// roomAbove is how many more tasks of a job the machines that are left would take.
func (l *leader) roomAbove(c *candidates, j *job) int {
	count := 0
	for k := range c.All {
		m := l.roomy[k.Machine]
		if j.zoneAllows(m.Zone) {
			count += m.RoomFor(j.Job)
		}
	}
	return count
}

// holds reports whether a job's tasks wait for a machine below the ceiling.
func (b *balancer) holds(j *job) bool {
	surge := b.surge(j)
	return surge != 0 && j.heldIn == surge && j.yieldedIn != surge && b.judge(j) != nil
}

// patience is how long a job may be held: a part of the shortest time that its users give it.
func (b *balancer) patience(j *job) time.Duration {
	least := ceilingWait * ceilingPart
	if j.HasDeadline {
		least = min(least, max(0, j.Deadline-j.Estimate))
	}
	for i := range b.l.controller.cfg.Objectives {
		o := &b.l.controller.cfg.Objectives[i]
		if (o.Kind == "wait" || o.Kind == "finished") && o.Class == j.Class && o.Within > 0 {
			least = min(least, o.Within)
		}
	}
	return least / ceilingPart
}

// comesInTime reports whether a machine that boots, and that a job may use, is likely to be up
// by a time.
func (b *balancer) comesInTime(j *job, until time.Time) bool {
	l := b.l
	if b.boots == nil {
		b.boots = l.likelyUp()
	}
	for kind, up := range b.boots {
		t := l.controller.types[kind.typ]
		if t != nil && !up.After(until) && (offer{t, kind.zone, kind.spot}).allows(j.Job) && j.zoneAllows(kind.zone) {
			return true
		}
	}
	return false
}

// likelyUp is when the first of the machines of a kind that boot is likely to be up. Those
// that are late count for nothing.
func (l *leader) likelyUp() map[offerKey]time.Time {
	list := map[offerKey]time.Time{}
	for _, m := range l.fleetList {
		if !l.booting(m) || l.bootOverdue(m) {
			continue
		}
		key, up := offerKey{m.Type, m.Zone, m.Spot}, m.provisionedAt.Add(m.Spec.Boot)
		if first, ok := list[key]; !ok || up.Before(first) {
			list[key] = up
		}
	}
	return list
}
