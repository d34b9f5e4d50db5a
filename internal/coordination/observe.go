package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

// What a leader makes of what workers show.

// machineUp implements observer.
func (l *leader) machineUp(*machine) { l.askPlace() }

// sessionBegan implements observer.
func (l *leader) sessionBegan(m *machine) {
	m.Images.Reset()
	l.balance.sessionBegan(m)
}

// addressChanged implements observer.
func (l *leader) addressChanged(m *machine) { l.journal.changeGroup(m.group) }

// noticeCame implements observer.
func (l *leader) noticeCame(m *machine) { l.drainNoticed(m) }

// tasksCompared implements observer.
func (l *leader) tasksCompared(*machine) { l.checkHeard() }

// machineReached implements observer.
func (l *leader) machineReached(m *machine) {
	l.keep(m)
	if m.reached.IsZero() {
		l.askPlace()
		l.checkHeard()
	}
}

// probeFailed implements observer.
func (l *leader) probeFailed(*machine) { l.checkHeard() }

// beganAnew implements observer: the worker's sessions and numbers say no more which of
// its messages is the newer one.
func (l *leader) beganAnew(m *machine) {
	m.draining = true
	l.release(m, "its worker began anew")
}

// stateReported implements observer.
func (l *leader) stateReported(a *attempt, s protocol.TaskState) {
	m := a.machine
	if s == protocol.Running && a.state != protocol.Running {
		m.Images.Add(a.job.image, a.job.ImageGB, m.CacheGB())
	}
	l.setState(a, s)
}

// attemptGone implements observer.
func (l *leader) attemptGone(a *attempt, why string) { l.detach(a, why) }

// strayReported implements observer: not a task of ours on this machine, or not any more.
func (l *leader) strayReported(*machine, *protocol.TaskReport) bool { return true }

// laterToken implements observer.
func (l *leader) laterToken(*machine) { l.controller.stepDown("a worker has seen a later term") }

// checkHeard ends the new leader's wait once nobody is left to be heard.
func (l *leader) checkHeard() {
	if l.phase != settling {
		return
	}
	if l.checkAsked {
		return
	}
	l.checkAsked = true
	l.controller.after(10*time.Millisecond, func() {
		l.checkAsked = false
		if l.alive() && l.phase == settling && l.enoughHeard() {
			l.activate()
		}
	})
}

// exitReported implements observer.
func (l *leader) exitReported(m *machine, a *attempt, t *protocol.TaskReport) bool {
	j := l.jobs[t.Job]
	if t.Why == protocol.ExitDone && j != nil && t.Index < j.Tasks {
		if a != nil && a.state != 0 {
			m.Images.Add(j.image, j.ImageGB, m.CacheGB())
		}
		clear(m.failures)
		if a != nil {
			l.learn(a)
		}
		l.taskDone(j, t.Index)
	}
	if a != nil {
		if t.Why == protocol.ExitError {
			l.failed(m, a)
		}
		if t.Why == protocol.ExitNoRoom || t.Why == protocol.ExitBusy || t.Why == protocol.ExitUnknown {
			l.controller.logEach("start refused", "machine", m.Name, "job", t.Job, "task", t.Index, "why", t.Why)
			j.notBefore = l.controller.now.Add(500 * time.Millisecond)
			l.controller.after(510*time.Millisecond, func() {
				if l.alive() {
					l.askPlace()
				}
			})
		}
		l.detach(a, "exited")
	}
	// A result is recorded before the worker forgets it.
	if t.Why == protocol.ExitDone && j != nil && t.Index < j.Tasks && j.outcome == 0 && !j.task(t.Index).saved {
		return false
	}
	return true
}
