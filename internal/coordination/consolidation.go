package coordination

import (
	"brasskeel/internal/coordination/balance"
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// consolidationDivisor is the part of the fleet whose replicas are moved in one turn, as a
// divisor.
const consolidationDivisor = 30

// consolidate moves the replicas of little used machines to others that hold
// their images, where all of them find room, so that these can be returned.
// Services stay for long, and what they were spread over when the cluster was
// busy would stay with them. A move takes a moment: the image is there.
func (l *leader) consolidate() {
	c, f := l.controller, &l.autoscaler
	if len(f.unmetDemand) > 0 || f.demandIncomplete || c.store.Unavailable() || c.now.Sub(f.consolidatedAt) < consolidationInterval {
		return
	}
	candidates, onDemandRoom := l.consolidationCandidates()
	left := max(1, len(l.fleetList)/consolidationDivisor)
	planner := &lazyPlanner{leader: l}
	for _, m := range candidates {
		if left == 0 {
			return
		}
		if planner.get().PlannedUsage().Allocated(m.Name) != (placement.Resources{}) {
			continue // replicas are to move here
		}
		if room := l.onDemandCapacity(m); !m.Consolidating && room > 0 && onDemandRoom-m.Spec.CPUs < l.onDemandReserve() {
			continue
		}
		if !m.replicasFitElsewhere(planner.get(), false) {
			continue
		}
		if !m.Consolidating {
			onDemandRoom -= l.onDemandCapacity(m)
		}
		l.evictReplicas(m)
		left--
	}
}

// consolidationCandidates are the machines that hold only replicas and few of them, dearest
// first, and the room that work which may not use spot machines can have on all machines that
// aren't being consolidated, in CPUs.
func (l *leader) consolidationCandidates() (candidates []*machine, onDemandRoom float64) {
	for _, m := range l.fleetList {
		if !l.acceptsTasks(m) {
			continue
		}
		if !m.Consolidating {
			onDemandRoom += l.onDemandCapacity(m)
		}
		littleUsed := m.Consolidating || m.Allocated.CPUs <= m.Spec.CPUs/2+protocol.Epsilon
		if m.holdsOnlyReplicas() && littleUsed && l.controller.now.Sub(m.provisionedAt) > 2*minimumBilledTime {
			candidates = append(candidates, m)
		}
	}
	sortByPriceDescending(candidates)
	return candidates, onDemandRoom
}

// evictReplicas stops what runs on a machine that is being consolidated, to start elsewhere.
func (l *leader) evictReplicas(m *machine) {
	l.controller.logSampled("replicas evicted for consolidation", "machine", m.Name, "attempts", len(m.attempts))
	l.autoscaler.consolidatedAt = l.controller.now
	m.Consolidating = true
	for _, a := range m.sortedAttempts() {
		l.stopAttempt(a, 0)
	}
}

// newPlanner is a planner for the fleet as it is now.
func (l *leader) newPlanner() *balance.Planner {
	sites := make([]balance.LoadedMachine, len(l.fleetList))
	for i, m := range l.fleetList {
		sites[i] = balance.LoadedMachine{Machine: &m.Machine, Load: m.load}
	}
	return balance.NewPlanner(sites, func(m *placement.Machine) bool { return l.acceptsTasks(l.machines[m.Name]) })
}

// runningReplicas are the replicas on a machine, in a fixed order; false if one of them doesn't run
// or has to wait for others of its service.
func (m *machine) runningReplicas() (list []balance.Replica, settled bool) {
	for _, a := range m.sortedAttempts() {
		j := a.job
		if j.Kind != protocol.Service {
			continue
		}
		if a.state != protocol.Running || a.stopRequested || j.pendingTasks() > 0 {
			return nil, false
		}
		list = append(list, balance.Replica{Task: j.placementTask(), Shape: shapeKeyOf(j)})
	}
	return list, true
}

// replicasFitElsewhere reports whether a machine's replicas find room elsewhere, and takes it unless this
// is but a try.
func (m *machine) replicasFitElsewhere(p *balance.Planner, try bool) bool {
	replicas, settled := m.runningReplicas()
	return settled && p.Evacuate(&m.Machine, replicas, try)
}

// lazyPlanner makes a planner on first use: most looks at the fleet need none.
type lazyPlanner struct {
	leader  *leader
	planner *balance.Planner
}

func (z *lazyPlanner) get() *balance.Planner {
	if z.planner == nil {
		z.planner = z.leader.newPlanner()
	}
	return z.planner
}
