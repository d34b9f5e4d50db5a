package coordination

import (
	"time"

	"brasskeel/internal/coordination/quarantine"
	"brasskeel/internal/protocol"
)

// progress returns how many tasks of a job are done and how many are running.
func (j *job) progress() quarantine.Progress {
	return quarantine.Progress{DoneTasks: j.doneTasks, RunningTasks: j.runningTasks}
}

// quarantined reports whether a job seems to fail on every machine. Restarting all of its tasks
// at once, again and again, would cost record writes, image fetches and capacity of its team until
// the user cancels it.
func (l *leader) quarantined(j *job) bool {
	return j.history.State(l.controller.now, j.progress(), len(l.fleetList)) == quarantine.Quarantined
}

// limitQuarantineTrials returns how many of the given number of tasks of a job may be placed: at
// most one at a time of a job in quarantine. Gangs start as a whole or not at all and are exempt.
func (l *leader) limitQuarantineTrials(j *job, tasks int) int {
	if j.Kind == protocol.Gang || !l.quarantined(j) {
		return tasks
	}
	return min(tasks, max(0, 1-j.liveAttempts))
}

// timerMargin is added to the durations of timers, so that they fire after the end of the period that
// they wait for.
const timerMargin = 10 * time.Millisecond

// attemptFailed records the failure of an attempt, and sets the job's backoff accordingly.
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

// checkMachineFaulty quarantines and drains a machine if its failures show that the machine is their
// cause, not the jobs. j is the job whose attempt just failed there.
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

// taskStartedRunning records that a task of a job has started running.
func (l *leader) taskStartedRunning(j *job) {
	j.runningTasks++
	if j.runningTasks == 1 {
		j.history.RecordRunning(l.controller.now)
		if l.quarantined(j) { // the trial succeeds if the task runs for quarantine.MinRunTime
			l.controller.after(quarantine.MinRunTime+timerMargin, l.requestPlacementIfLeading)
		}
	}
}
