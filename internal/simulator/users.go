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

// userJob is a job as its user knows it.
type userJob struct {
	spec          protocol.Job
	runTime       time.Duration // of a task
	alwaysFails   bool          // fails everywhere
	completed     map[int]bool
	progress      map[int]time.Duration
	runningOn     map[int]map[*agent]bool // machines each task is on
	runningByZone map[string]int          // their number by zone
	startCount    int

	submittedAt               time.Time
	firstStartAt              time.Time // when its first task ran
	accepted                  bool
	lastQueryAt               time.Time // last, in a calm
	waitsDespiteCapacitySince time.Time // since when it waits beside room, in a calm
	cancelRequested           bool      // a cancellation was asked for
	cancelledAt               time.Time
	reportedState             protocol.JobState // a final state told
	failures                  int

	unansweredSince   time.Time     // since when questions about it got no answer; zero: answered last
	longestUnanswered time.Duration // that this lasted
}

func (c *Cluster) newJob(spec protocol.Job, run time.Duration, bad bool) *userJob {
	j := &userJob{spec: spec, runTime: run, alwaysFails: bad, completed: map[int]bool{}, progress: map[int]time.Duration{},
		runningOn: map[int]map[*agent]bool{}, runningByZone: map[string]int{}, submittedAt: c.now}
	c.jobs[spec.ID] = j
	return j
}

// learnFromRecord learns from its record of a job that its user sent to a controller without
// the stand-in's knowledge. The record stands for the description that users upload for
// workers; a task takes as long as its user estimates.
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

// Submit sends a job to a node; done gets the status and the state told.
func (c *Cluster) Submit(node int, spec protocol.Job, run time.Duration, bad bool, done func(status int, state string)) {
	j := c.jobs[spec.ID]
	if j == nil {
		j = c.newJob(spec, run, bad)
	}
	told, known := c.reportedState(spec.ID), j.accepted
	c.userRequest(node, "POST", protocol.PathJobs, protocol.EncodeJob(&spec), func(status int, body []byte) {
		switch status {
		case 200, 201:
			if !c.isValidJob(&spec) {
				c.reportViolation("accepted_invalid", "%s can never run and gets %d", spec.ID, status)
			}
			if known && status == 201 {
				c.reportViolation("went_back", "%s is new once more", spec.ID)
			}
			first := !j.accepted
			j.accepted = true
			c.checkReportedState(j, told, body)
			if first {
				c.queryAfterChange(j)
			}
		case 400, 422:
			switch {
			case j.accepted:
				c.reportViolation("forgotten", "%s is submitted again and gets %d", spec.ID, status)
			case spec.Tasks <= protocol.MaxTasks && c.isValidJob(&spec):
				c.reportViolation("refused", "%s can run and gets %d", spec.ID, status)
			}
		}
		done(status, jobStateIn(body))
	})
}

// Query asks a node for a job.
func (c *Cluster) Query(node int, id string, done func(status int, text string)) {
	// What was promised while the request was on its way doesn't bind its answer.
	known, told := c.jobs[id] != nil && c.jobs[id].accepted, c.reportedState(id)
	c.userRequest(node, "GET", protocol.PathJobs+"/"+id, nil, func(status int, body []byte) {
		j := c.jobs[id]
		if j != nil && j.accepted && !j.cancelRequested {
			j.queryAnswered(c.now, status == 200)
			c.checkAnswered(j)
		}
		if status == 200 {
			if j == nil || !c.isValidJob(&j.spec) {
				c.reportViolation("invented", "%s was never submitted, or can't run", id)
			} else {
				// The answer to its submission may have been lost: this one binds, too.
				j.accepted = true
				c.checkReportedState(j, told, body)
			}
			job, err := protocol.ParseJobStatus(body)
			if err == nil {
				done(status, fmt.Sprintf("%s done=%d running=%d", job.State, job.Done, job.Running))
				return
			}
		}
		if status == 404 && known {
			c.reportViolation("forgotten", "%s gets 404", id)
		}
		done(status, "")
	})
}

// QueryUntilDone lets a job's user ask for it at intervals, any node, until a final state is told.
func (c *Cluster) QueryUntilDone(id string, every time.Duration) {
	if c.reportedState(id) != 0 {
		return
	}
	c.Query(c.rng.IntN(len(c.controllers)), id, func(int, string) {})
	c.after(every, func() { c.QueryUntilDone(id, every) })
}

