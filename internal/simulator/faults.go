package simulator

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// retryUntilAnswered repeats a request of a user's every second, at any node, until it is
// answered for good or a minute is over.
func (c *Cluster) retryUntilAnswered(send func(node int, done func(status int, state string))) {
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

func (c *Cluster) retryCancel(id string) {
	c.retryUntilAnswered(func(node int, done func(int, string)) { c.CancelJob(node, id, done) })
}

// jobsMatching are the jobs that a condition holds for, in order.
func (c *Cluster) jobsMatching(holds func(*userJob) bool) []string {
	var list []string
	for id, j := range c.jobs {
		if holds(j) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// minRemainingRunTime is how long a task has to run on for its job to count as one with long to go.
const minRemainingRunTime = 10 * time.Second

// CancelRunningJobs lets users cancel jobs that run and have long to go, within a fifth of a
// second. Up to eight of their machines hang meanwhile; 0 for none.
func (c *Cluster) CancelRunningJobs(count int, hang time.Duration) {
	ids := c.jobsMatching(func(j *userJob) bool {
		if !j.accepted || j.cancelRequested {
			return false
		}
		for task, on := range j.runningOn {
			for w := range on {
				if t := w.runningAttempt(j, task); t != nil && (j.spec.Kind == protocol.Service || j.runTime-j.progress[task]-c.now.Sub(t.startedAt) > minRemainingRunTime) {
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
		for _, w := range c.agentsRunning(id) {
			if hang > 0 && len(hung) < 8 && !w.hung {
				hung = append(hung, w)
				w.setHung(true)
			}
		}
	}
	c.after(hang, func() {
		for _, w := range hung {
			if !w.dead {
				w.setHung(false)
			}
		}
	})
}

// agentsRunning are those that a job's tasks are on, in order.
func (c *Cluster) agentsRunning(id string) []*agent {
	var list []*agent
	for _, on := range c.jobs[id].runningOn {
		for w := range on {
			if !slices.Contains(list, w) {
				list = append(list, w)
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

// jobCompleted lets a share of the jobs that end be cancelled at that very moment: as the
// last task completes, or right before or after the final state is written.
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

// queryAfterChange lets users ask all nodes about a job within milliseconds, and submit it
// again.
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

// Resubmit sends a known job once more.
func (c *Cluster) Resubmit(node int, id string) {
	j := c.jobs[id]
	c.Submit(node, j.spec, j.runTime, j.alwaysFails, func(int, string) {})
}

// SendInvalidRequests sends one each of what users send by mistake or once too often: a
// repeated submission of an unfinished job, cancellations of one that is done and of
// an unknown one, jobs that can never run, and one that lacks a field.
func (c *Cluster) SendInvalidRequests() {
	node := func() int { return c.rng.IntN(len(c.controllers)) }
	pick := func(ids []string, f func(id string)) {
		if len(ids) > 0 {
			f(ids[c.rng.IntN(len(ids))])
		}
	}
	pick(c.jobsMatching(func(j *userJob) bool { return j.accepted && j.reportedState == 0 }), func(id string) { c.Resubmit(node(), id) })
	pick(c.jobsMatching(func(j *userJob) bool { return j.reportedState == protocol.Done }), func(id string) {
		c.CancelJob(node(), id, func(int, string) {})
	})
	c.invalidRequestCount++
	c.CancelJob(node(), fmt.Sprintf("run-%06d", 990000+c.invalidRequestCount), func(int, string) {})
	odd := func(change func(*protocol.Job)) protocol.Job {
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
		c.Submit(node(), odd(change), time.Second, false, ignore)
	}
	c.submitWithoutField(node(), odd(func(*protocol.Job) {}), c.rng.IntN(1000))
}

// submitWithoutField sends a job that lacks one of its fields; none of those that
// EncodeJob names may be missing.
func (c *Cluster) submitWithoutField(node int, spec protocol.Job, which int) {
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
	c.userRequest(node, "POST", protocol.PathJobs, protocol.Encode(fields), func(status int, _ []byte) {
		switch status {
		case 400, 429, 503, 504, 0:
		default:
			c.reportViolation("accepted_invalid", "a job without %s gets %d", missing, status)
		}
	})
}

// isValidJob reports whether a job can ever run here, as the submission rules have it.
func (c *Cluster) isValidJob(j *protocol.Job) bool {
	fits := slices.ContainsFunc(c.cloud.types, func(t protocol.MachineType) bool { return j.AllowsType(t.Name) && t.Fits(j) })
	at := 1.0
	if j.Kind == protocol.Service {
		at = float64(j.Tasks)
	}
	for _, team := range c.settings.Teams {
		if team.Name == j.Team {
			return fits && at*j.CPUs <= team.MaxCPUs+protocol.Epsilon && at*j.GPUs <= team.MaxGPUs+protocol.Epsilon
		}
	}
	return false
}

// maxStaleHeartbeats bounds the copies of each machine's reports: the oldest are kept, as they
// are the furthest from what is true.
const maxStaleHeartbeats = 3

func (c *Cluster) keepStaleHeartbeat(w *agent, body []byte) {
	if c.staleHeartbeatShare > 0 && len(c.staleHeartbeats[w.name]) < maxStaleHeartbeats && c.rng.Float64() < c.staleHeartbeatShare {
		c.staleHeartbeats[w.name] = append(c.staleHeartbeats[w.name], body)
	}
}

// deliverStaleHeartbeats sends what was kept to every controller as a leader begins, and once more
// when it has heard newer reports.
func (c *Cluster) deliverStaleHeartbeats() {
	var names []string
	for name := range c.staleHeartbeats {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, body := range c.staleHeartbeats[name] {
			for _, n := range c.controllers {
				// The new leader learns of its election within the first of these times.
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

// CrashLeaders lets the leader crash some times, one after the other; each is back
// after a while.
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
