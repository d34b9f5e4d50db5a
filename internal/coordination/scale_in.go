package coordination

import (
	"slices"
	"sort"
	"time"

	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/protocol"
)

// scaleIn releases machines that aren't needed: empty ones beyond the headroom, and ones that never
// booted. Tasks are spread over all machines, so hardly any machine becomes empty by chance. So
// scaleIn marks machines for consolidation; these get new tasks only when no other machine has
// capacity, and are released once they are empty.
func (l *leader) scaleIn() {
	l.releaseOverdueBoots()
	spare := l.spareCapacity()
	var candidates []*machine
	planner := &lazyPlanner{leader: l}
	for _, m := range slices.Clone(l.fleetList) {
		if !m.lifecycle.releasing() && l.evaluateForScaleIn(m, planner) {
			candidates = append(candidates, m)
		}
	}
	if l.autoscaler.demandIncomplete {
		return // capacity that seems free is needed as soon as records can be written
	}
	sortByPriceDescending(candidates)
	for _, m := range candidates {
		// Replicas would keep the machine in use for a long time, unless they use at most half of
		// it and can move to other machines.
		if !spare.canSpare(l, m) || m.ReplicaCPUs > 0 && (m.ReplicaCPUs > m.Spec.CPUs/2+protocol.Epsilon || !m.replicasFitElsewhere(planner.get(), false)) {
			continue
		}
		spare.remove(l, m)
		m.Consolidating = true
		l.controller.log.Debug("machine marked for consolidation", "machine", m.Name, "cpus", m.Allocated.CPUs)
	}
}

// evaluateForScaleIn releases a machine that is empty and not needed, evicts opportunistic tasks from
// one that is being consolidated, ends the consolidation of one whose replicas can't move elsewhere,
// and reports whether the machine is a candidate for consolidation.
func (l *leader) evaluateForScaleIn(m *machine, planner *lazyPlanner) (candidate bool) {
	if reason := l.releaseReason(m); reason != "" {
		l.release(m, reason)
		return false
	}
	switch {
	case m.Consolidating && l.evictOpportunistic(m):
		return false
	case m.Consolidating && m.holdsOnlyReplicas() && !m.replicasFitElsewhere(planner.get(), true):
		m.Consolidating = false // its replicas keep it in use, so other tasks may be placed on it as well
		planner.get().CancelEvacuation(&m.Machine)
		return false
	}
	return m.session.Registered && m.recorded && m.Spec != nil && !m.lifecycle.draining && !m.Consolidating &&
		m.incomingMigrations == 0 && !m.lifecycle.preemptionNoticed()
}

// releaseReason returns why an empty machine should be released, or "" if it isn't empty or should be
// kept.
func (l *leader) releaseReason(m *machine) string {
	now := l.controller.now
	if len(m.attempts) > 0 {
		return ""
	}
	switch {
	case m.lifecycle.draining:
		return "drained"
	case m.Spec == nil && m.session.Registered:
		return "unknown type"
	case m.lifecycle.preemptionNoticed() && now.After(m.lifecycle.preemptionAt.Add(2*time.Second)): // the cloud should have preempted it
		return "preempted"
	case m.Consolidating && m.incomingMigrations == 0 && now.Sub(m.provisionedAt) > minimumBilledTime && now.Sub(m.emptySince) > l.controller.operator.IdleTimeout():
		return "not needed"
	}
	return ""
}

// spareCapacity is the free capacity of the machines in service that aren't being consolidated,
// in CPUs.
type spareCapacity struct {
	free            float64
	onDemand        float64 // available to jobs that may not use spot machines
	headroom        float64 // of free that should stay free
	onDemandReserve float64 // of onDemand that should stay available
}

// spareCapacity returns the spare capacity of the current fleet.
func (l *leader) spareCapacity() spareCapacity {
	var spare spareCapacity
	used := 0.0
	for _, m := range l.fleetList {
		if m.Spec == nil || !m.session.Registered || !m.lifecycle.inService() {
			continue
		}
		used += m.Allocated.CPUs
		if !m.Consolidating {
			spare.free += m.Spec.CPUs - m.Allocated.CPUs
			spare.onDemand += l.onDemandCapacity(m)
		}
	}
	spare.headroom, spare.onDemandReserve = l.headroomFor(used), l.onDemandReserve()
	return spare
}

// canSpare reports whether a machine can be consolidated: the remaining capacity must hold its tasks
// and the headroom, and enough on-demand capacity must remain.
func (r *spareCapacity) canSpare(l *leader, m *machine) bool {
	onDemand := l.onDemandCapacity(m)
	return r.free-(m.Spec.CPUs-m.Allocated.CPUs) >= r.headroom+m.Allocated.CPUs && (onDemand <= 0 || r.onDemand-onDemand >= r.onDemandReserve)
}

// remove subtracts a machine's free capacity.
func (r *spareCapacity) remove(l *leader, m *machine) {
	r.free -= m.Spec.CPUs - m.Allocated.CPUs
	r.onDemand -= l.onDemandCapacity(m)
}

// minOpportunisticRuntime is how long an opportunistic task, that is, one of a team without a
// guarantee, may run on an expensive machine before it can be evicted.
const minOpportunisticRuntime = 40 * time.Second

