package coordination

import (
	"slices"
	"sort"
	"time"

	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/protocol"
)

// scaleIn returns machines that are not needed: empty ones beyond the headroom, ones that
// never came up, and ones given up. Tasks spread over all machines, and waiting for one to be
// empty by chance would keep them all: so it marks machines to be consolidated, which take
// tasks only when no other has room.
func (l *leader) scaleIn() {
	l.releaseOverdueBoots()
	room := l.spareCapacity()
	var candidates []*machine
	planner := &lazyPlanner{leader: l}
	for _, m := range slices.Clone(l.fleetList) {
		if !m.lifecycle.releasing() && l.evaluateForScaleIn(m, planner) {
			candidates = append(candidates, m)
		}
	}
	if l.autoscaler.demandIncomplete {
		return // what seems to be free is needed as soon as records allow
	}
	sortByPriceDescending(candidates)
	for _, m := range candidates {
		// Replicas would hold it for long, unless they can go elsewhere.
		if !room.canSpare(l, m) || m.ReplicaCPUs > 0 && (m.ReplicaCPUs > m.Spec.CPUs/2+protocol.Epsilon || !m.replicasFitElsewhere(planner.get(), false)) {
			continue
		}
		room.remove(l, m)
		m.Consolidating = true
		l.controller.log.Debug("machine marked for consolidation", "machine", m.Name, "cpus", m.Allocated.CPUs)
	}
}

// evaluateForScaleIn releases a machine that is empty and not needed, or lets one that is being
// consolidated go on, and reports whether it may be consolidated next.
func (l *leader) evaluateForScaleIn(m *machine, planner *lazyPlanner) (candidate bool) {
	if reason := l.releaseReason(m); reason != "" {
		l.release(m, reason)
		return false
	}
	switch {
	case m.Consolidating && l.evictOpportunistic(m):
		return false
	case m.Consolidating && m.holdsOnlyReplicas() && !m.replicasFitElsewhere(planner.get(), true):
		m.Consolidating = false // it stays for its replicas, so others may use it, too
		planner.get().CancelEvacuation(&m.Machine)
		return false
	}
	return m.session.Registered && m.recorded && m.Spec != nil && !m.lifecycle.draining && !m.Consolidating &&
		m.incomingMigrations == 0 && !m.lifecycle.preemptionNoticed()
}

// releaseReason is why a machine isn't needed any more; empty if it is, or holds tasks.
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
	case m.lifecycle.preemptionNoticed() && now.After(m.lifecycle.preemptionAt.Add(2*time.Second)):
		return "preempted"
	case m.Consolidating && m.incomingMigrations == 0 && now.Sub(m.provisionedAt) > minimumBilledTime && now.Sub(m.emptySince) > l.controller.operator.Idle():
		return "not needed"
	}
	return ""
}

// spareCapacity is the room of machines in service that aren't being consolidated, in CPUs.
type spareCapacity struct {
	free            float64
	onDemand        float64 // that work which may not use spot machines can have
	headroom        float64 // wanted of the free room
	onDemandReserve float64 // wanted of the other
}

func (l *leader) spareCapacity() spareCapacity {
	var room spareCapacity
	used := 0.0
	for _, m := range l.fleetList {
		if m.Spec == nil || !m.session.Registered || !m.lifecycle.inService() {
			continue
		}
		used += m.Allocated.CPUs
		if !m.Consolidating {
			room.free += m.Spec.CPUs - m.Allocated.CPUs
			room.onDemand += l.onDemandCapacity(m)
		}
	}
	room.headroom, room.onDemandReserve = l.headroomFor(used), l.onDemandReserve()
	return room
}

// canSpare reports whether a machine can be done without: what runs there must fit elsewhere.
func (r *spareCapacity) canSpare(l *leader, m *machine) bool {
	onDemand := l.onDemandCapacity(m)
	return r.free-(m.Spec.CPUs-m.Allocated.CPUs) >= r.headroom+m.Allocated.CPUs && (onDemand <= 0 || r.onDemand-onDemand >= r.onDemandReserve)
}

