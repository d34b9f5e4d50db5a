package coordination

import "time"

// recoveryPhase is the phase of a new leader's recovery.
type recoveryPhase uint8

// Phases of recovery. A new leader loads the records, then reconciles them with the heartbeats
// of all workers before it places tasks, and is active from then on. Only the methods of
// recovery change the phase, and it never goes back.
const (
	phaseLoading recoveryPhase = iota + 1
	phaseReconciling
	phaseActive
)

// recovery tracks a new leader's recovery.
type recovery struct {
	phase     recoveryPhase
	electedAt time.Time
	loadedAt  time.Time // when all records were loaded
	// reconciledAt is the time at which the leader became active; in phaseReconciling it is
	// the time at which it becomes active at the latest.
	reconciledAt          time.Time
	reconcileCheckPending bool
}

func newRecovery(now time.Time) recovery { return recovery{phase: phaseLoading, electedAt: now} }

// recordsLoaded starts the reconciliation, which ends at the latest when limit has passed since
// the election.
func (r *recovery) recordsLoaded(now time.Time, limit time.Duration) {
	r.phase, r.loadedAt, r.reconciledAt = phaseReconciling, now, r.electedAt.Add(limit)
}

// reconciled ends the recovery. It returns false if the leader is not in phaseReconciling.
func (r *recovery) reconciled(now time.Time) bool {
	if r.phase != phaseReconciling {
		return false
	}
	r.phase, r.reconciledAt = phaseActive, now
	return true
}

const (
	// probeDelay is how long a new leader waits for heartbeats before it probes workers.
	// Workers contact the new leader when their next heartbeat is due, or later. Workers whose
	// heartbeats are still answered by an earlier leader without access to the state service
	// contact the new one only after the earlier leader's grace period.
	probeDelay = 50 * time.Millisecond
	// maxProbeFailures is the number of consecutive failed probes after which a new leader no
	// longer waits for a machine.
	maxProbeFailures = 2
	// maxMissingDivisor sets the fraction of machines that a new leader does not wait for:
	// one in maxMissingDivisor (see enoughMachinesReconciled for the reason).
	maxMissingDivisor = 5
	// reconcileCheckDelay is the delay of a check, so that one check covers heartbeats that
	// arrive together.
	reconcileCheckDelay = 10 * time.Millisecond
)

// startReconciling starts the reconciliation once all records are loaded.
func (l *leader) startReconciling() {
	c := l.controller
	wait := c.timing().ReconnectTime()
	if len(l.machines) == 0 {
		wait = c.cfg.HeartbeatInterval / 2
	}
	l.recordsLoaded(c.now, wait)
	l.loaded = true
	for _, m := range l.fleetList {
		if !m.recorded { // its worker registered while the records were being loaded
			l.writer.recordMachine(m)
		}
	}
	attempts := 0
	for _, j := range l.jobsByAge {
		attempts += j.liveAttempts
		l.finalizeJobIfComplete(j)
	}
	c.log.Info("records loaded", "term", l.term, "jobs", len(l.jobsByAge), "machines", len(l.machines), "attempts", attempts)
	l.readInventory() // it contains the addresses of the machines to probe
	if l.shards != nil {
		l.assignUnshardedMachines()
		l.shards.ownershipChanged()
	}
	c.after(l.reconciledAt.Sub(c.now), l.activate)
}

// checkReconciled schedules a check whether enough machines are reconciled to end the recovery.
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

// activate ends the recovery. From then on the leader places tasks.
func (l *leader) activate() {
	if !l.alive() || !l.reconciled(l.controller.now) {
		return
	}
	l.probesNewWorkers = true
	l.controller.log.Info("recovery complete", "term", l.term, "duration", l.controller.now.Sub(l.electedAt))
	l.maintain()
	l.requestPlacement()
}

// enoughMachinesReconciled reports whether the leader still awaits (awaitsTaskReport) at most one in
// maxMissingDivisor of the machines whose workers should report their tasks and images
// (expectsTaskReport). Without any machine it returns false.
//
// Among hundreds of machines some are always down, and part of a large fleet may be lost at
// once. Placement doesn't depend on the missing machines: it skips them, and their recorded attempts
// still count towards the limits of their teams and the zone rules of their jobs. Placement also
// skips machines that no message of this leader has reached yet, but those are not awaited: one
// heartbeat reports their tasks and images, and waiting for a second one with this leader's fencing
// token took half a second longer on a small CPU share.
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

// expectsTaskReport reports whether a machine's worker should be running: attempts are recorded on the
// machine, or an earlier leader recorded it and it has had time to boot (if its type isn't known, it
// counts as booted). A machine that is known only from the cloud's inventory, which may be out of
// date, may already be terminated.
func (l *leader) expectsTaskReport(m *machine) bool {
	booted := m.inherited && (m.Spec == nil || l.controller.now.Sub(m.provisionedAt) > 2*m.Spec.BootTime)
	return len(m.attempts) > 0 || booted
}

// awaitsTaskReport reports whether the leader still waits for a machine's worker to report its tasks.
// It doesn't if the worker has reported them, if maxProbeFailures consecutive probes failed, if the
// owner of the machine's shard has timed out, or if the machine can't be probed because its address
// isn't known although the cloud's inventory has been read in full.
func (l *leader) awaitsTaskReport(m *machine) bool {
	if m.session.Reconciled || m.session.FailedProbes >= maxProbeFailures || l.ownerTimedOut(m) {
		return false
	}
	// Without an address the machine cannot be probed. While the cloud's inventory is not
	// available, only heartbeats contain addresses, so the machine is still awaited.
	return m.addr != "" || !l.autoscaler.inventoryComplete
}
