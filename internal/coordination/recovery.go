package coordination

import "time"

// recoveryPhase is how far the recovery of a new leader has come.
type recoveryPhase uint8

// A new leader loads the records, then reconciles them with the heartbeats of all workers
// before it places anything, and is active from then on. The transitions are those of
// recovery's methods; there is no way back.
const (
	phaseLoading recoveryPhase = iota + 1
	phaseReconciling
	phaseActive
)

// recovery is a new leader's way to being active.
type recovery struct {
	phase     recoveryPhase
	electedAt time.Time
	loadedAt  time.Time // when the records were read
	// reconciledAt is when the leader became active; while it reconciles, when it will at
	// the latest.
	reconciledAt          time.Time
	reconcileCheckPending bool
}

func newRecovery(now time.Time) recovery { return recovery{phase: phaseLoading, electedAt: now} }

// recordsLoaded begins the reconciliation, which takes until limit after the election at the
// most.
func (r *recovery) recordsLoaded(now time.Time, limit time.Duration) {
	r.phase, r.loadedAt, r.reconciledAt = phaseReconciling, now, r.electedAt.Add(limit)
}

// reconciled ends the recovery; false if it wasn't being reconciled.
func (r *recovery) reconciled(now time.Time) bool {
	if r.phase != phaseReconciling {
		return false
	}
	r.phase, r.reconciledAt = phaseActive, now
	return true
}

const (
	// probeDelay is how long a new leader lets workers come by themselves before it
	// probes them. They find it when their next heartbeat is due, or later; those that an
	// earlier leader without the state service still answers come only after its grace
	// period.
	probeDelay = 50 * time.Millisecond
	// maxProbeFailures is after how many probes without an answer it waits no longer for a
	// machine.
	maxProbeFailures = 2
	// maxMissingDivisor makes the part of the machines that it doesn't wait for.
	maxMissingDivisor = 5
	// reconcileCheckDelay lets heartbeats that come together be judged together.
	reconcileCheckDelay = 10 * time.Millisecond
)

// startReconciling follows once all records are read.
func (l *leader) startReconciling() {
	c := l.controller
	wait := c.timing().ReconnectTime()
	if len(l.machines) == 0 {
		wait = c.cfg.HeartbeatInterval / 2
	}
	l.recordsLoaded(c.now, wait)
	l.loaded = true
	for _, m := range l.fleetList {
		if !m.recorded { // it reported while the records were read
			l.writer.recordMachine(m)
		}
	}
	attempts := 0
	for _, j := range l.jobsByAge {
		attempts += j.liveAttempts
		l.finalizeJobIfComplete(j)
	}
	c.log.Info("records loaded", "term", l.term, "jobs", len(l.jobsByAge), "machines", len(l.machines), "attempts", attempts)
	l.readInventory() // it has the addresses of those that are to be probed
	if l.shards != nil {
		l.assignUnshardedMachines()
		l.shards.ownershipChanged()
	}
	c.after(l.reconciledAt.Sub(c.now), l.activate)
}

// checkReconciled ends the wait once nobody is left to be heard.
func (l *leader) checkReconciled() {
	if l.phase != phaseReconciling || l.reconcileCheckPending {
		return
	}
	l.reconcileCheckPending = true
	l.controller.after(reconcileCheckDelay, func() {
		l.reconcileCheckPending = false
		if l.enoughMachinesReconciled() {
			l.activate()
		}
	})
}

// activate ends the recovery: from here on work is placed.
func (l *leader) activate() {
	if !l.alive() || !l.reconciled(l.controller.now) {
		return
	}
	l.probesNewWorkers = true
	l.controller.log.Info("recovery complete", "term", l.term, "duration", l.controller.now.Sub(l.electedAt))
	l.maintain()
	l.requestPlacement()
}

// enoughMachinesReconciled reports whether all but a few of the machines that should have told
// their tasks and images have, or were probed and didn't answer, or aren't in the
// cloud's list, so that they can't be probed. Among hundreds of machines a few are
// always gone, and a part of a large fleet is taken out at once: placing goes on
// without those that weren't heard, as they are skipped, and what they ran counts. So
// are those that nothing of ours has reached yet: a heartbeat alone brings their tasks and
// images, and waiting for a second one to show our fencing token took a small share of a
// processor half a second more.
func (l *leader) enoughMachinesReconciled() bool {
	if len(l.fleetList) == 0 {
		return false
	}
	missing, expected := 0, 0
	for _, m := range l.fleetList {
		if !l.expectsTaskReport(m) {
			continue
		}
		expected++
		if l.awaitsTaskReport(m) {
			missing++
		}
	}
	return missing*maxMissingDivisor <= expected
}

// expectsTaskReport reports whether a machine's worker should be up. One that only a lagging list
// tells of may be terminated already.
func (l *leader) expectsTaskReport(m *machine) bool {
	booted := m.inherited && (m.Spec == nil || l.controller.now.Sub(m.provisionedAt) > 2*m.Spec.BootTime)
	return len(m.attempts) > 0 || booted
}

// awaitsTaskReport reports whether a machine may still tell its tasks.
func (l *leader) awaitsTaskReport(m *machine) bool {
	if m.session.Reconciled || m.session.FailedProbes >= maxProbeFailures || l.ownerTimedOut(m) {
		return false
	}
	// While the cloud can't be asked, addresses come with heartbeats alone.
	return m.addr != "" || !l.autoscaler.inventoryComplete
}
