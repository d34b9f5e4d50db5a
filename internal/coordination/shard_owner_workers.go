package coordination

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
)

// newMachine adds a machine of a shard that this owner serves.
func (o *shardOwner) newMachine(entry shard.Machine, owned *ownedShard) *machine {
	m := &machine{Machine: placement.Machine{Name: entry.Name, Type: entry.Type, Zone: entry.Zone, Spot: entry.Spot}, addr: entry.Addr, shard: entry.Shard, session: sessions.Session{Epoch: &owned.epoch},
		attempts: map[taskKey]*attempt{}, reportedExits: map[taskKey]*reportedExit{}, orphans: map[taskKey]uint64{}, orphanStops: map[taskKey]uint64{}}
	o.machines[entry.Name] = m
	o.fleetList = append(o.fleetList, m)
	delete(o.movedAway, entry.Name)
	return m
}

// unseenFor returns the time since the latest message of a worker. Time before its shard was acquired,
// or before the detector was reset, doesn't count.
func (o *shardOwner) unseenFor(m *machine) time.Duration {
	return o.controller.now.Sub(sessions.Latest(m.session.LastSeen, m.session.Epoch.Since, o.detector.ResetAt()))
}

// detectUnresponsiveWorkers probes workers from which no messages arrive, and reports the attempts of
// those whose leases have certainly expired as terminated.
func (o *shardOwner) detectUnresponsiveWorkers() {
	if o.detector.Scan(o.controller.now) || o.controller.store.Unavailable() || !o.holdsLease() {
		// Workers whose heartbeats weren't answered here try other controllers, so their missing
		// messages up to now show nothing.
		o.detector.Reset(o.controller.now)
		return
	}
	var toProbe []*machine
	suspectZones := map[string]bool{}
	for _, m := range o.fleetList {
		if owned := o.shards[m.shard]; owned == nil || !owned.served() {
			continue
		}
		unseen := o.unseenFor(m)
		if m.session.FailedProbes > 0 {
			suspectZones[m.Zone] = true
		}
		if o.expectsHeartbeats(m) && (o.needsProbe(m, unseen) || !m.session.Registered && unseen > probeDelay) {
			toProbe = append(toProbe, m)
		}
		if unseen > o.controller.timing().SuspectAfter() && len(m.attemptList) > 0 {
			o.terminateExpired(m)
		}
	}
	o.detector.SetSuspectZones(suspectZones)
	o.probeBatch(toProbe)
}

// expectsHeartbeats reports whether a machine's worker should be running: it registered here or with
// an earlier owner, or has attempts.
func (o *shardOwner) expectsHeartbeats(m *machine) bool {
	return m.session.Registered || m.registeredBefore || len(m.attemptList) > 0
}

// workerRegistered implements sessionListener.
func (o *shardOwner) workerRegistered(m *machine) { o.feed.workerChanged(m) }

// workerRestarted implements sessionListener.
func (o *shardOwner) workerRestarted(m *machine) { o.feed.workerChanged(m) }

// addressChanged implements sessionListener.
func (o *shardOwner) addressChanged(m *machine) { o.feed.workerChanged(m) }

// preemptionNoticed implements sessionListener.
func (o *shardOwner) preemptionNoticed(m *machine) { o.feed.workerChanged(m) }

// tasksReconciled implements sessionListener.
func (o *shardOwner) tasksReconciled(m *machine) { o.feed.workerChanged(m) }

// workerReached implements sessionListener.
func (o *shardOwner) workerReached(m *machine) {
	if m.session.LastReached.IsZero() {
		o.feed.workerChanged(m)
	}
}

// probeFailed implements sessionListener. Nothing is sent: the next status lists the worker as
// unhealthy.
func (o *shardOwner) probeFailed(*machine) {}

// incarnationReset implements sessionListener.
func (o *shardOwner) incarnationReset(m *machine) {
	m.incarnationReset = true
	o.feed.workerChanged(m)
}

// taskStateReported implements sessionListener.
func (o *shardOwner) taskStateReported(a *attempt, s protocol.TaskState) {
	if a.state != s {
		a.state, a.stateSince = s, o.controller.now
		o.feed.taskStateChanged(a)
	}
}

// reportedExit is an exited task that is reported to the leader.
type reportedExit struct {
	exit   shard.Exit
	sentAt time.Time // when the exit was last sent to the leader or, if forget is set, when forget was set
	forget bool      // the worker may forget the task (applyForget)
}

// exitResendInterval is after how long an exit is sent to the leader again if the worker still
// reports it.
const exitResendInterval = 3 * time.Second

// taskExitReported implements sessionListener. The exit proves that the attempt has ended. The worker
// may forget the task once the leader allows it (applyForget).
func (o *shardOwner) taskExitReported(m *machine, a *attempt, t *protocol.TaskStatus) (forget bool) {
	key := taskKey{t.Job, t.TaskIndex}
	k := m.reportedExits[key]
	if k == nil || k.exit.Attempt != t.Attempt {
		k = &reportedExit{exit: shard.Exit{AttemptID: taskOf(m, t), Reason: t.Reason, Checkpointed: t.Checkpointed}}
		m.reportedExits[key] = k
	}
	if a != nil {
		o.removeAttempt(a)
		// A leader that lists the attempt doesn't know of the exit, even if an earlier leader
		// allowed the worker to forget it. If it weren't sent again, the leader would keep the
		// attempt forever.
		k.forget, k.sentAt = false, time.Time{}
	}
	if !k.forget && o.controller.now.Sub(k.sentAt) > exitResendInterval {
		k.sentAt = o.controller.now
		o.feed.taskExited(k)
	}
	return k.forget
}

