package coordination

import (
	"time"

	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
)

// receive applies a message of an owner.
func (sc *shardCoordinator) receive(from string, observations *shard.Observations) {
	c := sc.leader.controller
	owner := sc.channels[from]
	if owner == nil || owner.member != observations.Epoch.Member || sc.leader.phase == phaseLoading {
		return
	}
	owner.lastReceivedAt = c.now
	accepted := owner.Channel.Receive(observations.Header)
	sc.applyServedTerms(owner, observations.ServedTerms)
	if accepted {
		sc.applyObservations(owner, observations)
	}
	if owner.Ready() {
		sc.schedule(owner)
	}
}

// applyServedTerms updates which shards an owner serves, and queues the machines of newly announced
// ones to be sent to it.
func (sc *shardCoordinator) applyServedTerms(owner *ownerChannel, servedTerms map[shard.ID]uint64) {
	for id := range owner.announcedTerms {
		if servedTerms[id] != owner.announcedTerms[id] {
			delete(owner.announcedTerms, id)
		}
	}
	for id, term := range servedTerms {
		ownership, ok := sc.sharding.table.Owner(id)
		if !ok || ownership.Member != owner.member || ownership.Term != term {
			continue // an earlier ownership, or one that the watch hasn't shown yet
		}
		if _, ok := sc.ownerContactSinceByShard[id]; !ok {
			sc.ownerContactSinceByShard[id] = sc.leader.controller.now
		}
		if owner.announcedTerms[id] != 0 {
			continue
		}
		// Time without contact that a previous owner reported doesn't count for this one.
		sc.ownerContactSinceByShard[id] = sc.leader.controller.now
		owner.announcedTerms[id] = term
		sc.reportMoveCompleted(sc.moves.Served(sc.leader.controller.now, id, owner.member.Name, sc.hasMachines))
		for _, m := range sc.leader.fleetList {
			if m.shard == id && m.inRecordedShard() {
				owner.pendingMachines[m] = true
			}
		}
		sc.schedule(owner)
	}
}

// servedMachine returns a machine if an owner may report on it, that is, if the owner serves the
// machine's shard under the ownership recorded in the state service; otherwise nil. So late
// observations of a previous owner are dropped: the current owner may have started an attempt that
// the previous one reported as terminated.
func (sc *shardCoordinator) servedMachine(owner *ownerChannel, name string) *machine {
	m := sc.leader.machines[name]
	if m == nil || owner.announcedTerms[m.shard] == 0 {
		return nil
	}
	ownership, ok := sc.sharding.table.Owner(m.shard)
	if !ok || ownership.Member != owner.member || ownership.Term != owner.announcedTerms[m.shard] {
		return nil
	}
	return m
}

// applyObservations applies what an owner observed of its workers and their tasks.
func (sc *shardCoordinator) applyObservations(owner *ownerChannel, observations *shard.Observations) {
	l := sc.leader
	for i := range observations.Workers {
		if m := sc.servedMachine(owner, observations.Workers[i].Machine); m != nil {
			sc.applyWorker(m, &observations.Workers[i])
		}
	}
	for i := range observations.TaskStates {
		s := &observations.TaskStates[i]
		if a := sc.reportedAttempt(owner, &s.AttemptID); a != nil {
			a.delivery.Reported = true
			l.taskStateReported(a, s.State)
		}
	}
	for i := range observations.Exits {
		sc.applyExit(owner, &observations.Exits[i])
	}
	for i := range observations.Terminations {
		termination := &observations.Terminations[i]
		if a := sc.reportedAttempt(owner, &termination.AttemptID); a != nil {
			l.detach(a, termination.Reason)
		}
	}
	for i := range observations.Orphans {
		t := &observations.Orphans[i]
		if m := sc.servedMachine(owner, t.Machine); m != nil && sc.reportedAttempt(owner, t) == nil {
			owner.pending.Stops = append(owner.pending.Stops, shard.Stop{AttemptID: *t})
			sc.schedule(owner)
		}
	}
	if observations.Status != nil {
		sc.applyStatus(owner, observations.Status)
	}
}

// reportedAttempt returns the attempt that an owner reports on, or nil if the leader has no such
// attempt on that machine or the owner doesn't serve the machine.
func (sc *shardCoordinator) reportedAttempt(owner *ownerChannel, t *shard.AttemptID) *attempt {
	m := sc.servedMachine(owner, t.Machine)
	if m == nil {
		return nil
	}
	if a := m.attempts[taskKey{t.Job, t.TaskIndex}]; a != nil && a.number == t.Attempt {
		return a
	}
	return nil
}

// applyWorker applies what an owner reports of a machine's worker.
func (sc *shardCoordinator) applyWorker(m *machine, w *shard.Worker) {
	l, c := sc.leader, sc.leader.controller
	if m.Zone != w.Zone || m.Type != w.Type || m.Spot != w.Spot {
		m.Zone, m.Type, m.Spot = w.Zone, w.Type, w.Spot
		m.Spec = c.types[m.Type]
	}
	if w.Addr != "" && w.Addr != m.addr {
		m.addr = w.Addr
		l.addressChanged(m)
	}
	if w.Incarnation != 0 { // the worker is registered with this owner
		sc.applySession(m, w)
	}
}

