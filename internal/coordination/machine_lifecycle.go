package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

// releaseState is the progress of a machine's release, which returns the machine to the cloud.
type releaseState uint8

const (
	notReleased releaseState = iota
	// releaseRevocable: requested only because the machine is unresponsive, and the cloud
	// can't have carried out a call for it yet. The release is revoked if the worker is
	// reached again.
	releaseRevocable
	// releaseFinal: requested, and never revoked.
	releaseFinal
)

// lifecycle is the state of a machine from when it is provisioned until it is proven terminated. A
// draining machine gets no new tasks and is released once it is empty. A release is carried out even
// if tasks run on the machine. The release of a draining machine is never revoked.
type lifecycle struct {
	draining        bool
	release         releaseState
	releaseInFlight bool      // a release call awaits its response
	releaseSentAt   time.Time // when the latest release call was made
	preemptionAt    time.Time // when the cloud preempts the machine; zero without a notice
	unlistedSince   time.Time // since when inventories that should list it don't; zero if they do
}

// inService reports whether the machine is neither draining nor being released.
func (c *lifecycle) inService() bool { return !c.draining && c.release == notReleased }

// releasing reports whether the machine's release was requested.
func (c *lifecycle) releasing() bool { return c.release != notReleased }

// preemptionNoticed reports whether the cloud announced that it will preempt the machine.
func (c *lifecycle) preemptionNoticed() bool { return !c.preemptionAt.IsZero() }

// beginRelease requests a release, and reports whether none was requested before.
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

// releaseCallSent records that a release call is in flight.
func (c *lifecycle) releaseCallSent(now time.Time) {
	c.releaseSentAt, c.releaseInFlight = now, true
}

// releaseCallEnded records the end of the release call. Unless the cloud refused the call, it
// may have been carried out, so the release becomes final.
func (c *lifecycle) releaseCallEnded(refused bool) {
	c.releaseInFlight = false
	if c.release == releaseRevocable && !refused {
		c.release = releaseFinal
	}
}

// revoke cancels a release that can't have been carried out, and reports whether it did.
func (c *lifecycle) revoke() bool {
	if c.release != releaseRevocable || c.releaseInFlight || c.draining {
		return false
	}
	c.release = notReleased
	return true
}

// drainMachine stops all tasks on a machine and keeps it from getting new ones.
func (l *leader) drainMachine(m *machine) {
	if m.lifecycle.draining {
		return
	}
	m.lifecycle.draining = true
	for _, a := range m.sortedAttempts() {
		l.stopAttempt(a, l.checkpointGrace(a))
	}
}

// drainForPreemption stops the tasks that can save a checkpoint, and service replicas, on a
// machine that the cloud will preempt. Batch and gang tasks without checkpoints continue to run: they
// may complete before the preemption.
func (l *leader) drainForPreemption(m *machine) {
	for _, a := range m.sortedAttempts() {
		if a.job.CheckpointInterval > 0 {
			l.stopAttempt(a, l.checkpointGrace(a))
		} else if a.job.Kind == protocol.Service {
			l.stopAttempt(a, 0)
		}
	}
}

// checkpointGrace is the time that an attempt gets to save a checkpoint when it is stopped: the
// duration of a checkpoint and a margin of 100 ms. It is zero if the attempt isn't running or its job
// saves no checkpoints.
func (l *leader) checkpointGrace(a *attempt) time.Duration {
	if a.job.CheckpointInterval == 0 || a.state != protocol.Running {
		return 0
	}
	return a.job.CheckpointDuration + 100*time.Millisecond
}
