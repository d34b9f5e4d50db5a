package coordination

import (
	"time"

	"brasskeel/internal/coordination/quarantine"
	"brasskeel/internal/protocol"
)

// progress is how far a job is.
func (j *job) progress() quarantine.Progress {
	return quarantine.Progress{DoneTasks: j.doneTasks, RunningTasks: j.runningTasks}
}

// quarantined reports whether a job seems to fail everywhere. All of its tasks at once,
// again and again, cost records, fetches and its team's room until its user cancels it.
func (l *leader) quarantined(j *job) bool {
	return j.history.State(l.controller.now, j.progress(), len(l.fleetList)) == quarantine.Quarantined
}

// limitQuarantineTrials bounds how many tasks of a job may be placed: of one in quarantine one at a time.
// Gangs start as a whole or not at all.
func (l *leader) limitQuarantineTrials(j *job, most int) int {
	if j.Kind == protocol.Gang || !l.quarantined(j) {
		return most
	}
	return min(most, max(0, 1-j.liveAttempts))
}

// timerMargin is how much later than what they wait for timers go off.
const timerMargin = 10 * time.Millisecond

// attemptFailed notes an attempt that ended in an error.
func (l *leader) attemptFailed(m *machine, a *attempt) {
	j, c := a.job, l.controller
	failure := quarantine.Failure{Machine: m.Name, Ran: a.state == protocol.Running, LiveAttempts: j.liveAttempts}
	verdict := j.history.RecordFailure(c.now, failure, j.progress(), len(l.fleetList))
	m.failuresByJob[j.ID]++
	c.log.Debug("task failed", "job", j.ID, "task", a.taskIndex, "machine", m.Name, "failures", j.history.Failures())
	if verdict.EnteredQuarantine {
		c.log.Warn("job quarantined", "job", j.ID, "class", j.Class, "team", j.Team, "failures", j.history.Failures(), "machines", j.history.Machines())
	}
	if until := c.now.Add(verdict.Backoff); until.After(j.backoffUntil) {
		j.backoffUntil = until
		c.after(verdict.Backoff+timerMargin, l.requestPlacementIfLeading)
	}
	l.checkMachineFaulty(m, j)
}

// checkMachineFaulty returns a machine that is at fault for the failures of its tasks.
func (l *leader) checkMachineFaulty(m *machine, j *job) {
	if m.quarantined {
		return
	}
	evidence := quarantine.MachineEvidence{JobWorking: j.history.KnownWorking(l.controller.now, j.progress()), Failures: m.failuresByJob[j.ID],
		Machines: j.history.Machines()}
	for id := range m.failuresByJob {
		if k := l.jobs[id]; k != nil && k.history.KnownWorking(l.controller.now, k.progress()) {
			evidence.WorkingJobs++
		}
	}
	if evidence.Faulty() {
		m.quarantined = true
		l.controller.log.Warn("machine quarantined", "machine", m.Name, "jobs", len(m.failuresByJob))
		l.drainMachine(m)
	}
}

// taskStartedRunning notes that a task of a job runs.
func (l *leader) taskStartedRunning(j *job) {
	j.runningTasks++
	if j.runningTasks == 1 {
		j.history.RecordRunning(l.controller.now)
		if l.quarantined(j) { // a trial that may succeed
			l.controller.after(quarantine.MinRunTime+timerMargin, l.requestPlacementIfLeading)
		}
	}
}