// applySession applies what an owner reports of the session of a worker registered with it.
func (sc *shardCoordinator) applySession(m *machine, w *shard.Worker) {
	l, c := sc.leader, sc.leader.controller
	if !m.session.Registered {
		m.session.Registered, m.session.RegisteredAt = true, c.now
		l.workerRegistered(m)
	}
	if w.Incarnation != m.session.Incarnation {
		m.session.Incarnation = w.Incarnation
		l.workerRestarted(m)
	}
	sc.reportMoveCompleted(sc.moves.HeartbeatReceived(m.shard))
	m.session.LastSeen, m.session.LastAnswered = c.now, c.now
	if w.Reached {
		l.workerReached(m)
		m.session.LastReached = c.now
	}
	if w.PreemptionMillis > 0 && !m.lifecycle.preemptionNoticed() {
		m.lifecycle.preemptionAt = c.now.Add(time.Duration(w.PreemptionMillis) * time.Millisecond)
		l.preemptionNoticed(m)
	}
	if w.Reconciled && !m.session.Reconciled {
		m.session.Reconciled = true
		l.tasksReconciled(m)
	}
	if w.IncarnationReset && !m.lifecycle.draining {
		l.incarnationReset(m)
	}
}

// applyExit applies the exit of a task. The owner is notified that the worker may forget the task at
// once or, for a completed task, when its result is recorded.
func (sc *shardCoordinator) applyExit(owner *ownerChannel, e *shard.Exit) {
	m := sc.servedMachine(owner, e.Machine)
	if m == nil {
		return
	}
	t := protocol.TaskStatus{Job: e.Job, TaskIndex: e.TaskIndex, Attempt: e.Attempt, State: protocol.Exited, Reason: e.Reason, Checkpointed: e.Checkpointed}
	if sc.leader.taskExitReported(m, sc.reportedAttempt(owner, &e.AttemptID), &t) {
		sc.forgetExit(e.AttemptID)
		return
	}
	sc.leader.jobs[e.Job].task(e.TaskIndex).unacknowledgedExit = &e.AttemptID // acknowledged once the result is recorded
}

// applyStatus applies an owner's status. Workers that it doesn't list are healthy.
func (sc *shardCoordinator) applyStatus(owner *ownerChannel, s *shard.Status) {
	owner.status = *s
	unhealthy, complete := owner.statusParts.Add(s)
	if !complete {
		return // which workers are healthy is known only once all parts have arrived
	}
	known, lost := 0, 0
	for _, m := range sc.leader.fleetList {
		if owner.announcedTerms[m.shard] == 0 || sc.servedMachine(owner, m.Name) == nil {
			continue
		}
		w := unhealthy[m.Name]
		if m.session.Registered {
			known++
			if w != nil && sc.isUnreachable(w) {
				lost++
			}
		}
		if w != nil {
			sc.workerUnhealthy(m, w)
		} else if m.session.Registered {
			sc.workerHealthy(m)
		}
	}
	owner.partitioned = shard.Partitioned(known, lost)
	sc.updateAlternatives(owner)
	if owner.partitioned {
		sc.plan()
	}
}

// isUnreachable reports whether an owner lost contact with a worker: several consecutive probes
// failed, or no heartbeat of the worker has been answered for longer than maxUnanswered.
func (sc *shardCoordinator) isUnreachable(w *shard.UnhealthyWorker) bool {
	return w.FailedProbes >= sessions.UnreachableProbeThreshold || millis(w.UnansweredMillis) > sc.leader.controller.maxUnanswered()
}

// workerHealthy records that a worker is in contact with its owner.
func (sc *shardCoordinator) workerHealthy(m *machine) {
	now := sc.leader.controller.now
	m.session.LastSeen, m.session.LastAnswered, m.session.FailedProbes = now, now, 0
	if !m.session.LastReached.IsZero() {
		sc.leader.workerReached(m)
		m.session.LastReached = now
	}
}

// workerUnhealthy records how long a worker has been out of contact with its owner.
func (sc *shardCoordinator) workerUnhealthy(m *machine, w *shard.UnhealthyWorker) {
	now := sc.leader.controller.now
	m.session.FailedProbes = w.FailedProbes
	if m.session.Registered {
		m.session.LastSeen = now.Add(-millis(w.UnseenMillis))
		m.session.LastAnswered = now.Add(-millis(w.UnansweredMillis))
		if !m.session.LastReached.IsZero() {
			m.session.LastReached = now.Add(-millis(w.UnreachedMillis))
		}
	}
	if w.FailedProbes > 0 {
		sc.leader.probeFailed(m)
	}
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