// queryAnswered notes whether a question about a job got its answer.
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

// checkAnswered breaks a rule once no question about a job was answered for too long,
// with all troubles over.
func (c *Cluster) checkAnswered(j *userJob) {
	if !c.quiescentSince.IsZero() && !j.unansweredSince.IsZero() && c.now.Sub(j.unansweredSince) > maxTimeUnanswered {
		c.reportViolation("forgotten", "%s got no answer for %s", j.spec.ID, c.now.Sub(j.unansweredSince).Round(time.Second))
	}
}

// QueryStorm lets users ask count times in all, over a time, about jobs and from nodes as
// they come. Nodes that are down aren't asked: the load balancer leaves them out.
func (c *Cluster) QueryStorm(count int, over time.Duration) {
	var ids []string
	for id := range c.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for i := range count {
		c.after(over*time.Duration(i)/time.Duration(count), func() {
			if node := c.rng.IntN(len(c.controllers)); c.controllers[node].up() {
				c.Query(node, ids[c.rng.IntN(len(ids))], func(int, string) {})
			}
		})
	}
}

// maxTimeUnanswered is how long questions about a job may go without an answer.
const maxTimeUnanswered = 75 * time.Second

// LongUnanswered lists the jobs that were longer without one.
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

// CancelJob asks a node to cancel a job.
func (c *Cluster) CancelJob(node int, id string, done func(status int, state string)) {
	j := c.jobs[id]
	known, told := j != nil && j.accepted, c.reportedState(id)
	if j != nil && told != protocol.Done { // one that is done can't be cancelled any more
		j.cancelRequested = true
	}
	c.userRequest(node, "POST", protocol.PathJobs+"/"+id+"/cancel", nil, func(status int, body []byte) {
		switch {
		case status == 200 && j == nil:
			c.reportViolation("invented", "%s was never submitted", id)
		case status == 200:
			j.accepted = true
			c.checkReportedState(j, told, body)
			if job, err := protocol.ParseJobStatus(body); err != nil || !job.State.Final() {
				c.reportViolation("went_back", "%s is cancelled and called %s", id, job.State)
			}
		case status == 404 && known:
			c.reportViolation("forgotten", "%s gets 404 for its cancellation", id)
		}
		done(status, jobStateIn(body))
	})
}

func jobStateIn(body []byte) string {
	if job, err := protocol.ParseJobStatus(body); err == nil {
		return job.State.String()
	}
	return ""
}

// userTimeout is how long a user waits for an answer.
const userTimeout = 5 * time.Second

// userRequest sends a request of a user's; without a response in time the status is 0.
func (c *Cluster) userRequest(node int, method, target string, body []byte, done func(status int, body []byte)) {
	n := c.controllers[node]
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

// reportedState is the final state that a job's user was told, 0 for none.
func (c *Cluster) reportedState(id string) protocol.JobState {
	if j := c.jobs[id]; j != nil {
		return j.reportedState
	}
	return 0
}

// checkReportedState checks what a user is told of a job against what was told before the
// request was sent, and what is true.
func (c *Cluster) checkReportedState(j *userJob, told protocol.JobState, body []byte) {
	answer, err := protocol.ParseJobStatus(body)
	if err != nil {
		return
	}
	s := answer.State
	if told != 0 && s != told {
		c.reportViolation("went_back", "%s was %s and is %s", j.spec.ID, told, s)
	}
	if s == protocol.Done && len(j.completed) < j.spec.Tasks && !c.cloud.hasExternalMachines {
		c.reportViolation("not_done", "%s: %d of %d tasks", j.spec.ID, len(j.completed), j.spec.Tasks)
	}
	if s == protocol.Cancelled && !j.cancelRequested {
		c.reportViolation("went_back", "%s is cancelled without its user's word", j.spec.ID)
	}
	if s.Final() {
		c.checkFinalState(j, s)
	}
	if s == protocol.Cancelled && j.cancelledAt.IsZero() {
		j.cancelledAt = c.now
		c.after(c.settings.CancelDeadline, func() { c.checkCancelled(j) })
	}
}

// checkFinalState checks that a final state is the only one that a job's user was ever told.
func (c *Cluster) checkFinalState(j *userJob, s protocol.JobState) {
	if j.reportedState != 0 && j.reportedState != s {
		c.reportViolation("went_back", "%s is %s and %s", j.spec.ID, j.reportedState, s)
	}
	first := j.reportedState == 0
	j.reportedState = s
	if first {
		c.queryAfterChange(j)
	}
}

// checkCancelled checks that no task of a job is left once its cancellation's time is over.
func (c *Cluster) checkCancelled(j *userJob) {
	for task, on := range j.runningOn {
		for w := range on {
			c.reportViolation("ran_cancelled", "%s/%d is still on %s", j.spec.ID, task, w.name)
		}
	}
}

// maxTimeToFirstStart is how long one of the largest jobs may wait for its first task.
const maxTimeToFirstStart = 4 * time.Minute

// Starved lists who is served too little: a class or a team of whose jobs less
// than half has begun, or of whose largest jobs that holds, and largest jobs that
// waited too long for their first task. Jobs that were cancelled or can't run
// don't count.
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
		began := func(jobs []*userJob) (n int) {
			for _, j := range jobs {
				if !j.firstStartAt.IsZero() {
					n++
				}
			}
			return n
		}
		if n := began(jobs); n*2 < len(jobs) {
			list = append(list, fmt.Sprintf("%s: %d of %d jobs began", name, n, len(jobs)))
		}
		if !strings.HasPrefix(name, "class ") {
			continue
		}
		largest := jobs[:(len(jobs)+3)/4]
		if n := began(largest); n*2 < len(largest) {
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

// Unanswered asks every node that is up, one question after the other, for every
// job that is accepted and not cancelled, and lists those that a node doesn't know
// or answer.
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
		// Each question may cost a read: no faster than the state service takes.
		c.Advance(25 * time.Millisecond)
	}
	c.Advance(5 * time.Second)
	return list
}

