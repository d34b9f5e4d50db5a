package simulator

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// userJob is a job as its user knows it, with the real state of its tasks.
type userJob struct {
	spec          protocol.Job
	runTime       time.Duration           // of each task
	alwaysFails   bool                    // its tasks fail on every machine
	completed     map[int]bool            // by task index
	progress      map[int]time.Duration   // checkpointed run time, by task index
	runningOn     map[int]map[*agent]bool // by task index
	runningByZone map[string]int          // number of running tasks
	startCount    int                     // starts of all its tasks

	submittedAt               time.Time
	firstStartAt              time.Time // when its first task started to run
	accepted                  bool
	lastQueryAt               time.Time // last query by checkQuiescent
	waitsDespiteCapacitySince time.Time // zero unless it waits despite free capacity, after faults
	cancelRequested           bool
	cancelledAt               time.Time         // when the user was told that it is cancelled
	reportedState             protocol.JobState // final state that the user was told, 0 for none
	failures                  int               // number of failed tasks

	unansweredSince   time.Time     // first unanswered query after the last answered one; zero if the last query was answered
	longestUnanswered time.Duration // longest time from unansweredSince to a later unanswered query
}

// newJob creates a job and adds it to the cluster.
func (c *Cluster) newJob(spec protocol.Job, runTime time.Duration, alwaysFails bool) *userJob {
	j := &userJob{spec: spec, runTime: runTime, alwaysFails: alwaysFails, completed: map[int]bool{}, progress: map[int]time.Duration{},
		runningOn: map[int]map[*agent]bool{}, runningByZone: map[string]int{}, submittedAt: c.now}
	c.jobs[spec.ID] = j
	return j
}

// learnFromRecord adds a job that an external user submitted, when a controller writes the record of
// the job. Simulated workers take from it the description of the job, which its user uploads for
// workers otherwise; each task runs for as long as its user estimates.
func (c *Cluster) learnFromRecord(op protocol.Op) {
	id, active := strings.CutPrefix(op.Put, records.PrefixActive)
	if !active || c.jobs[id] != nil {
		return
	}
	var record records.Job
	if json.Unmarshal(op.Value, &record) == nil && record.Spec != nil {
		c.newJob(*record.Spec, record.Spec.EstimatedRuntime, false)
	}
}

// Submit submits a job to a controller and checks the reply. done gets the status and the job's state.
func (c *Cluster) Submit(controller int, spec protocol.Job, runTime time.Duration, alwaysFails bool, done func(status int, state string)) {
	j := c.jobs[spec.ID]
	if j == nil {
		j = c.newJob(spec, runTime, alwaysFails)
	}
	previous, known := c.reportedState(spec.ID), j.accepted
	c.userRequest(controller, "POST", protocol.PathJobs, protocol.EncodeJob(&spec), func(status int, body []byte) {
		switch status {
		case 200, 201:
			if !c.isValidJob(&spec) {
				c.reportViolation("accepted_invalid", "%s can never run but its submission got status %d", spec.ID, status)
			}
			if known && status == 201 {
				c.reportViolation("went_back", "%s was accepted as a new job again", spec.ID)
			}
			first := !j.accepted
			j.accepted = true
			c.checkReportedState(j, previous, body)
			if first {
				c.queryAfterChange(j)
			}
		case 400, 422:
			switch {
			case j.accepted:
				c.reportViolation("forgotten", "%s was accepted before but a repeated submission got status %d", spec.ID, status)
			case spec.Tasks <= protocol.MaxTasks && c.isValidJob(&spec):
				c.reportViolation("refused", "%s can run but its submission got status %d", spec.ID, status)
			}
		}
		done(status, jobStateIn(body))
	})
}

