package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

// releaseState is how far the return of a machine to the cloud has come.
type releaseState uint8

const (
	notReleased releaseState = iota
	// releaseRevocable: wanted for the machine's silence alone, and no call for it can have
	// been carried out. The machine is taken back if it is heard.
	releaseRevocable
	// releaseFinal: wanted, and never taken back.
	releaseFinal
)

// lifecycle is where a machine stands between its start and the proof that it is gone. A
// machine that drains takes nothing more and is released once it is empty; release asks the
// cloud to take it, whatever runs on it. One that drains is never taken back.
type lifecycle struct {
	draining        bool
	release         releaseState
	releaseInFlight bool      // the call awaits its answer
	releaseSentAt   time.Time // when it was last made
	preemptionAt    time.Time // when the cloud takes the machine by itself; zero without notice
	unlistedSince   time.Time // since when inventories that should show it don't; zero: they do
}

// inService reports whether the machine is neither draining nor being released.
func (c *lifecycle) inService() bool { return !c.draining && c.release == notReleased }

// releasing reports whether the machine's release is wanted.
func (c *lifecycle) releasing() bool { return c.release != notReleased }

// preemptionNoticed reports whether the cloud said that it will take the machine.
func (c *lifecycle) preemptionNoticed() bool { return !c.preemptionAt.IsZero() }

// beginRelease begins a release, and reports whether none was wanted before.
func (c *lifecycle) beginRelease(revocable bool) bool {
	if c.releasing() {
		return false
	}
	c.release = releaseFinal
	if revocable {
		c.release = releaseRevocable
	}
	return true
}

// releaseCallSent notes that the cloud is being asked.
func (c *lifecycle) releaseCallSent(now time.Time) {
	c.releaseSentAt, c.releaseInFlight = now, true
}

// releaseCallEnded notes that the call is over. Unless the cloud refused it, it may have been
// carried out.
func (c *lifecycle) releaseCallEnded(refused bool) {
	c.releaseInFlight = false
	if c.release == releaseRevocable && !refused {
		c.release = releaseFinal
	}
}

// revoke takes a release back if it can't have been carried out, and reports whether it did.
func (c *lifecycle) revoke() bool {
	if c.release != releaseRevocable || c.releaseInFlight || c.draining {
		return false
	}
	c.release = notReleased
	return true
}

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
