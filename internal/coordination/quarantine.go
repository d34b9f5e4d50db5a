package coordination

import (
	"time"

	"brasskeel/internal/protocol"
)

// Jobs are submitted with a mistake and fail on every machine; machines turn faulty and
// fail every job. What tells them apart is a job that is known to work: one of which a
// task was done, or runs. Counting jobs alone, two with a mistake that met on a machine
// cost it, and each new leader returned some.

const (
	// workingAfter is how long tasks of a job must run for the job to be taken for one
	// that works, and unbrokenAfter how long none may have broken off meanwhile. A
	// service is never done, and a faulty machine may have ended one of its replicas.
	workingAfter  = 3 * time.Second
	unbrokenAfter = 30 * time.Second
	// Failures without a success in between, and machines that saw them, that make a
	// job suspect.
	quarantineFailures = 4
	quarantineMachines = 3
	// A suspect job is tried with one task at a time, after pauses that double.
	trialBackoff    = 500 * time.Millisecond
	trialBackoffMax = 30 * time.Second
	// failureBackoff is the pause after failures of a job that works.
	failureBackoff = 250 * time.Millisecond
)

// knownToWork reports whether a job is known to work on some machine.
func (j *job) knownToWork(now time.Time) bool {
	return j.doneTasks > 0 || j.runningTasks > 0 && now.Sub(j.runningSince) >= workingAfter &&
		(j.lastBroken.IsZero() || now.Sub(j.lastBroken) >= unbrokenAfter)
}

// quarantined reports whether a job seems to fail everywhere. All of its tasks at once,
// again and again, cost records, fetches and its team's room until its user cancels it.
func (l *leader) quarantined(j *job) bool {
	return j.failures >= quarantineFailures && len(j.failedMachines) >= min(quarantineMachines, len(l.fleetList)) && !j.knownToWork(l.controller.now)
}

// limitTrials bounds how many tasks of a suspect job may be placed.
func (l *leader) limitTrials(j *job, most int) int {
	if j.Kind == protocol.Gang || !l.quarantined(j) {
		return most
	}
	return min(most, max(0, 1-j.liveAttempts))
}

// attemptFailed notes an attempt that ended in an error.
func (l *leader) attemptFailed(m *machine, a *attempt) {
	j, c := a.job, l.controller
	if j.knownToWork(c.now) {
		j.failures, j.trials = 0, 0
	}
	before := l.quarantined(j)
	j.failures++
	j.failedMachines[m.Name] = struct{}{}
	if a.state == protocol.Running {
		j.lastBroken = c.now
	}
	m.failuresByJob[j.ID]++
	c.log.Debug("task failed", "job", j.ID, "task", a.task, "machine", m.Name, "failures", j.failures)
	pause := time.Duration(0)
	switch {
	case l.quarantined(j):
		if !before {
			c.log.Warn("job quarantined", "job", j.ID, "class", j.Class, "team", j.Team, "failures", j.failures, "machines", len(j.failedMachines))
		} else if j.liveAttempts <= 1 {
			j.trials++
		}
		pause = min(trialBackoffMax, trialBackoff<<min(j.trials, 8))
	case len(j.failedMachines) >= quarantineMachines:
		pause = failureBackoff
	}
	if until := c.now.Add(pause); until.After(j.backoffUntil) {
		j.backoffUntil = until
		c.after(pause+10*time.Millisecond, l.requestPlacementIfLeading)
	}
	l.checkMachineFaulty(m, j)
}

// checkMachineFaulty decides whether a machine on which a task just failed is faulty: two jobs that
// work failed on it since the last success there, or one did twice and hardly elsewhere.
func (l *leader) checkMachineFaulty(m *machine, j *job) {
	if m.quarantined {
		return
	}
	good := 0
	for id := range m.failuresByJob {
		if k := l.jobs[id]; k != nil && k.knownToWork(l.controller.now) {
			good++
		}
	}
	if good >= 2 || good == 1 && j.knownToWork(l.controller.now) && m.failuresByJob[j.ID] >= 2 && len(j.failedMachines) < quarantineMachines {
		m.quarantined = true
		l.controller.log.Warn("machine quarantined", "machine", m.Name, "jobs", len(m.failuresByJob))
		l.drainMachine(m)
	}
}

// taskRuns notes that a task of a job runs.
func (l *leader) taskRuns(j *job) {
	j.runningTasks++
	if j.runningTasks == 1 {
		j.runningSince = l.controller.now
		if l.quarantined(j) { // a trial that may succeed
			l.controller.after(workingAfter+10*time.Millisecond, l.requestPlacementIfLeading)
		}
	}
}
