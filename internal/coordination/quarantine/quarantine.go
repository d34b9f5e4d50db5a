// Package quarantine distinguishes jobs that fail on every machine from machines on which every
// job fails. It decides how long a failing job has to wait and whether a machine is faulty.
//
// A job that was submitted with a mistake fails on every machine; on a faulty machine every job
// fails. The two cases are distinguished by jobs that are known to work, because one of their tasks is
// done or has been running for some time. An earlier rule merely counted the jobs that failed on a
// machine: two faulty jobs on the same machine were enough to have it released, and each new leader
// released a few machines.
//
// The package owns the history of a job's failures. It reads no clock, and never stops, places
// or releases anything itself.
package quarantine

import "time"

const (
	// MinRunTime is how long at least one task of a job must have been running, without
	// interruption, for the job to count as working although no task is done.
	MinRunTime = 3 * time.Second
	// MinTimeSinceFailure is the minimum time since a running task of the job last failed for the job
	// to count as working because of MinRunTime. Since the limit is a time, a service, whose tasks
	// are never done, counts as working again some time after one of its replicas failed on a faulty
	// machine.
	MinTimeSinceFailure = 30 * time.Second
	// failureThreshold is the number of failures without a success in between that put a job into
	// quarantine, if it failed on at least MachineThreshold machines or on all of a smaller fleet.
	failureThreshold = 4
	// MachineThreshold is the number of machines with failures of a job at which the job is
	// considered the cause, not the machines.
	MachineThreshold = 3
	// trialBackoff is the first pause of a job in quarantine. The job is tried with one task at
	// a time, after pauses that double up to MaxTrialBackoff.
	trialBackoff = 500 * time.Millisecond
	// MaxTrialBackoff is the longest pause between two trials.
	MaxTrialBackoff = 30 * time.Second
	// maxBackoffDoublings bounds the shift by which the pause is computed. MaxTrialBackoff is
	// reached with fewer doublings.
	maxBackoffDoublings = 8
	// multiMachineBackoff is the pause after a failure of a job that isn't in quarantine but has
	// failed on at least MachineThreshold machines.
	multiMachineBackoff = 250 * time.Millisecond
)

// State is the assessment of a job, derived from its History, its Progress and the size of the fleet.
type State uint8

// States of a job. A new job is Untested.
//
//	Untested    -> Working      a task is done, or tasks have been running for MinRunTime and none
//	                            failed while running for MinTimeSinceFailure
//	Untested    -> Quarantined  failureThreshold failures on MachineThreshold machines, or on all
//	                            machines of a smaller fleet
//	Quarantined -> Working      as from Untested; the task is a trial
//	Quarantined -> Untested     the fleet, smaller than MachineThreshold, has grown beyond the
//	                            machines with failures
//	Working     -> Untested     no task is done, and a running task failed or none is running
//	                            any longer
//	Working     -> Quarantined  no task is done and none is running any longer, but not because of a
//	                            failure; the failures from before the job worked still count
const (
	Untested State = iota
	Working
	Quarantined
)

// Progress is the progress of a job.
type Progress struct {
	DoneTasks    int
	RunningTasks int
}

// History is the history of a job's failures. The zero value is the history of a new job.
type History struct {
	failures       int                 // since the last success; a failure while the job is known to work restarts the count
	trials         int                 // the part of failures that were trials in quarantine
	lastRunFailure time.Time           // when a running task last failed; zero: never
	runningSince   time.Time           // since when at least one task has been running, if any is
	machines       map[string]struct{} // machines that ever had a failure of the job
}

// Failures returns the number of failures since the last success. A failure while the job is known to
// work restarts the count at 1.
func (h *History) Failures() int { return h.failures }

// Machines returns the number of machines that ever had a failure of the job.
func (h *History) Machines() int { return len(h.machines) }

// KnownWorking reports whether the job is known to work on some machine: a task is done, or tasks have
// been running for MinRunTime and none failed while running within MinTimeSinceFailure.
func (h *History) KnownWorking(now time.Time, p Progress) bool {
	return p.DoneTasks > 0 || p.RunningTasks > 0 && now.Sub(h.runningSince) >= MinRunTime &&
		(h.lastRunFailure.IsZero() || now.Sub(h.lastRunFailure) >= MinTimeSinceFailure)
}

// State returns the job's state. fleet is the number of machines in the fleet.
func (h *History) State(now time.Time, p Progress, fleet int) State {
	switch {
	case h.KnownWorking(now, p):
		return Working
	case h.failures >= failureThreshold && len(h.machines) >= min(MachineThreshold, fleet):
		return Quarantined
	}
	return Untested
}

// RecordSuccess records that a task is done.
func (h *History) RecordSuccess() { h.failures, h.trials = 0, 0 }

// RecordRunning records that a task has started running while no other task of the job is running.
func (h *History) RecordRunning(now time.Time) { h.runningSince = now }

// Failure is an attempt that ended in an error.
type Failure struct {
	Machine      string
	Ran          bool // the attempt had its image and was running
	LiveAttempts int  // attempts of the job that may still exist, including the failed one
}

// Verdict is the consequence of a failure.
type Verdict struct {
	State             State
	EnteredQuarantine bool          // this failure put the job into quarantine
	Backoff           time.Duration // until a task of the job may be started again
}

// RecordFailure records a failure. fleet is the number of machines in the fleet. Only a failure in
// quarantine without other live attempts counts as a trial, so that attempts that were started together
// lengthen the backoff only once.
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

// MachineEvidence is the evidence for a fault of a machine on which a task just failed.
type MachineEvidence struct {
	WorkingJobs int  // jobs that are known to work and failed on the machine since its last success
	JobWorking  bool // the failed task's job is known to work
	Failures    int  // failures of that job on the machine since the machine's last success
	Machines    int  // machines that ever had a failure of that job
}

// Faulty reports whether the machine is faulty: since its last success, at least two jobs that are known
// to work failed on it; or the failed task's job is the only such job, failed on it at least twice, and
// has ever failed on fewer than MachineThreshold machines.
func (e MachineEvidence) Faulty() bool {
	return e.WorkingJobs >= 2 || e.WorkingJobs == 1 && e.JobWorking && e.Failures >= 2 && e.Machines < MachineThreshold
}
