package coordination

import (
	"time"

	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
)

// receive takes a message of an owner's.
func (sl *shardCoordinator) receive(from string, seen *shard.Observations) {
	c := sl.leader.controller
	owner := sl.channels[from]
	if owner == nil || owner.member != seen.Epoch.Member || sl.leader.phase == phaseLoading {
		return
	}
	owner.heardAt = c.now
	taken := owner.Channel.Receive(seen.Header)
	sl.applyServedTerms(owner, seen.ServedTerms)
	if taken {
		sl.applyObservations(owner, seen)
	}
	if owner.Ready() {
		sl.schedule(owner)
	}
}

// applyServedTerms notes which shards an owner serves, and tells of their machines.
func (sl *shardCoordinator) applyServedTerms(owner *ownerChannel, grants map[shard.ID]uint64) {
	for id := range owner.announcedTerms {
		if grants[id] != owner.announcedTerms[id] {
			delete(owner.announcedTerms, id)
		}
	}
	for id, term := range grants {
		ownership, ok := sl.sharding.table.Owner(id)
		if !ok || ownership.Member != owner.member || ownership.Term != term {
			continue // it speaks of an earlier time, or ahead of our watch
		}
		if _, ok := sl.ownerHeardSinceByShard[id]; !ok {
			sl.ownerHeardSinceByShard[id] = sl.leader.controller.now
		}
		if owner.announcedTerms[id] != 0 {
			continue
		}
		// The silence that another owner told of isn't this one's.
		sl.ownerHeardSinceByShard[id] = sl.leader.controller.now
		owner.announcedTerms[id] = term
		sl.reportMoveCompleted(sl.moves.Served(sl.leader.controller.now, id, owner.member.Name, sl.hasMachines))
		for _, m := range sl.leader.fleetList {
			if m.shard == id && m.inRecordedShard() {
				owner.pendingMachines[m] = true
			}
		}
		sl.schedule(owner)
	}
}

// servedMachine gives a machine that an owner may speak of: one of a shard that it serves under the
// grant that the state service shows. What an owner saw before is not taken later: its
// successor may have started what it saw missing.
func (sl *shardCoordinator) servedMachine(owner *ownerChannel, name string) *machine {
	m := sl.leader.machines[name]
	if m == nil || owner.announcedTerms[m.shard] == 0 {
		return nil
	}
	ownership, ok := sl.sharding.table.Owner(m.shard)
	if !ok || ownership.Member != owner.member || ownership.Term != owner.announcedTerms[m.shard] {
		return nil
	}
	return m
}

// applyObservations takes what an owner saw.
func (sl *shardCoordinator) applyObservations(owner *ownerChannel, seen *shard.Observations) {
	l := sl.leader
	for i := range seen.Workers {
		if m := sl.servedMachine(owner, seen.Workers[i].Machine); m != nil {
			sl.applyWorker(m, &seen.Workers[i])
		}
	}
	for i := range seen.TaskStates {
		s := &seen.TaskStates[i]
		if a := sl.reportedAttempt(owner, &s.Task); a != nil {
			a.delivery.Reported = true
			l.taskStateReported(a, s.State)
		}
	}
	for i := range seen.Exits {
		sl.applyExit(owner, &seen.Exits[i])
	}
	for i := range seen.Terminations {
		g := &seen.Terminations[i]
		if a := sl.reportedAttempt(owner, &g.Task); a != nil {
			l.detach(a, g.Reason)
		}
	}
	for i := range seen.Orphans {
		t := &seen.Orphans[i]
		if m := sl.servedMachine(owner, t.Machine); m != nil && sl.reportedAttempt(owner, t) == nil {
			owner.pending.Stops = append(owner.pending.Stops, shard.Stop{Task: *t})
			sl.schedule(owner)
		}
	}
	if seen.Status != nil {
		sl.applyStatus(owner, seen.Status)
	}
}

// reportedAttempt is the attempt that an owner speaks of, if it is on that machine for all we know.
func (sl *shardCoordinator) reportedAttempt(owner *ownerChannel, t *shard.Task) *attempt {
	m := sl.servedMachine(owner, t.Machine)
	if m == nil {
		return nil
	}
	if a := m.attempts[taskKey{t.Job, t.TaskIndex}]; a != nil && a.number == t.Attempt {
		return a
	}
	return nil
}

