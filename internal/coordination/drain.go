package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

// drainMachine takes a machine out of use.
func (l *leader) drainMachine(m *machine) {
	if m.lifecycle.draining {
		return
	}
	m.lifecycle.draining = true
	for _, a := range m.sortedAttempts() {
		l.stopAttempt(a, l.checkpointGrace(a))
	}
}

// drainForPreemption saves what can be saved on a machine that will be taken. Tasks
// that can't save go on: they may still complete.
func (l *leader) drainForPreemption(m *machine) {
	for _, a := range m.sortedAttempts() {
		if a.job.CheckpointInterval > 0 {
			l.stopAttempt(a, l.checkpointGrace(a))
		} else if a.job.Kind == protocol.Service {
			l.stopAttempt(a, 0)
		}
	}
}

// checkpointGrace is the time a stopped attempt needs to save.
func (l *leader) checkpointGrace(a *attempt) time.Duration {
	if a.job.CheckpointInterval == 0 || a.state != protocol.Running {
		return 0
	}
	return a.job.CheckpointDuration + 100*time.Millisecond
}