// evictOpportunistic stops the tasks on a machine if all of them are opportunistic, save checkpoints,
// have run for minOpportunisticRuntime and find the machine too expensive (overpriced). It reports
// whether it did. Without these evictions, tasks of several minutes that had started on idle capacity
// kept a fleet's on-demand machines in use long after all other work was done.
func (l *leader) evictOpportunistic(m *machine) bool {
	if len(m.attemptList) == 0 {
		return false
	}
	for _, a := range m.attemptList {
		if a.stopRequested || a.job.CheckpointInterval == 0 || a.state != protocol.Running || l.controller.now.Sub(a.stateSince) < minOpportunisticRuntime ||
			!l.overpriced(a.job, m.offer()) {
			return false
		}
	}
	for _, a := range m.sortedAttempts() {
		l.stopAttempt(a, l.checkpointGrace(a))
	}
	return true
}

// onDemandReserve is the on-demand capacity to keep for the next service, in CPUs.
func (l *leader) onDemandReserve() float64 {
	if l.needsHeadroom() {
		return l.autoscaler.largestOnDemandServiceCPUs
	}
	return 0
}

// onDemandCapacity is the number of CPUs of a machine that are available to jobs which may not use
// spot machines; 0 for a spot machine. Work of other jobs on the machine can be preempted and doesn't
// count.
func (l *leader) onDemandCapacity(m *machine) float64 {
	if m.Spot {
		return 0
	}
	return max(m.Spec.CPUs-m.onDemandCPUs, 0)
}

// holdsOnlyReplicas reports whether all attempts on a machine are replicas of services.
func (m *machine) holdsOnlyReplicas() bool {
	return m.replicaCount == len(m.attemptList) && m.replicaCount > 0
}

// sortByPriceDescending sorts machines by price per CPU, the most expensive first, and by
// allocated CPUs among equals, the least first.
func sortByPriceDescending(list []*machine) {
	sort.SliceStable(list, func(i, k int) bool {
		a, b := list[i], list[k]
		if pa, pb := a.offer().PricePerCPU(), b.offer().PricePerCPU(); pa != pb {
			return pa > pb
		}
		return a.Allocated.CPUs < b.Allocated.CPUs
	})
}

// reasonUnresponsive is the only release reason that is revocable: the machine may become
// reachable again.
const reasonUnresponsive = "unresponsive"

// revokeRelease revokes the release of an unresponsive machine that was reached again, if the
// cloud can't have carried it out. If it weren't revoked, every machine that had been unreachable for a
// short time during an outage of the cloud API would be released after the outage.
func (l *leader) revokeRelease(m *machine) {
	if m.lifecycle.revoke() {
		l.controller.logSampled("machine release revoked", "machine", m.Name)
		l.requestPlacement()
	}
}

// release requests that the cloud terminate a machine, unless a release was requested before. A
// successful response proves that the machine and all of its tasks have ended.
func (l *leader) release(m *machine, reason string) {
	if m.removed || !m.lifecycle.beginRelease(reason == reasonUnresponsive) {
		return
	}
	unseen := l.controller.now.Sub(sessions.Latest(m.session.LastSeen, m.provisionedAt))
	l.controller.logSampled("machine release requested", "machine", m.Name, "reason", reason, "attempts", len(m.attempts),
		"registered", m.session.Registered, "silent", unseen.Round(time.Millisecond))
	l.sendReleases()
}

// sendReleases sends the pending releases to the cloud, as many as fit into one call, if no such call
// is in flight and the call budget allows it.
func (l *leader) sendReleases() {
	c, scaler := l.controller, &l.autoscaler
	if scaler.releaseInFlight {
		return
	}
	list := l.pendingReleases()
	if len(list) == 0 || !scaler.callBudget.TryTake(c.now, 1) {
		return
	}
	var names []string
	for _, m := range list {
		m.lifecycle.releaseCallSent(c.now)
		names = append(names, m.Name)
	}
	scaler.releaseInFlight = true
	c.call(Cloud, "", "POST", protocol.PathTerminate, protocol.EncodeTerminate(names), cloudTimeout, func(out Outcome) {
		if l.alive() {
			scaler.releaseInFlight = false
			l.releasesAnswered(list, out)
		}
	})
}

// pendingReleases returns machines whose release must be sent or, after releaseRetryInterval, retried,
// as many as fit into one call.
func (l *leader) pendingReleases() (list []*machine) {
	for _, m := range l.fleetList {
		if m.lifecycle.releasing() && l.controller.now.Sub(m.lifecycle.releaseSentAt) > releaseRetryInterval && len(list) < protocol.MaxMachinesPerTermination {
			list = append(list, m)
		}
	}
	return list
}

// releasesAnswered handles the outcome of a release call. Machines whose release failed stay pending.
func (l *leader) releasesAnswered(list []*machine, out Outcome) {
	refused := out.Answered && (out.Status == 503 || out.Status == 429)
	for _, m := range list {
		m.lifecycle.releaseCallEnded(refused)
	}
	if out.Answered && out.Status == 200 {
		for _, m := range list {
			l.machineTerminated(m, "returned")
		}
		l.requestPlacement()
		l.sendReleases()
	}
}