func (sl *shardCoordinator) applyWorker(m *machine, w *shard.Worker) {
	l, c := sl.leader, sl.leader.controller
	if m.Zone != w.Zone || m.Type != w.Type || m.Spot != w.Spot {
		m.Zone, m.Type, m.Spot = w.Zone, w.Type, w.Spot
		m.Spec = c.types[m.Type]
	}
	if w.Addr != "" && w.Addr != m.addr {
		m.addr = w.Addr
		l.addressChanged(m)
	}
	if w.Incarnation != 0 { // it was heard by this owner
		sl.applySession(m, w)
	}
}

// applySession takes what an owner that heard a worker tells of its session.
func (sl *shardCoordinator) applySession(m *machine, w *shard.Worker) {
	l, c := sl.leader, sl.leader.controller
	if !m.session.Registered {
		m.session.Registered, m.session.RegisteredAt = true, c.now
		l.workerRegistered(m)
	}
	if w.Incarnation != m.session.Incarnation {
		m.session.Incarnation = w.Incarnation
		l.incarnationBegan(m)
	}
	sl.reportMoveCompleted(sl.moves.HeartbeatReceived(m.shard))
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

func (sl *shardCoordinator) applyExit(owner *ownerChannel, e *shard.Exit) {
	m := sl.servedMachine(owner, e.Machine)
	if m == nil {
		return
	}
	t := protocol.TaskStatus{Job: e.Job, TaskIndex: e.TaskIndex, Attempt: e.Attempt, State: protocol.Exited, Reason: e.Reason, Checkpointed: e.Checkpointed}
	if sl.leader.taskExitReported(m, sl.reportedAttempt(owner, &e.Task), &t) {
		sl.forgetExit(e.Task)
		return
	}
	sl.leader.jobs[e.Job].task(e.TaskIndex).unacknowledgedExit = &e.Task // told once the result is recorded
}

// applyStatus takes how an owner's workers are: those that it doesn't name are well.
func (sl *shardCoordinator) applyStatus(owner *ownerChannel, s *shard.Status) {
	owner.status = *s
	unhealthy, complete := owner.statusParts.Add(s)
	if !complete {
		return // who is well shows once all parts are there
	}
	known, lost := 0, 0
	for _, m := range sl.leader.fleetList {
		if owner.announcedTerms[m.shard] == 0 || sl.servedMachine(owner, m.Name) == nil {
			continue
		}
		w := unhealthy[m.Name]
		if m.session.Registered {
			known++
			if w != nil && sl.isUnreachable(w) {
				lost++
			}
		}
		if w != nil {
			sl.workerUnhealthy(m, w)
		} else if m.session.Registered {
			sl.workerHealthy(m)
		}
	}
	owner.partitioned = shard.Partitioned(known, lost)
	sl.updateAlternatives(owner)
	if owner.partitioned {
		sl.plan()
	}
}

// isUnreachable reports whether an owner doesn't reach a worker, or its heartbeats don't reach the owner.
func (sl *shardCoordinator) isUnreachable(w *shard.UnhealthyWorker) bool {
	return w.FailedProbes >= sessions.UnreachableProbeThreshold || millis(w.UnansweredMillis) > sl.leader.controller.maxUnanswered()
}

func (sl *shardCoordinator) workerHealthy(m *machine) {
	now := sl.leader.controller.now
	m.session.LastSeen, m.session.LastAnswered, m.session.FailedProbes = now, now, 0
	if !m.session.LastReached.IsZero() {
		sl.leader.workerReached(m)
		m.session.LastReached = now
	}
}

func (sl *shardCoordinator) workerUnhealthy(m *machine, w *shard.UnhealthyWorker) {
	now := sl.leader.controller.now
	m.session.FailedProbes = w.FailedProbes
	if m.session.Registered {
		m.session.LastSeen = now.Add(-millis(w.SilentMillis))
		m.session.LastAnswered = now.Add(-millis(w.UnansweredMillis))
		if !m.session.LastReached.IsZero() {
			m.session.LastReached = now.Add(-millis(w.UnreachedMillis))
		}
	}
	if w.FailedProbes > 0 {
		sl.leader.probeFailed(m)
	}
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