// remove takes a machine's room out.
func (r *spareCapacity) remove(l *leader, m *machine) {
	r.free -= m.Spec.CPUs - m.Allocated.CPUs
	r.onDemand -= l.onDemandCapacity(m)
}

// minOpportunisticRuntime is how long a guest's task runs before it has to leave a dear machine.
const minOpportunisticRuntime = 40 * time.Second

// evictOpportunistic stops work of teams without a guarantee that saves, where it alone keeps a
// dear machine from being returned, and reports whether it did. Tasks of minutes that had
// found idle room held a fleet's ordinary machines long after the others' work was done.
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

// onDemandReserve is the room kept on ordinary machines for the next service.
func (l *leader) onDemandReserve() float64 {
	if l.needsHeadroom() {
		return l.autoscaler.largestOnDemandCPUs
	}
	return 0
}

// onDemandCapacity is the room on an ordinary machine that work which may not use
// spot machines can have, other work giving way.
func (l *leader) onDemandCapacity(m *machine) float64 {
	if m.Spot {
		return 0
	}
	return max(m.Spec.CPUs-m.onDemandCPUs, 0)
}

// holdsOnlyReplicas reports whether replicas are all that is left on a machine.
func (m *machine) holdsOnlyReplicas() bool {
	return m.replicaCount == len(m.attemptList) && m.replicaCount > 0
}

// sortByPriceDescending orders machines by price, the emptiest first among equals.
func sortByPriceDescending(list []*machine) {
	sort.SliceStable(list, func(i, k int) bool {
		a, b := list[i], list[k]
		if pa, pb := a.offer().PricePerCPU(), b.offer().PricePerCPU(); pa != pb {
			return pa > pb
		}
		return a.Allocated.CPUs < b.Allocated.CPUs
	})
}

// reasonUnresponsive is why a machine is given up that may yet be heard again.
const reasonUnresponsive = "unresponsive"

// revokeRelease takes back the release of a machine that was given up as unresponsive and
// has been reached since, if the cloud can't have carried it out. Where the cloud is away as
// well, machines that were cut off for a moment would otherwise all be lost once it
// answers.
func (l *leader) revokeRelease(m *machine) {
	if m.lifecycle.revoke() {
		l.controller.logSampled("machine release revoked", "machine", m.Name)
		l.requestPlacement()
	}
}

// release returns a machine. The answer proves that it and all on it is gone.
func (l *leader) release(m *machine, reason string) {
	if m.removed || !m.lifecycle.beginRelease(reason == reasonUnresponsive) {
		return
	}
	quiet := l.controller.now.Sub(sessions.Latest(m.session.LastSeen, m.provisionedAt))
	l.controller.logSampled("machine release requested", "machine", m.Name, "reason", reason, "attempts", len(m.attempts),
		"registered", m.session.Registered, "silent", quiet.Round(time.Millisecond))
	l.sendReleases()
}

// sendReleases asks the cloud to take machines, as many as a call holds.
func (l *leader) sendReleases() {
	c, f := l.controller, &l.autoscaler
	if f.releaseInFlight {
		return
	}
	list := l.pendingReleases()
	if len(list) == 0 || !f.callBudget.TryTake(c.now, 1) {
		return
	}
	var names []string
	for _, m := range list {
		m.lifecycle.releaseCallSent(c.now)
		names = append(names, m.Name)
	}
	f.releaseInFlight = true
	c.call(Cloud, "", "POST", protocol.PathTerminate, protocol.EncodeTerminate(names), cloudTimeout, func(out Outcome) {
		if l.alive() {
			f.releaseInFlight = false
			l.releasesAnswered(list, out)
		}
	})
}

// pendingReleases are machines whose release is to be sent, or sent again.
func (l *leader) pendingReleases() (list []*machine) {
	for _, m := range l.fleetList {
		if m.lifecycle.releasing() && l.controller.now.Sub(m.lifecycle.releaseSentAt) > releaseRetryInterval && len(list) < protocol.MaxTerminate {
			list = append(list, m)
		}
	}
	return list
}

// releasesAnswered takes what came of a call that released machines.
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
