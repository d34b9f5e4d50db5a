package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
)

// attach makes an attempt the live one of its task. Until detach, it counts toward its machine's
// allocation, its team's usage and its job's zones.
func (l *leader) attach(a *attempt) {
	j, m := a.job, a.machine
	j.task(a.taskIndex).live = a
	j.liveAttempts++
	j.attemptsByZone[m.Zone]++
	l.track(a)
	l.rebalancer.attemptAttached(a)
	m.NeededImages.Add(j.imageID, 1)
	m.Allocated = m.Allocated.Plus(placement.Needs(j.Job))
	if !j.AllowSpot {
		m.onDemandCPUs += j.CPUs
	}
	m.cpusByPriority[j.Priority] += j.CPUs
	if a.stopRequested {
		l.adjustStoppingTotals(a, 1)
	}
	if j.Kind == protocol.Service {
		m.ReplicaCPUs += j.CPUs
		m.replicaCount++
	}
	u := l.teamUsage[j.Team]
	if u == nil {
		u = &usage{}
		l.teamUsage[j.Team] = u
	}
	u.cpus += j.CPUs
	u.gpus += j.GPUs
}

// detach undoes attach, and queues the task to be started again unless the task is done or its job
// has ended. It must be called only on proof that the attempt has terminated and can no longer be
// started.
func (l *leader) detach(a *attempt, reason string) {
	j, m := a.job, a.machine
	t := j.task(a.taskIndex)
	if t.live != a {
		return
	}
	l.controller.log.Debug("attempt terminated", "job", j.ID, "task", a.taskIndex, "attempt", a.number, "machine", m.Name, "reason", reason)
	l.rebalancer.attemptDetached(a)
	l.setTaskState(a, 0)
	t.live = nil
	j.liveAttempts--
	if j.attemptsByZone[m.Zone]--; j.attemptsByZone[m.Zone] == 0 {
		delete(j.attemptsByZone, m.Zone)
	}
	l.untrack(a)
	m.NeededImages.Add(j.imageID, -1)
	if a.stopRequested {
		l.adjustStoppingTotals(a, -1)
	}
	m.Allocated = m.Allocated.Minus(placement.Needs(j.Job))
	m.cpusByPriority[j.Priority] -= j.CPUs
	if !j.AllowSpot {
		m.onDemandCPUs -= j.CPUs
	}
	if j.Kind == protocol.Service {
		m.ReplicaCPUs -= j.CPUs
		m.replicaCount--
	}
	if len(m.attempts) == 0 {
		m.Allocated, m.Terminating, m.ReplicaCPUs, m.onDemandCPUs = placement.Resources{}, placement.Resources{}, 0, 0 // discards accumulated rounding errors
		m.cpusByPriority = [protocol.Critical + 1]float64{}
		m.emptySince = l.controller.now
	}
	u := l.teamUsage[j.Team]
	u.cpus -= j.CPUs
	u.gpus -= j.GPUs
	if j.finalState == 0 && !t.done {
		j.retryQueue = append(j.retryQueue, a.taskIndex)
	}
	l.rebalancer.migrationStopped(a)
	if j.finalState == 0 {
		l.writer.markLazy(j.block(a.taskIndex))
	}
	l.finalizeJobIfComplete(j)
	l.requestPlacement()
}

// setTaskState sets an attempt's state as its worker reported it; 0 if the attempt has terminated.
func (l *leader) setTaskState(a *attempt, s protocol.TaskState) {
	if a.state == s {
		return
	}
	if a.state == protocol.Running {
		a.job.runningTasks--
	}
	if s == protocol.Running {
		l.taskStartedRunning(a.job)
		l.rebalancer.attemptStartedRunning(a)
		if !a.delivery.Inherited {
			l.controller.log.Debug("task running", "job", a.job.ID, "task", a.taskIndex, "attempt", a.number, "machine", a.machine.Name,
				"within", a.job.withinQuota(), "placed", l.controller.now.Sub(a.placedAt), "age", l.controller.now.Round(0).Sub(a.job.submitted))
		}
	}
	a.state, a.stateSince = s, l.controller.now
}

// taskDone marks a task as completed, whichever of its attempts completed it. A replica of a service
// is never done: it is started again when it exits.
func (l *leader) taskDone(j *job, i int) {
	t := j.task(i)
	if t.done || j.Kind == protocol.Service {
		return
	}
	t.done = true
	j.doneTasks++
	j.history.RecordSuccess()
	if t.live != nil {
		l.stopAttempt(t.live, 0)
	} else if k := slices.Index(j.retryQueue, i); k >= 0 {
		j.retryQueue = slices.Delete(j.retryQueue, k, k+1)
	}
	l.writer.markLazy(j.block(i))
	l.finalizeJobIfComplete(j)
}

