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
	// provenAfter is how long tasks of a job must run for the job to be taken for one
	// that works, and unbrokenAfter how long none may have broken off meanwhile. A
	// service is never done, and a faulty machine may have ended one of its replicas.
	provenAfter   = 3 * time.Second
	unbrokenAfter = 30 * time.Second
	// Failures without a success in between, and machines that saw them, that make a
	// job suspect.
	suspectErrors   = 4
	suspectMachines = 3
	// A suspect job is tried with one task at a time, after pauses that double.
	trialPause    = 500 * time.Millisecond
	trialPauseMax = 30 * time.Second
	// failedPause is the pause after failures of a job that works.
	failedPause = 250 * time.Millisecond
)

// proven reports whether a job is known to work on some machine.
func (j *job) proven(now time.Time) bool {
	return j.doneCount > 0 || j.running > 0 && now.Sub(j.runsSince) >= provenAfter &&
		(j.brokeAt.IsZero() || now.Sub(j.brokeAt) >= unbrokenAfter)
}

// suspect reports whether a job seems to fail everywhere. All of its tasks at once,
// again and again, cost records, fetches and its team's room until its user cancels it.
func (l *leader) suspect(j *job) bool {
	return j.errors >= suspectErrors && len(j.failedOn) >= min(suspectMachines, len(l.fleetList)) && !j.proven(l.controller.now)
}

// trial bounds how many tasks of a suspect job may be placed.
func (l *leader) trial(j *job, most int) int {
	if j.Kind == protocol.Gang || !l.suspect(j) {
		return most
	}
	return min(most, max(0, 1-j.live))
}

// failed notes an attempt that ended in an error.
func (l *leader) failed(m *machine, a *attempt) {
	j, c := a.job, l.controller
	if j.proven(c.now) {
		j.errors, j.trials = 0, 0
	}
	before := l.suspect(j)
	j.errors++
	j.failedOn[m.Name] = struct{}{}
	if a.state == protocol.Running {
		j.brokeAt = c.now
	}
	m.failuresByJob[j.ID]++
	c.log.Debug("task failed", "job", j.ID, "task", a.task, "machine", m.Name, "failures", j.errors)
	pause := time.Duration(0)
	switch {
	case l.suspect(j):
		if !before {
			c.log.Warn("job keeps failing", "job", j.ID, "class", j.Class, "team", j.Team, "failures", j.errors, "machines", len(j.failedOn))
		} else if j.live <= 1 {
			j.trials++
		}
		pause = min(trialPauseMax, trialPause<<min(j.trials, 8))
	case len(j.failedOn) >= suspectMachines:
		pause = failedPause
	}
	if until := c.now.Add(pause); until.After(j.notBefore) {
		j.notBefore = until
		c.after(pause+10*time.Millisecond, l.askPlaceAlive)
	}
	l.judge(m, j)
}

// judge decides whether a machine on which a task just failed is faulty: two jobs that
// work failed on it since the last success there, or one did twice and hardly elsewhere.
func (l *leader) judge(m *machine, j *job) {
	if m.quarantined {
		return
	}
	good := 0
	for id := range m.failuresByJob {
		if k := l.jobs[id]; k != nil && k.proven(l.controller.now) {
			good++
		}
	}
	if good >= 2 || good == 1 && j.proven(l.controller.now) && m.failuresByJob[j.ID] >= 2 && len(j.failedOn) < suspectMachines {
		m.quarantined = true
		l.controller.log.Warn("machine fails its tasks", "machine", m.Name, "jobs", len(m.failuresByJob))
		l.drainMachine(m)
	}
}

// runs notes that a task of a job runs.
func (l *leader) runs(j *job) {
	j.running++
	if j.running == 1 {
		j.runsSince = l.controller.now
		if l.suspect(j) { // a trial that may succeed
			l.controller.after(provenAfter+10*time.Millisecond, l.askPlaceAlive)
		}
	}
}