// taskStarted checks the rules for a task that starts on a machine.
func (c *Cluster) taskStarted(w *agent, t *attempt, j *userJob) {
	if j.runningOn[t.taskIndex] == nil {
		j.runningOn[t.taskIndex] = map[*agent]bool{}
	}
	for other := range j.runningOn[t.taskIndex] {
		c.reportViolation("ran_twice", "%s starts on %s while on %s", t, w.name, other.name)
	}
	j.runningOn[t.taskIndex][w] = true
	j.startCount++
	if j.firstStartAt.IsZero() {
		j.firstStartAt = c.now
	}
	if !j.cancelledAt.IsZero() && c.now.Sub(j.cancelledAt) > c.settings.CancelDeadline {
		c.reportViolation("ran_cancelled", "%s starts on %s", t, w.name)
	}
	j.runningByZone[w.machine.zone]++
	c.checkPlacement(w, t, j)
	s := &j.spec
	c.usedCPUsByTeam[s.Team] += s.CPUs
	used := c.usedCPUsByTeam[s.Team]
	for _, team := range c.settings.Teams {
		if team.Name == s.Team && used > team.MaxCPUs+protocol.Epsilon {
			c.reportViolation("quota", "team %s uses %g CPUs", s.Team, used)
		}
	}
}

// checkPlacement checks that a job's rules allow the machine that one of its tasks starts on.
func (c *Cluster) checkPlacement(w *agent, t *attempt, j *userJob) {
	s, zones := &j.spec, j.runningByZone
	switch {
	case !w.machine.allowedFor(s):
		c.reportViolation("wrong_place", "%s on %s", t, w.name)
	case s.OneZone && len(zones) > 1:
		c.reportViolation("wrong_place", "%s on %s: the job is in %d zones", t, w.name, len(zones))
	case s.Spread && zones[w.machine.zone] > (s.Tasks+1)/2:
		c.reportViolation("wrong_place", "%s on %s: %d of %d tasks in zone %s", t, w.name, zones[w.machine.zone], s.Tasks, w.machine.zone)
	}
}

func (c *Cluster) taskEnded(w *agent, t *attempt) {
	j := c.jobs[t.job]
	on := j.runningOn[t.taskIndex]
	if !on[w] {
		return
	}
	delete(on, w)
	if len(on) == 0 {
		delete(j.runningOn, t.taskIndex)
	}
	c.usedCPUsByTeam[j.spec.Team] -= j.spec.CPUs
	if j.runningByZone[w.machine.zone]--; j.runningByZone[w.machine.zone] == 0 {
		delete(j.runningByZone, w.machine.zone)
	}
}
