package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

// The leader's implementation of sessionListener.

// workerRegistered implements sessionListener.
func (l *leader) workerRegistered(*machine) { l.requestPlacement() }

// workerRestarted implements sessionListener.
func (l *leader) workerRestarted(m *machine) {
	m.Images.Reset()
	l.rebalancer.workerRestarted(m)
}

// addressChanged implements sessionListener.
func (l *leader) addressChanged(m *machine) { l.writer.scheduleGroupRewrite(m.group) }

// preemptionNoticed implements sessionListener.
func (l *leader) preemptionNoticed(m *machine) { l.drainForPreemption(m) }

// tasksReconciled implements sessionListener.
func (l *leader) tasksReconciled(*machine) { l.checkReconciled() }

// workerReached implements sessionListener.
func (l *leader) workerReached(m *machine) {
	l.revokeRelease(m)
	if m.session.LastReached.IsZero() {
		l.requestPlacement()
		l.checkReconciled()
	}
}

// probeFailed implements sessionListener.
func (l *leader) probeFailed(*machine) { l.checkReconciled() }

// incarnationReset implements sessionListener. The worker's messages can no longer be ordered by
// their incarnation and sequence numbers, so the machine is released.
func (l *leader) incarnationReset(m *machine) {
	m.lifecycle.draining = true
	l.release(m, "worker incarnation reset")
}

// taskStateReported implements sessionListener.
func (l *leader) taskStateReported(a *attempt, s protocol.TaskState) {
	m := a.machine
	if s == protocol.Running && a.state != protocol.Running {
		m.Images.Add(a.job.imageID, a.job.ImageGB, m.CacheGB())
	}
	l.setTaskState(a, s)
}

// attemptTerminated implements sessionListener.
func (l *leader) attemptTerminated(a *attempt, reason string) { l.detach(a, reason) }

// orphanReported implements sessionListener. No attempt at the task is recorded on this machine, or
// none any longer, so the task is stopped.
func (l *leader) orphanReported(*machine, *protocol.TaskStatus) bool { return true }

// newerTokenSeen implements sessionListener.
func (l *leader) newerTokenSeen(*machine) {
	l.controller.election.StepDown("a worker has seen a later term")
}

// taskExitReported implements sessionListener. An exit with the reason ExitDone completes the task,
// even if the attempt isn't known any longer.
func (l *leader) taskExitReported(m *machine, a *attempt, t *protocol.TaskStatus) bool {
	j := l.jobs[t.Job]
	done := t.Reason == protocol.ExitDone && j != nil && t.TaskIndex < j.Tasks
	if done {
		if a != nil && a.state != 0 {
			m.Images.Add(j.imageID, j.ImageGB, m.CacheGB())
		}
		clear(m.failuresByJob)
		if a != nil {
			l.observeRunTime(a)
		}
		l.taskDone(j, t.TaskIndex)
	}
	if a != nil {
		l.attemptExited(m, a, t)
	}
	// The worker may forget a completed task only once its result is recorded.
	return !done || j.finalState != 0 || j.task(t.TaskIndex).doneRecorded
}

// After a worker refused a start, tasks of the job aren't placed for refusedStartBackoff. Placement
// runs again after refusedStartRetry, which is a little longer.
const (
	refusedStartBackoff = 500 * time.Millisecond
	refusedStartRetry   = 510 * time.Millisecond
)

// attemptExited detaches an attempt whose worker reported the task's exit. A failed attempt and a
// refused start delay further placements of the job.
func (l *leader) attemptExited(m *machine, a *attempt, t *protocol.TaskStatus) {
	switch t.Reason {
	case protocol.ExitError:
		l.attemptFailed(m, a)
	case protocol.ExitNoCapacity, protocol.ExitAlreadyRunning, protocol.ExitUnknownTask:
		l.controller.logSampled("task start refused", "machine", m.Name, "job", t.Job, "task", t.TaskIndex, "reason", t.Reason)
		a.job.backoffUntil = l.controller.now.Add(refusedStartBackoff)
		l.controller.after(refusedStartRetry, func() {
			if l.alive() {
				l.requestPlacement()
			}
		})
	}
	l.detach(a, "exited")
}
