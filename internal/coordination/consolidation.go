package coordination

import (
	"brasskeel/internal/coordination/balance"
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// consolidationDivisor bounds one consolidation: it moves the replicas off at most one in
// consolidationDivisor of the fleet's machines, but off one machine at least.
const consolidationDivisor = 30

// consolidate moves all replicas off underused machines, if they fit on other machines that cache
// their images, so that the underused ones can be released. Services run for a long time: without
// consolidation, their replicas would keep all machines in use over which they were spread while the
// cluster was busy. A move is fast because the target already caches the image. Nothing is moved while
// tasks wait for capacity, while the state service is unavailable, or within consolidationInterval of
// the latest move.
func (l *leader) consolidate() {
	c, scaler := l.controller, &l.autoscaler
	if len(scaler.unmetDemand) > 0 || scaler.demandIncomplete || c.store.Unavailable() || c.now.Sub(scaler.consolidatedAt) < consolidationInterval {
		return
	}
	candidates, onDemandCapacity := l.consolidationCandidates()
	left := max(1, len(l.fleetList)/consolidationDivisor)
	planner := &lazyPlanner{leader: l}
	for _, m := range candidates {
		if left == 0 {
			return
		}
		if planner.get().PlannedUsage().UsageOn(m.Name) != (placement.Resources{}) {
			continue // replicas are planned to move here
		}
		if capacity := l.onDemandCapacity(m); !m.Consolidating && capacity > 0 && onDemandCapacity-m.Spec.CPUs < l.onDemandReserve() {
			continue // the remaining machines would have too little on-demand capacity
		}
		if !m.replicasFitElsewhere(planner.get(), false) {
			continue
		}
		if !m.Consolidating {
			onDemandCapacity -= l.onDemandCapacity(m)
		}
		l.evictReplicas(m)
		left--
	}
}

// consolidationCandidates returns the machines that accept tasks, hold only replicas, are underused
// or already marked for consolidation, and were provisioned some time ago, the most expensive first.
// It also returns the on-demand capacity of all machines that accept tasks and aren't being
// consolidated, in CPUs.
func (l *leader) consolidationCandidates() (candidates []*machine, onDemandCapacity float64) {
	for _, m := range l.fleetList {
		if !l.acceptsTasks(m) {
			continue
		}
		if !m.Consolidating {
			onDemandCapacity += l.onDemandCapacity(m)
		}
		underused := m.Consolidating || m.Allocated.CPUs <= m.Spec.CPUs/2+protocol.Epsilon
		if m.holdsOnlyReplicas() && underused && l.controller.now.Sub(m.provisionedAt) > 2*minimumBilledTime {
			candidates = append(candidates, m)
		}
	}
	sortByPriceDescending(candidates)
	return candidates, onDemandCapacity
}

// evictReplicas stops all replicas on a machine, so that they start elsewhere.
func (l *leader) evictReplicas(m *machine) {
	l.controller.logSampled("replicas evicted for consolidation", "machine", m.Name, "attempts", len(m.attempts))
	l.autoscaler.consolidatedAt = l.controller.now
	m.Consolidating = true
	for _, a := range m.sortedAttempts() {
		l.stopAttempt(a, 0)
	}
}

// newPlanner returns a planner for the current fleet.
func (l *leader) newPlanner() *balance.Planner {
	machines := make([]balance.LoadedMachine, len(l.fleetList))
	for i, m := range l.fleetList {
		machines[i] = balance.LoadedMachine{Machine: &m.Machine, Load: m.load}
	}
	return balance.NewPlanner(machines, func(m *placement.Machine) bool { return l.acceptsTasks(l.machines[m.Name]) })
}

// runningReplicas returns the replicas on a machine, in a fixed order. settled is false, and the
// list empty, if one of them isn't running or is to be stopped, or if another replica of its service
// is pending.
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

// replicasFitElsewhere reports whether all replicas on a machine are running and fit on other
// machines. Unless dryRun is set, it adds their moves to the planner.
func (m *machine) replicasFitElsewhere(p *balance.Planner, dryRun bool) bool {
	replicas, settled := m.runningReplicas()
	return settled && p.Evacuate(&m.Machine, replicas, dryRun)
}

// lazyPlanner creates a planner on first use: most scans of the fleet need none.
type lazyPlanner struct {
	leader  *leader
	planner *balance.Planner
}

// get returns the planner, which it creates in the first call.
func (z *lazyPlanner) get() *balance.Planner {
	if z.planner == nil {
		z.planner = z.leader.newPlanner()
	}
	return z.planner
}