// finalizeJobIfComplete records the outcome of a job whose tasks are all done, and deletes the
// records of a finished job that has no live attempts. It does nothing while records are being
// loaded, since tasks and attempts may not be known yet.
func (l *leader) finalizeJobIfComplete(j *job) {
	if l.phase == phaseLoading {
		return
	}
	if j.finalState == 0 && !j.finishing && j.Kind != protocol.Service && j.doneTasks == j.Tasks {
		j.finishing = true
		l.writer.recordDone(j)
	}
	if j.finalState != 0 && j.liveAttempts == 0 && !j.deleting {
		j.deleting = true
		l.writer.deleteJob(j)
	}
}

// endJob applies a recorded outcome: no further task of the job is started, and live attempts
// are stopped.
func (l *leader) endJob(j *job, s protocol.JobState) {
	if j.finalState != 0 {
		return
	}
	j.finalState = s
	l.controller.log.Debug("job finished", "job", j.ID, "cancelled", s == protocol.Cancelled, "done", j.doneTasks, "live", j.liveAttempts)
	j.retryQueue = nil
	j.firstUnstarted = j.Tasks
	for _, block := range j.blocks {
		if block == nil {
			continue
		}
		for i := range block.tasks {
			if a := block.tasks[i].live; a != nil {
				l.stopAttempt(a, 0)
			}
		}
	}
	l.finalizeJobIfComplete(j)
	l.requestPlacement()
}

// forgetJob drops a job whose records were deleted.
func (l *leader) forgetJob(j *job) {
	delete(l.jobs, j.ID)
	if i := slices.Index(l.jobsByAge, j); i >= 0 {
		l.jobsByAge = slices.Delete(l.jobsByAge, i, i+1)
	}
}

// stopAttempt requests that an attempt stop, with a grace period in which it may save its state.
// A later request may only shorten the grace period. An attempt whose start was never sent
// terminates at once, unless a write of its placement may be in flight.
func (l *leader) stopAttempt(a *attempt, grace time.Duration) {
	if a.stopRequested && a.stopGrace <= grace {
		return
	}
	if !a.stopRequested {
		a.stopRequested = true
		l.adjustStoppingTotals(a, 1)
	}
	a.stopGrace, a.stopSentAt = grace, time.Time{}
	if a.delivery.NeverSent() && !l.writeInFlight(a) {
		l.detach(a, "never sent")
		return
	}
	l.scheduleAttemptOrders(a)
}

// writeInFlight reports whether a write that contains the attempt's placement may be in flight.
// The result of the write then decides what happens to the attempt.
func (l *leader) writeInFlight(a *attempt) bool {
	return !a.recorded && a.job.block(a.taskIndex).record.InFlight()
}

// adjustStoppingTotals adds an attempt to the totals of attempts whose stop was requested (delta 1)
// or removes it (delta -1). The search for preemption victims uses the totals of a machine or a
// team for every job and task. Recomputing them each time took a leader with thousands of pending
// tasks seconds at a time, longer than its lease.
func (l *leader) adjustStoppingTotals(a *attempt, delta int) {
	j, m, sign := a.job, a.machine, float64(delta)
	m.stopRequestedCount += delta
	if delta > 0 {
		m.Terminating = m.Terminating.Plus(placement.Needs(j.Job))
	} else {
		m.Terminating = m.Terminating.Minus(placement.Needs(j.Job))
	}
	s := l.stoppingUsage[j.Team]
	s.cpus += sign * j.CPUs
	s.gpus += sign * j.GPUs
	l.stoppingUsage[j.Team] = s
}

type task struct {
	lastAttemptNumber  uint64 // the highest number used so far; 0: never started
	live               *attempt
	done               bool
	doneRecorded       bool             // its completion is in the state service
	unacknowledgedExit *shard.AttemptID // acknowledged to the shard's owner once the completion is recorded
	migratedInSurge    uint64           // number of the surge in which it was migrated; 0: none
}

// attempt is one attempt to run a task on a machine. It is live until it is proven terminated.
type attempt struct {
	job       *job
	taskIndex int
	number    uint64
	machine   *machine
	placedAt  time.Time

	recorded   bool // the placement is in the state service, so the start may be sent
	delivery   sessions.Delivery
	state      protocol.TaskState
	stateSince time.Time

	stopRequested bool
	stopGrace     time.Duration // time that it gets to save its state when it is stopped
	stopSentAt    time.Time     // when a stop with stopGrace was sent by a call; zero if none was

	listIndex        int    // index in its machine's attemptList
	lastListedStatus uint64 // statusCount at the latest worker status that listed it
}

type taskKey struct {
	job  string
	task int
}
