package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

// drain takes a machine out of use.
func (l *leader) drain(m *machine) {
	if m.draining {
		return
	}
	m.draining = true
	for _, a := range m.sorted() {
		l.stopAttempt(a, l.saveGrace(a))
	}
}

// drainNoticed saves what can be saved on a machine that will be taken. Tasks
// that can't save go on: they may still complete.
func (l *leader) drainNoticed(m *machine) {
	for _, a := range m.sorted() {
		if a.job.Checkpoint > 0 {
			l.stopAttempt(a, l.saveGrace(a))
		} else if a.job.Kind == protocol.Service {
			l.stopAttempt(a, 0)
		}
	}
}

// saveGrace is the time a stopped attempt needs to save.
func (l *leader) saveGrace(a *attempt) time.Duration {
	if a.job.Checkpoint == 0 || a.state != protocol.Running {
		return 0
	}
	return a.job.Save + 100*time.Millisecond
}
