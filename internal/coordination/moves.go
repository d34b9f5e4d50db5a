package coordination

import (
	"brasskeel/internal/coordination/balance"
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// movesAtOnce is the part of the fleet whose replicas are moved in one turn, as a
// divisor.
const movesAtOnce = 30

// consolidate moves the replicas of little used machines to others that hold
// their images, where all of them find room, so that these can be returned.
// Services stay for long, and what they were spread over when the cluster was
// busy would stay with them. A move takes a moment: the image is there.
func (l *leader) consolidate() {
	c := l.controller
	if len(l.fleet.unmet) > 0 || l.fleet.partly || c.storeDown() || c.now.Sub(l.fleet.movedAt) < movePause {
		return
	}
	fixedRoom := 0.0
	var candidates []*machine
	for _, m := range l.fleetList {
		if !l.open(m) {
			continue
		}
		if !m.Emptying {
			fixedRoom += l.fixedRoom(m)
		}
		if m.onlyServices() && (m.Emptying || m.Taken.CPUs <= m.Spec.CPUs/2+protocol.Epsilon) && c.now.Sub(m.rented) > 2*minimumCharge {
			candidates = append(candidates, m)
		}
	}
	dearestFirst(candidates)
	left := max(1, len(l.fleetList)/movesAtOnce)
	plan := &lazyPlanner{l: l}
	for _, m := range candidates {
		if left == 0 {
			return
		}
		if plan.get().Snapshot().Taken(m.Name) != (placement.Resources{}) {
			continue // replicas are to move here
		}
		if room := l.fixedRoom(m); !m.Emptying && room > 0 && fixedRoom-m.Spec.CPUs < l.fixedNeed() {
			continue
		}
		if !m.emptied(plan.get(), false) {
			continue
		}
		c.logEach("moving replicas", "machine", m.Name, "attempts", len(m.attempts))
		if !m.Emptying {
			fixedRoom -= l.fixedRoom(m)
		}
		l.fleet.movedAt = c.now
		m.Emptying = true
		left--
		for _, a := range m.sorted() {
			l.stopAttempt(a, 0)
		}
	}
}

// newPlanner is a planner for the fleet as it is now.
func (l *leader) newPlanner() *balance.Planner {
	sites := make([]balance.Site, len(l.fleetList))
	for i, m := range l.fleetList {
		sites[i] = balance.Site{Machine: &m.Machine, Load: m.load}
	}
	return balance.NewPlanner(sites, func(m *placement.Machine) bool { return l.open(l.machines[m.Name]) })
}

// replicasOf are the replicas on a machine, in a fixed order; false if one of them doesn't run
// or has to wait for others of its service.
func (m *machine) replicasOf() (list []balance.Replica, settled bool) {
	for _, a := range m.sorted() {
		j := a.job
		if j.Kind != protocol.Service {
			continue
		}
		if a.state != protocol.Running || a.stop || j.toStart() > 0 {
			return nil, false
		}
		list = append(list, balance.Replica{Task: j.wants(), Shape: shapeOf(j)})
	}
	return list, true
}

// emptied reports whether a machine's replicas find room elsewhere, and takes it unless this
// is but a try.
func (m *machine) emptied(p *balance.Planner, try bool) bool {
	replicas, settled := m.replicasOf()
	return settled && p.Empty(&m.Machine, replicas, try)
}

// lazyPlanner makes a planner on first use: most looks at the fleet need none.
type lazyPlanner struct {
	l *leader
	p *balance.Planner
}

func (z *lazyPlanner) get() *balance.Planner {
	if z.p == nil {
		z.p = z.l.newPlanner()
	}
	return z.p
}