// attemptTerminated implements sessionListener.
func (o *shardOwner) attemptTerminated(a *attempt, reason string) {
	o.controller.log.Debug("attempt terminated", "job", a.job.ID, "task", a.taskIndex, "attempt", a.number, "machine", a.machine.Name, "reason", reason)
	o.removeAttempt(a)
	o.feed.attemptTerminated(a, reason)
}

// orphanReported implements sessionListener. A task without a known attempt is stopped if its job has
// ended. If not, only the leader knows whether to stop it: the task is reported to the leader once, and
// stopped when the leader has requested it.
func (o *shardOwner) orphanReported(m *machine, t *protocol.TaskStatus) (stop bool) {
	key := taskKey{t.Job, t.TaskIndex}
	if j := o.jobs[t.Job]; j != nil && j.finalState != 0 {
		return true
	}
	if m.orphans[key] == t.Attempt {
		return m.orphanStops[key] == t.Attempt
	}
	m.orphans[key] = t.Attempt
	o.feed.orphanReported(taskOf(m, t))
	return false
}

// newerTokenSeen implements sessionListener. There may be a later owner of the machine's shard. The
// shard isn't served until the table has been read again and shows that there is none (applyMove).
// This is done at most once for each machine: if the table shows no later owner, further
// heartbeats with such a token must not interrupt the service of the whole shard again.
func (o *shardOwner) newerTokenSeen(m *machine) {
	o.controller.log.Info("worker has a later fencing token", "machine", m.Name, "shard", m.shard)
	if owned := o.shards[m.shard]; owned != nil && !owned.superseded && !m.newerTokenSeen {
		m.newerTokenSeen = true
		owned.setSuperseded(true)
		o.sharding.loadTable()
		owned.recheckGeneration = o.sharding.watchGeneration
	}
}

// jobRecorded implements sessionListener. The owner needs only the job's ID.
func (o *shardOwner) jobRecorded(id string, _ json.RawMessage, _ bool) { o.job(id) }

// jobEnded implements sessionListener. It stops the job's attempts without waiting for the leader.
func (o *shardOwner) jobEnded(j *job, s protocol.JobState) {
	j.finalState = s
	held := slices.Collect(maps.Keys(j.heldAttempts))
	slices.SortFunc(held, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.machine.Name, b.machine.Name), compareAttempts(a, b))
	})
	for _, a := range held {
		o.stopAttempt(a, 0)
	}
}

// jobRemoved implements sessionListener.
func (o *shardOwner) jobRemoved(id string) { delete(o.jobs, id) }

// job returns the job with an ID, and adds it if it isn't known.
func (o *shardOwner) job(id string) *job {
	j := o.jobs[id]
	if j == nil {
		j = &job{Job: &protocol.Job{ID: id}}
		o.jobs[id] = j
		if f, ok := o.controller.admission.outcomes[id]; ok {
			j.finalState = f.state
		}
	}
	return j
}

// addAttempt adds an attempt that the leader listed. An inherited one may have been started by an
// earlier owner.
func (o *shardOwner) addAttempt(m *machine, start shard.Start, inherited bool) {
	a := &attempt{job: o.job(start.Job), taskIndex: start.TaskIndex, number: start.Attempt, machine: m, recorded: true, delivery: sessions.Delivery{Inherited: inherited}, stateSince: o.controller.now}
	o.track(a)
	if a.job.heldAttempts == nil {
		a.job.heldAttempts = map[*attempt]struct{}{}
	}
	a.job.heldAttempts[a] = struct{}{}
	if start.Stopping || a.job.finalState != 0 {
		o.stopAttempt(a, time.Duration(start.GraceMillis)*time.Millisecond)
		return
	}
	o.scheduleOrders(m)
}

// removeAttempt removes an attempt from its machine and its job.
func (o *shardOwner) removeAttempt(a *attempt) {
	if a.stopRequested {
		a.machine.stopRequestedCount--
	}
	delete(a.job.heldAttempts, a)
	o.untrack(a)
}

// stopAttempt requests that an attempt be stopped within a grace time. A later request may only
// shorten the grace time. An attempt whose start was never sent terminates at once.
func (o *shardOwner) stopAttempt(a *attempt, grace time.Duration) {
	if a.stopRequested && a.stopGrace <= grace {
		return
	}
	if !a.stopRequested {
		a.stopRequested = true
		a.machine.stopRequestedCount++
	}
	a.stopGrace, a.stopSentAt = grace, time.Time{}
	if a.delivery.NeverSent() {
		o.attemptTerminated(a, "never sent")
		return
	}
	o.scheduleOrders(a.machine)
}

func taskOf(m *machine, t *protocol.TaskStatus) shard.AttemptID {
	return shard.AttemptID{Machine: m.Name, Job: t.Job, TaskIndex: t.TaskIndex, Attempt: t.Attempt}
}