// Query queries a controller for a job and checks the reply. done gets the status and a summary of the
// job's state.
func (c *Cluster) Query(controller int, id string, done func(status int, text string)) {
	// The reply is checked only against what users were told before the request was sent.
	known, previous := c.jobs[id] != nil && c.jobs[id].accepted, c.reportedState(id)
	c.userRequest(controller, "GET", protocol.PathJobs+"/"+id, nil, func(status int, body []byte) {
		j := c.jobs[id]
		if j != nil && j.accepted && !j.cancelRequested {
			j.queryAnswered(c.now, status == 200)
			c.checkAnswered(j)
		}
		if status == 200 {
			if j == nil || !c.isValidJob(&j.spec) {
				c.reportViolation("invented", "%s was never submitted or can never run, but is known", id)
			} else {
				// The reply to the submission may have been lost: this one confirms
				// acceptance as well.
				j.accepted = true
				c.checkReportedState(j, previous, body)
			}
			job, err := protocol.ParseJobStatus(body)
			if err == nil {
				done(status, fmt.Sprintf("%s done=%d running=%d", job.State, job.Done, job.Running))
				return
			}
		}
		if status == 404 && known {
			c.reportViolation("forgotten", "%s was accepted but a query got status 404", id)
		}
		done(status, "")
	})
}

// QueryUntilDone queries random controllers for a job at intervals until its final state is reported.
func (c *Cluster) QueryUntilDone(id string, every time.Duration) {
	if c.reportedState(id) != 0 {
		return
	}
	c.Query(c.rng.IntN(len(c.controllers)), id, func(int, string) {})
	c.after(every, func() { c.QueryUntilDone(id, every) })
}

// queryAnswered records whether a query for the job was answered.
func (j *userJob) queryAnswered(now time.Time, ok bool) {
	switch {
	case ok:
		j.unansweredSince = time.Time{}
	case j.unansweredSince.IsZero():
		j.unansweredSince = now
	default:
		j.longestUnanswered = max(j.longestUnanswered, now.Sub(j.unansweredSince))
	}
}

// checkAnswered checks, once faults are over, that queries for a job do not stay unanswered for longer
// than maxTimeUnanswered.
func (c *Cluster) checkAnswered(j *userJob) {
	if !c.quiescentSince.IsZero() && !j.unansweredSince.IsZero() && c.now.Sub(j.unansweredSince) > maxTimeUnanswered {
		c.reportViolation("forgotten", "queries for %s were not answered for %s", j.spec.ID, c.now.Sub(j.unansweredSince).Round(time.Second))
	}
}

// QueryStorm sends count queries for random jobs to random controllers, spread over a period.
// Queries to controllers that are down are left out, as a load balancer would do.
func (c *Cluster) QueryStorm(count int, over time.Duration) {
	var ids []string
	for id := range c.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for i := range count {
		c.after(over*time.Duration(i)/time.Duration(count), func() {
			if controller := c.rng.IntN(len(c.controllers)); c.controllers[controller].up() {
				c.Query(controller, ids[c.rng.IntN(len(ids))], func(int, string) {})
			}
		})
	}
}

// maxTimeUnanswered is how long queries for a job may stay unanswered.
const maxTimeUnanswered = 75 * time.Second

// LongUnanswered lists the jobs for which queries stayed unanswered for longer than maxTimeUnanswered.
func (c *Cluster) LongUnanswered() []string {
	var list []string
	for id, j := range c.jobs {
		if j.longestUnanswered > maxTimeUnanswered {
			list = append(list, fmt.Sprintf("%s got no answer for %s", id, j.longestUnanswered.Round(time.Second)))
		}
	}
	slices.Sort(list)
	return list
}

// CancelJob asks a controller to cancel a job and checks the reply. done gets the status and the job's
// state.
func (c *Cluster) CancelJob(controller int, id string, done func(status int, state string)) {
	j := c.jobs[id]
	known, previous := j != nil && j.accepted, c.reportedState(id)
	if j != nil && previous != protocol.Done { // a job that is done can no longer be cancelled
		j.cancelRequested = true
	}
	c.userRequest(controller, "POST", protocol.PathJobs+"/"+id+"/cancel", nil, func(status int, body []byte) {
		switch {
		case status == 200 && j == nil:
			c.reportViolation("invented", "%s was never submitted but its cancellation got status 200", id)
		case status == 200:
			j.accepted = true
			c.checkReportedState(j, previous, body)
			if job, err := protocol.ParseJobStatus(body); err != nil || !job.State.Final() {
				c.reportViolation("went_back", "cancellation of %s got status 200 with state %s", id, job.State)
			}
		case status == 404 && known:
			c.reportViolation("forgotten", "%s was accepted but its cancellation got status 404", id)
		}
		done(status, jobStateIn(body))
	})
}

// jobStateIn returns the job state in a response body, or "" if there is none.
func jobStateIn(body []byte) string {
	if job, err := protocol.ParseJobStatus(body); err == nil {
		return job.State.String()
	}
	return ""
}

