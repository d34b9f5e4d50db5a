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

func (o *shardOwner) newMachine(k shard.Machine, h *ownedShard) *machine {
	m := &machine{Machine: placement.Machine{Name: k.Name, Type: k.Type, Zone: k.Zone, Spot: k.Spot}, addr: k.Addr, shard: k.Shard, session: sessions.Session{Epoch: &h.epoch},
		attempts: map[taskKey]*attempt{}, reportedExits: map[taskKey]*reportedExit{}, orphans: map[taskKey]uint64{}, orphanStops: map[taskKey]uint64{}}
	o.machines[k.Name] = m
	o.fleetList = append(o.fleetList, m)
	delete(o.movedAway, k.Name)
	return m
}

// silentFor is how long a worker has been silent, since its shard was taken at the most.
func (o *shardOwner) silentFor(m *machine) time.Duration {
	return o.controller.now.Sub(sessions.Latest(m.session.LastSeen, m.session.Epoch.Since, o.detector.ResetAt()))
}

// detectSilentWorkers asks workers that fell silent, and proves what silence proves.
func (o *shardOwner) detectSilentWorkers() {
	if o.detector.Scan(o.controller.now) || o.controller.store.Unavailable() || !o.holdsLease() {
		o.detector.Reset(o.controller.now) // workers that got no answer look for another controller
		return
	}
	var ask []*machine
	doubtful := map[string]bool{}
	for _, m := range o.fleetList {
		if h := o.shards[m.shard]; h == nil || !h.served() {
			continue
		}
		silent := o.silentFor(m)
		if m.session.FailedProbes > 0 {
			doubtful[m.Zone] = true
		}
		if o.expectsHeartbeats(m) && (o.needsProbe(m, silent) || !m.session.Registered && silent > probeDelay) {
			ask = append(ask, m)
		}
		if silent > o.controller.timing().SuspectAfter() && len(m.attemptList) > 0 {
			o.terminateExpired(m)
		}
	}
	o.detector.SetSuspectZones(doubtful)
	o.probeBatch(ask)
}

// expectsHeartbeats reports whether a machine's worker should be up: it was heard here, or by the
// leader, or ran tasks.
func (o *shardOwner) expectsHeartbeats(m *machine) bool {
	return m.session.Registered || m.registeredBefore || len(m.attemptList) > 0
}

// workerRegistered implements sessionListener.
func (o *shardOwner) workerRegistered(m *machine) { o.feed.workerChanged(m) }

// incarnationBegan implements sessionListener.
func (o *shardOwner) incarnationBegan(m *machine) { o.feed.workerChanged(m) }

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

// probeFailed implements sessionListener: the status tells it.
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

// reportedExit is an exited task that the leader was told of.
type reportedExit struct {
	exit   shard.Exit
	sentAt time.Time
	forget bool // its result is recorded: the worker may forget it
}

// exitResendInterval is when the leader is told of an exit once more.
const exitResendInterval = 3 * time.Second

// taskExitReported implements sessionListener. The exit is the proof that the attempt is gone; the
// leader says when the worker may forget it.
func (o *shardOwner) taskExitReported(m *machine, a *attempt, t *protocol.TaskStatus) (forget bool) {
	key := taskKey{t.Job, t.TaskIndex}
	k := m.reportedExits[key]
	if k == nil || k.exit.Attempt != t.Attempt {
		k = &reportedExit{exit: shard.Exit{Task: taskOf(m, t), Reason: t.Reason, Checkpointed: t.Checkpointed}}
		m.reportedExits[key] = k
	}
	if a != nil {
		o.removeAttempt(a)
		// It was listed by a leader that doesn't know of the exit, whatever an earlier one
		// let be forgotten: untold, the attempt counted there for ever.
		k.forget, k.sentAt = false, time.Time{}
	}
	if !k.forget && o.controller.now.Sub(k.sentAt) > exitResendInterval {
		k.sentAt = o.controller.now
		o.feed.taskExited(k)
	}
	return k.forget
}

// attemptTerminated implements sessionListener.
func (o *shardOwner) attemptTerminated(a *attempt, why string) {
	o.controller.log.Debug("attempt terminated", "job", a.job.ID, "task", a.taskIndex, "attempt", a.number, "machine", a.machine.Name, "reason", why)
	o.removeAttempt(a)
	o.feed.attemptTerminated(a, why)
}

// orphanReported implements sessionListener: only the leader knows whether a task that it didn't
// tell of is to end.
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

// newerTokenSeen implements sessionListener: somebody took the shard after this owner, which will
// see it in the table.
func (o *shardOwner) newerTokenSeen(m *machine) {
	o.controller.log.Info("worker has a later fencing token", "machine", m.Name, "shard", m.shard)
	if h := o.shards[m.shard]; h != nil && !h.superseded && !m.newerTokenSeen {
		m.newerTokenSeen = true
		h.setSuperseded(true)
		o.sharding.loadTable()
		h.recheckGeneration = o.sharding.watchGeneration
	}
}

// jobRecorded implements sessionListener: of a job, the owner needs no more than its name.
func (o *shardOwner) jobRecorded(id string, _ json.RawMessage, _ bool) { o.job(id) }

// jobEnded implements sessionListener: its tasks are stopped without waiting for the leader.
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

// job gives a job by its name, known or not.
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

// addAttempt takes an attempt that the leader told of.
func (o *shardOwner) addAttempt(m *machine, r shard.Start, inherited bool) {
	a := &attempt{job: o.job(r.Job), taskIndex: r.TaskIndex, number: r.Attempt, machine: m, recorded: true, delivery: sessions.Delivery{Inherited: inherited}, stateSince: o.controller.now}
	o.track(a)
	if a.job.heldAttempts == nil {
		a.job.heldAttempts = map[*attempt]struct{}{}
	}
	a.job.heldAttempts[a] = struct{}{}
	if r.Stopping || a.job.finalState != 0 {
		o.stopAttempt(a, time.Duration(r.GraceMillis)*time.Millisecond)
		return
	}
	o.scheduleOrders(m)
}

// removeAttempt takes an attempt out of its machine.
func (o *shardOwner) removeAttempt(a *attempt) {
	if a.stopRequested {
		a.machine.stopRequestedCount--
	}
	delete(a.job.heldAttempts, a)
	o.untrack(a)
}

// stopAttempt wants an attempt ended.
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

func taskOf(m *machine, t *protocol.TaskStatus) shard.Task {
	return shard.Task{Machine: m.Name, Job: t.Job, TaskIndex: t.TaskIndex, Attempt: t.Attempt}
}
