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
	// WorkingAfter is how long tasks of a job must run for the job to be taken for one that
	// works.
	WorkingAfter = 3 * time.Second
	// UnbrokenAfter is how long none of them may have broken off meanwhile: a service is never
	// done, and a faulty machine may have ended one of its replicas.
	UnbrokenAfter = 30 * time.Second
	// maxFailures without a success in between, on ManyMachines, put a job into quarantine.
	maxFailures = 4
	// ManyMachines is the number of machines that saw failures of a job from which on the job,
	// not the machines, is taken for the cause.
	ManyMachines = 3
	// A job in quarantine is tried with one task at a time, after pauses that double from
	// trialBackoff to TrialBackoffMax.
	trialBackoff = 500 * time.Millisecond
	// TrialBackoffMax is the longest pause between two trials.
	TrialBackoffMax = 30 * time.Second
	maxDoublings    = 8
	// spreadBackoff is the pause after a failure of a job that isn't in quarantine, though many
	// machines saw failures of it.
	spreadBackoff = 250 * time.Millisecond
)

// State is what is held of a job, by its history and its progress.
type State uint8

// States of a job. A new one is Untested.
//
//	Untested    -> Working      a task is done, or has run for WorkingAfter unbroken
//	Untested    -> Quarantined  maxFailures on ManyMachines, or on the whole of a smaller fleet
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
	failures     int       // since the last success
	trials       int       // of them, single tasks tried in quarantine
	lastBroken   time.Time // when a task last failed after it had run; zero: never
	runningSince time.Time // when the first of the tasks that run began
	machines     map[string]struct{}
}

// Failures is the number of failures since the last success.
func (h *History) Failures() int { return h.failures }

// Machines is the number of machines that ever saw a failure.
func (h *History) Machines() int { return len(h.machines) }

// Works reports whether the job is known to work on some machine.
func (h *History) Works(now time.Time, p Progress) bool {
	return p.DoneTasks > 0 || p.RunningTasks > 0 && now.Sub(h.runningSince) >= WorkingAfter &&
		(h.lastBroken.IsZero() || now.Sub(h.lastBroken) >= UnbrokenAfter)
}

// State is the job's state in a fleet of some machines.
func (h *History) State(now time.Time, p Progress, fleet int) State {
	switch {
	case h.Works(now, p):
		return Working
	case h.failures >= maxFailures && len(h.machines) >= min(ManyMachines, fleet):
		return Quarantined
	}
	return Untested
}

// Succeeded notes that a task is done.
func (h *History) Succeeded() { h.failures, h.trials = 0, 0 }

// Running notes that a task runs while no other does.
func (h *History) Running(now time.Time) { h.runningSince = now }

// Failure is an attempt that ended in an error.
type Failure struct {
	Machine  string
	Ran      bool // it had its image and ran
	Attempts int  // of the job that may still run, this one included
}

// Verdict is what follows from a failure.
type Verdict struct {
	State   State
	Entered bool          // it put the job into quarantine
	Backoff time.Duration // until a task of the job may be tried again
}

// Failed notes a failure in a fleet of some machines.
func (h *History) Failed(now time.Time, f Failure, p Progress, fleet int) Verdict {
	if h.Works(now, p) {
		h.failures, h.trials = 0, 0
	}
	before := h.State(now, p, fleet)
	h.failures++
	if h.machines == nil {
		h.machines = map[string]struct{}{}
	}
	h.machines[f.Machine] = struct{}{}
	if f.Ran {
		h.lastBroken = now
	}
	v := Verdict{State: h.State(now, p, fleet)}
	switch {
	case v.State == Quarantined:
		v.Entered = before != Quarantined
		if !v.Entered && f.Attempts <= 1 {
			h.trials++
		}
		v.Backoff = min(TrialBackoffMax, trialBackoff<<min(h.trials, maxDoublings))
	case len(h.machines) >= ManyMachines:
		v.Backoff = spreadBackoff
	}
	return v
}

// MachineEvidence is what speaks against a machine on which a task just failed.
type MachineEvidence struct {
	WorkingJobs int  // that are known to work and failed there since the last success there
	JobWorks    bool // the job of the task is known to work
	Failures    int  // of that job, on this machine
	Machines    int  // that ever saw a failure of that job
}

// Faulty reports whether the machine is at fault: two jobs that work failed on it since the
// last success there, or one did twice and hardly elsewhere.
func (e MachineEvidence) Faulty() bool {
	return e.WorkingJobs >= 2 || e.WorkingJobs == 1 && e.JobWorks && e.Failures >= 2 && e.Machines < ManyMachines
}