// userTimeout is how long a user waits for a response.
const userTimeout = 5 * time.Second

// userRequest sends a user's request to a controller. Without a response within userTimeout, done gets
// status 0.
func (c *Cluster) userRequest(controller int, method, target string, body []byte, done func(status int, body []byte)) {
	n := c.controllers[controller]
	finished := false
	finish := func(status int, body []byte) {
		if !finished {
			finished = true
			done(status, body)
		}
	}
	c.after(userTimeout, func() { finish(0, nil) })
	c.request(usersHost, n.name, func(respond respondFunc) { n.request(method, target, body, userTimeout, respond) }, finish)
}

// reportedState returns the final state that a job's user was told, 0 for none.
func (c *Cluster) reportedState(id string) protocol.JobState {
	if j := c.jobs[id]; j != nil {
		return j.reportedState
	}
	return 0
}

// checkReportedState checks the job state in a response against the real state and against previous,
// the final state that the user had been told before sending the request (0 for none).
func (c *Cluster) checkReportedState(j *userJob, previous protocol.JobState, body []byte) {
	answer, err := protocol.ParseJobStatus(body)
	if err != nil {
		return
	}
	s := answer.State
	if previous != 0 && s != previous {
		c.reportViolation("went_back", "%s was reported %s and is now reported %s", j.spec.ID, previous, s)
	}
	if s == protocol.Done && len(j.completed) < j.spec.Tasks && !c.cloud.hasExternalMachines {
		c.reportViolation("not_done", "%s is reported done with %d of %d tasks complete", j.spec.ID, len(j.completed), j.spec.Tasks)
	}
	if s == protocol.Cancelled && !j.cancelRequested {
		c.reportViolation("went_back", "%s is reported cancelled but no cancellation was requested", j.spec.ID)
	}
	if s.Final() {
		c.checkFinalState(j, s)
	}
	if s == protocol.Cancelled && j.cancelledAt.IsZero() {
		j.cancelledAt = c.now
		c.after(c.settings.CancelDeadline, func() { c.checkCancelled(j) })
	}
}

// checkFinalState checks that a job's user is never told two different final states.
func (c *Cluster) checkFinalState(j *userJob, s protocol.JobState) {
	if j.reportedState != 0 && j.reportedState != s {
		c.reportViolation("went_back", "%s is reported both %s and %s", j.spec.ID, j.reportedState, s)
	}
	first := j.reportedState == 0
	j.reportedState = s
	if first {
		c.queryAfterChange(j)
	}
}

// checkCancelled checks that no task of a cancelled job runs any more. It is called when the time
// limit for cancellations (CancelDeadline) has passed.
func (c *Cluster) checkCancelled(j *userJob) {
	for task, agents := range j.runningOn {
		for a := range agents {
			c.reportViolation("ran_cancelled", "task %s/%d of a cancelled job still runs on %s", j.spec.ID, task, a.name)
		}
	}
}

// maxTimeToFirstStart is how long one of the largest jobs may wait until its first task starts.
const maxTimeToFirstStart = 4 * time.Minute

// Starved lists the classes and teams of which fewer than half of the jobs have started. For classes
// it applies the same criterion to the largest quarter of the jobs, and lists those of them that
// waited longer than maxTimeToFirstStart. Jobs that were cancelled or always fail do not count.
func (c *Cluster) Starved() []string {
	groups := map[string][]*userJob{}
	for _, j := range c.jobs {
		if j.accepted && !j.cancelRequested && !j.alwaysFails {
			groups["class "+j.spec.Class] = append(groups["class "+j.spec.Class], j)
			groups["team "+j.spec.Team] = append(groups["team "+j.spec.Team], j)
		}
	}
	var list []string
	for name, jobs := range groups {
		slices.SortFunc(jobs, func(a, b *userJob) int {
			if d := b.spec.Tasks - a.spec.Tasks; d != 0 {
				return d
			}
			return strings.Compare(a.spec.ID, b.spec.ID)
		})
		started := func(jobs []*userJob) (n int) {
			for _, j := range jobs {
				if !j.firstStartAt.IsZero() {
					n++
				}
			}
			return n
		}
		if n := started(jobs); n*2 < len(jobs) {
			list = append(list, fmt.Sprintf("%s: %d of %d jobs began", name, n, len(jobs)))
		}
		if !strings.HasPrefix(name, "class ") {
			continue
		}
		largest := jobs[:(len(jobs)+3)/4]
		if n := started(largest); n*2 < len(largest) {
			list = append(list, fmt.Sprintf("%s: %d of the %d largest jobs began", name, n, len(largest)))
		}
		for _, j := range largest {
			wait := c.now.Sub(j.submittedAt)
			if !j.firstStartAt.IsZero() {
				wait = j.firstStartAt.Sub(j.submittedAt)
			}
			if wait > maxTimeToFirstStart {
				list = append(list, fmt.Sprintf("%s: %s with %d tasks waited %s", name, j.spec.ID, j.spec.Tasks, wait.Round(time.Second)))
			}
		}
	}
	slices.Sort(list)
	return list
}

