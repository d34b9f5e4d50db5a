// Package quarantine tells jobs that fail everywhere from machines that fail every job, and
// says how long either is held back.
//
// Jobs are submitted with a mistake and fail on every machine; machines turn faulty and fail
// every job. What tells them apart is a job that is known to work: one of which a task is done,
// or runs. Counting jobs alone, two with a mistake that met on a machine cost it, and each new
// leader returned some.
//
// The package owns the history of a job's failures. It reads no clock, and never stops, places
// or returns anything itself.
package quarantine

import "time"

const (
	// MinRunTime is how long tasks of a job must run for the job to be taken for one that
	// works.
	MinRunTime = 3 * time.Second
	// MinTimeSinceFailure is how long none of them may have broken off meanwhile: a service is never
	// done, and a faulty machine may have ended one of its replicas.
	MinTimeSinceFailure = 30 * time.Second
	// failureThreshold without a success in between, on MachineThreshold, put a job into quarantine.
	failureThreshold = 4
	// MachineThreshold is the number of machines that saw failures of a job from which on the job,
	// not the machines, is taken for the cause.
	MachineThreshold = 3
	// A job in quarantine is tried with one task at a time, after pauses that double from
	// trialBackoff to MaxTrialBackoff.
	trialBackoff = 500 * time.Millisecond
	// MaxTrialBackoff is the longest pause between two trials.
	MaxTrialBackoff     = 30 * time.Second
	maxBackoffDoublings = 8
	// multiMachineBackoff is the pause after a failure of a job that isn't in quarantine, though many
	// machines saw failures of it.
	multiMachineBackoff = 250 * time.Millisecond
)

// State is what is held of a job, by its history and its progress.
type State uint8

// States of a job. A new one is Untested.
//
//	Untested    -> Working      a task is done, or has run for MinRunTime unbroken
//	Untested    -> Quarantined  failureThreshold on MachineThreshold, or on the whole of a smaller fleet
//	Quarantined -> Working      a trial succeeds
//	Quarantined -> Untested     the fleet has grown beyond the machines that saw the failures
//	Working     -> Untested     nothing runs any more, or a task broke off, and none is done
const (
	Untested State = iota
	Working
	Quarantined
)

// Progress is how far a job is.
type Progress struct {
	DoneTasks    int
	RunningTasks int
}

// History is what is remembered of a job's failures. The zero value is that of a new job.
type History struct {
	failures       int       // since the last success
	trials         int       // of them, single tasks tried in quarantine
	lastRunFailure time.Time // when a task last failed after it had run; zero: never
	runningSince   time.Time // when the first of the tasks that run began
	machines       map[string]struct{}
}

// Failures is the number of failures since the last success.
func (h *History) Failures() int { return h.failures }

// Machines is the number of machines that ever saw a failure.
func (h *History) Machines() int { return len(h.machines) }

// KnownWorking reports whether the job is known to work on some machine.
func (h *History) KnownWorking(now time.Time, p Progress) bool {
	return p.DoneTasks > 0 || p.RunningTasks > 0 && now.Sub(h.runningSince) >= MinRunTime &&
		(h.lastRunFailure.IsZero() || now.Sub(h.lastRunFailure) >= MinTimeSinceFailure)
}

// State is the job's state in a fleet of some machines.
func (h *History) State(now time.Time, p Progress, fleet int) State {
	switch {
	case h.KnownWorking(now, p):
		return Working
	case h.failures >= failureThreshold && len(h.machines) >= min(MachineThreshold, fleet):
		return Quarantined
	}
	return Untested
}

// RecordSuccess notes that a task is done.
func (h *History) RecordSuccess() { h.failures, h.trials = 0, 0 }

// RecordRunning notes that a task runs while no other does.
func (h *History) RecordRunning(now time.Time) { h.runningSince = now }

// Failure is an attempt that ended in an error.
type Failure struct {
	Machine      string
	Ran          bool // it had its image and ran
	LiveAttempts int  // of the job that may still run, this one included
}

// Verdict is what follows from a failure.
type Verdict struct {
	State             State
	EnteredQuarantine bool          // it put the job into quarantine
	Backoff           time.Duration // until a task of the job may be tried again
}

// RecordFailure notes a failure in a fleet of some machines.
func (h *History) RecordFailure(now time.Time, f Failure, p Progress, fleet int) Verdict {
	if h.KnownWorking(now, p) {
		h.failures, h.trials = 0, 0
	}
	before := h.State(now, p, fleet)
	h.failures++
	if h.machines == nil {
		h.machines = map[string]struct{}{}
	}
	h.machines[f.Machine] = struct{}{}
	if f.Ran {
		h.lastRunFailure = now
	}
	v := Verdict{State: h.State(now, p, fleet)}
	switch {
	case v.State == Quarantined:
		v.EnteredQuarantine = before != Quarantined
		if !v.EnteredQuarantine && f.LiveAttempts <= 1 {
			h.trials++
		}
		v.Backoff = min(MaxTrialBackoff, trialBackoff<<min(h.trials, maxBackoffDoublings))
	case len(h.machines) >= MachineThreshold:
		v.Backoff = multiMachineBackoff
	}
	return v
}

// MachineEvidence is what speaks against a machine on which a task just failed.
type MachineEvidence struct {
	WorkingJobs int  // that are known to work and failed there since the last success there
	JobWorking  bool // the job of the task is known to work
	Failures    int  // of that job, on this machine
	Machines    int  // that ever saw a failure of that job
}

// Faulty reports whether the machine is at fault: two jobs that work failed on it since the
// last success there, or one did twice and hardly elsewhere.
func (e MachineEvidence) Faulty() bool {
	return e.WorkingJobs >= 2 || e.WorkingJobs == 1 && e.JobWorking && e.Failures >= 2 && e.Machines < MachineThreshold
}
