package simulator

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// retryUntilAnswered sends a user's request to random controllers, one second after each reply or
// timeout, until the reply is final (accepted, known, invalid or not found) or a minute has passed.
func (c *Cluster) retryUntilAnswered(send func(controller int, done func(status int, state string))) {
	end := c.now.Add(time.Minute)
	var try func()
	try = func() {
		send(c.rng.IntN(len(c.controllers)), func(status int, _ string) {
			switch status {
			case 200, 201, 400, 404, 422:
			default:
				if c.now.Before(end) {
					c.after(time.Second, try)
				}
			}
		})
	}
	try()
}

// retryCancel cancels a job, with retries.
func (c *Cluster) retryCancel(id string) {
	c.retryUntilAnswered(func(controller int, done func(int, string)) { c.CancelJob(controller, id, done) })
}

// jobsMatching returns the IDs of the jobs for which the condition holds, sorted.
func (c *Cluster) jobsMatching(condition func(*userJob) bool) []string {
	var list []string
	for id, j := range c.jobs {
		if condition(j) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// minRemainingRunTime is the remaining run time that a task must exceed for CancelRunningJobs to
// choose its job.
const minRemainingRunTime = 10 * time.Second

// CancelRunningJobs cancels up to count random running jobs, within 200 ms. Only services and jobs
// with a task that will run longer than minRemainingRunTime are chosen. If hang is not 0, up to
// eight of their machines hang for that time.
func (c *Cluster) CancelRunningJobs(count int, hang time.Duration) {
	ids := c.jobsMatching(func(j *userJob) bool {
		if !j.accepted || j.cancelRequested {
			return false
		}
		for task, agents := range j.runningOn {
			for a := range agents {
				if t := a.runningAttempt(j, task); t != nil && (j.spec.Kind == protocol.Service || j.runTime-j.progress[task]-c.now.Sub(t.startedAt) > minRemainingRunTime) {
					return true
				}
			}
		}
		return false
	})
	c.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	ids = ids[:min(count, len(ids))]
	var hung []*agent
	for _, id := range ids {
		c.after(time.Duration(c.rng.Int64N(int64(200*time.Millisecond))), func() { c.retryCancel(id) })
		for _, a := range c.agentsRunning(id) {
			if hang > 0 && len(hung) < 8 && !a.hung {
				hung = append(hung, a)
				a.setHung(true)
			}
		}
	}
	c.after(hang, func() {
		for _, a := range hung {
			if !a.dead {
				a.setHung(false)
			}
		}
	})
}

// agentsRunning returns the agents that run tasks of a job, sorted by name.
func (c *Cluster) agentsRunning(id string) []*agent {
	var list []*agent
	for _, agents := range c.jobs[id].runningOn {
		for a := range agents {
			if !slices.Contains(list, a) {
				list = append(list, a)
			}
		}
	}
	slices.SortFunc(list, func(a, b *agent) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return list
}

// jobCompleted is called when the last task of a job completes. It cancels a share of the jobs
// (cancelOnCompletionShare) now, or right before or after their final state is written.
func (c *Cluster) jobCompleted(j *userJob) {
	c.withTriggers(onJobDone, []string{j.spec.ID}, func() {})
	if c.cancelOnCompletionShare > 0 && c.rng.Float64() < c.cancelOnCompletionShare {
		cancel := func() { c.retryCancel(j.spec.ID) }
		switch c.rng.IntN(3) {
		case 0:
			cancel()
		case 1:
			c.onNext(onWrite, records.KeyOutcome(j.spec.ID), true, cancel)
		case 2:
			c.onNext(onWrite, records.KeyOutcome(j.spec.ID), false, cancel)
		}
	}
	c.queryAfterChange(j)
}

// queryAfterChange makes users query every running controller for a job three times within 8 ms, and
// submit the job once more, if queriesAfterChange is set.
func (c *Cluster) queryAfterChange(j *userJob) {
	if !c.queriesAfterChange {
		return
	}
	for range 3 {
		for i, n := range c.controllers {
			if n.up() {
				c.after(time.Duration(c.rng.Int64N(int64(8*time.Millisecond))), func() { c.Query(i, j.spec.ID, func(int, string) {}) })
			}
		}
	}
	c.after(time.Duration(c.rng.Int64N(int64(8*time.Millisecond))), func() { c.Resubmit(c.rng.IntN(len(c.controllers)), j.spec.ID) })
}

// Resubmit submits a known job again.
func (c *Cluster) Resubmit(controller int, id string) {
	j := c.jobs[id]
	c.Submit(controller, j.spec, j.runTime, j.alwaysFails, func(int, string) {})
}

// SendInvalidRequests sends one of each kind of redundant or invalid user request: a repeated
// submission of an unfinished job, cancellations of a job that is done and of an unknown job, jobs
// that can never run, and a job that lacks a field.
func (c *Cluster) SendInvalidRequests() {
	randomController := func() int { return c.rng.IntN(len(c.controllers)) }
	pick := func(ids []string, f func(id string)) {
		if len(ids) > 0 {
			f(ids[c.rng.IntN(len(ids))])
		}
	}
	pick(c.jobsMatching(func(j *userJob) bool { return j.accepted && j.reportedState == 0 }), func(id string) { c.Resubmit(randomController(), id) })
	pick(c.jobsMatching(func(j *userJob) bool { return j.reportedState == protocol.Done }), func(id string) {
		c.CancelJob(randomController(), id, func(int, string) {})
	})
	c.invalidRequestCount++
	c.CancelJob(randomController(), fmt.Sprintf("run-%06d", 990000+c.invalidRequestCount), func(int, string) {})
	invalidJob := func(change func(*protocol.Job)) protocol.Job {
		c.invalidRequestCount++
		j := protocol.Job{ID: fmt.Sprintf("run-%06d", 900000+c.invalidRequestCount), Class: "one", Team: "blue", Kind: protocol.Batch,
			Priority: protocol.Critical, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img-0", ImageGB: 1, EstimatedRuntime: time.Second}
		change(&j)
		return j
	}
	ignore := func(int, string) {}
	for _, change := range []func(*protocol.Job){
		func(j *protocol.Job) { j.CPUs = 1000 },
		func(j *protocol.Job) { j.MachineTypes = []string{"none"} },
		func(j *protocol.Job) { j.Team = "nobody" },
		func(j *protocol.Job) { j.Kind, j.Tasks = protocol.Service, 10000 },
	} {
		c.Submit(randomController(), invalidJob(change), time.Second, false, ignore)
	}
	c.submitWithoutField(randomController(), invalidJob(func(*protocol.Job) {}), c.rng.IntN(1000))
}

// submitWithoutField submits a job that lacks one of its fields and checks that it is not accepted.
// All fields that EncodeJob writes are required, except those that are null.
func (c *Cluster) submitWithoutField(controller int, spec protocol.Job, which int) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(protocol.EncodeJob(&spec), &fields); err != nil {
		panic(err)
	}
	var names []string
	for name, v := range fields {
		if string(v) != "null" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	missing := names[which%len(names)]
	delete(fields, missing)
	c.userRequest(controller, "POST", protocol.PathJobs, protocol.Encode(fields), func(status int, _ []byte) {
		switch status {
		case 400, 429, 503, 504, 0:
		default:
			c.reportViolation("accepted_invalid", "job without field %s got status %d", missing, status)
		}
	})
}

// isValidJob reports whether a job can ever run: one of its tasks fits an allowed machine type, and
// the job fits its team's limits (a service with all its tasks at once).
func (c *Cluster) isValidJob(j *protocol.Job) bool {
	fits := slices.ContainsFunc(c.cloud.types, func(t protocol.MachineType) bool { return j.AllowsType(t.Name) && t.Fits(j) })
	tasks := 1.0
	if j.Kind == protocol.Service {
		tasks = float64(j.Tasks)
	}
	for _, team := range c.settings.Teams {
		if team.Name == j.Team {
			return fits && tasks*j.CPUs <= team.MaxCPUs+protocol.Epsilon && tasks*j.GPUs <= team.MaxGPUs+protocol.Epsilon
		}
	}
	return false
}

// maxStaleHeartbeats limits the kept copies of each machine's heartbeats. The oldest are kept, since
// they differ most from the current state.
const maxStaleHeartbeats = 3

// keepStaleHeartbeat keeps a copy of a share of the heartbeats (staleHeartbeatShare).
func (c *Cluster) keepStaleHeartbeat(a *agent, body []byte) {
	if c.staleHeartbeatShare > 0 && len(c.staleHeartbeats[a.name]) < maxStaleHeartbeats && c.rng.Float64() < c.staleHeartbeatShare {
		c.staleHeartbeats[a.name] = append(c.staleHeartbeats[a.name], body)
	}
}

// deliverStaleHeartbeats sends the kept heartbeats to every controller when a leader is elected, and
// again within 3 seconds, when the leader may have received newer heartbeats of the machines.
func (c *Cluster) deliverStaleHeartbeats() {
	var names []string
	for name := range c.staleHeartbeats {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, body := range c.staleHeartbeats[name] {
			for _, n := range c.controllers {
				// The new leader learns of its election within the first of these delays.
				for _, within := range []time.Duration{6 * time.Millisecond, 3 * time.Second} {
					c.after(time.Duration(c.rng.Int64N(int64(within))), func() {
						c.send(name, n.name, func() { n.request("POST", protocol.PathHeartbeat, body, heartbeatTimeout, ignoreResponse) })
					})
				}
			}
		}
	}
	clear(c.staleHeartbeats)
}

// CrashLeaders crashes the current leader count times, at intervals of every. Each crashed
// controller restarts after the time down.
func (c *Cluster) CrashLeaders(count int, every, down time.Duration) {
	for i := range count {
		c.after(time.Duration(i)*every, func() {
			if k := c.Leader(); k >= 0 {
				n := c.controllers[k]
				n.crash()
				c.after(down, func() {
					if n.core == nil {
						n.start()
					}
				})
			}
		})
	}
}