// Unanswered queries every running controller for every job that is accepted and not cancelled, and
// lists the queries that do not succeed.
func (c *Cluster) Unanswered() []string {
	var ids, list []string
	for id, j := range c.jobs {
		if j.accepted && !j.cancelRequested {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		for i, n := range c.controllers {
			if n.up() {
				c.Query(i, id, func(status int, _ string) {
					if status != 200 {
						list = append(list, fmt.Sprintf("%s at %s: %d", id, n.name, status))
					}
				})
			}
		}
		// Each query may cost a read, and the state service limits the rate of requests.
		c.Advance(25 * time.Millisecond)
	}
	c.Advance(5 * time.Second)
	return list
}

// taskStarted records that a task starts to run on a machine, and checks the invariants for that: it
// runs only once, its job is not cancelled, and placement and team limit are respected.
func (c *Cluster) taskStarted(a *agent, t *attempt, j *userJob) {
	if j.runningOn[t.taskIndex] == nil {
		j.runningOn[t.taskIndex] = map[*agent]bool{}
	}
	for other := range j.runningOn[t.taskIndex] {
		c.reportViolation("ran_twice", "%s starts on %s while it still runs on %s", t, a.name, other.name)
	}
	j.runningOn[t.taskIndex][a] = true
	j.startCount++
	if j.firstStartAt.IsZero() {
		j.firstStartAt = c.now
	}
	if !j.cancelledAt.IsZero() && c.now.Sub(j.cancelledAt) > c.settings.CancelDeadline {
		c.reportViolation("ran_cancelled", "%s of a cancelled job starts on %s", t, a.name)
	}
	j.runningByZone[a.machine.zone]++
	c.checkPlacement(a, t, j)
	s := &j.spec
	c.usedCPUsByTeam[s.Team] += s.CPUs
	used := c.usedCPUsByTeam[s.Team]
	for _, team := range c.settings.Teams {
		if team.Name == s.Team && used > team.MaxCPUs+protocol.Epsilon {
			c.reportViolation("quota", "team %s uses %g CPUs, above its limit", s.Team, used)
		}
	}
}

// checkPlacement checks that a job's placement constraints allow the machine on which one of its tasks
// starts.
func (c *Cluster) checkPlacement(a *agent, t *attempt, j *userJob) {
	s, zones := &j.spec, j.runningByZone
	switch {
	case !a.machine.allowedFor(s):
		c.reportViolation("wrong_place", "%s on %s, which its job does not allow", t, a.name)
	case s.OneZone && len(zones) > 1:
		c.reportViolation("wrong_place", "%s on %s: the job runs in %d zones instead of one", t, a.name, len(zones))
	case s.Spread && zones[a.machine.zone] > (s.Tasks+1)/2:
		c.reportViolation("wrong_place", "%s on %s: %d of %d tasks run in zone %s", t, a.name, zones[a.machine.zone], s.Tasks, a.machine.zone)
	}
}

// taskEnded records that a task no longer runs on a machine.
func (c *Cluster) taskEnded(a *agent, t *attempt) {
	j := c.jobs[t.job]
	agents := j.runningOn[t.taskIndex]
	if !agents[a] {
		return
	}
	delete(agents, a)
	if len(agents) == 0 {
		delete(j.runningOn, t.taskIndex)
	}
	c.usedCPUsByTeam[j.spec.Team] -= j.spec.CPUs
	if j.runningByZone[a.machine.zone]--; j.runningByZone[a.machine.zone] == 0 {
		delete(j.runningByZone, a.machine.zone)
	}
}
