package simulator

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"brasskeel/internal/protocol"
)

// TestLoopback injects faults into real controller processes on a loopback cluster. The subtests wait
// for conditions in real time, and run in parallel because they mostly wait.
func TestLoopback(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "brasskeel")
	if out, err := exec.Command("go", "build", "-o", binary, "brasskeel/cmd/brasskeel").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	for name, test := range map[string]func(*loopbackTest){
		"killed leader":   killedLeader,
		"stopped leader":  stoppedLeader,
		"refused leader":  refusedLeader,
		"isolated leader": isolatedLeader,
		"drained leader":  drainedLeader,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(newLoopbackTest(t, binary, ""))
		})
	}
	const shards = "../../deploy/operator.shards.json"
	for name, test := range map[string]func(*loopbackTest){
		"killed leader":   killedLeader,
		"stopped leader":  stoppedLeader,
		"isolated leader": isolatedLeader,
		"drained leader":  drainedLeader,
		"drained owners":  drainedOwners,
	} {
		t.Run("shards, "+name, func(t *testing.T) {
			t.Parallel()
			test(newLoopbackTest(t, binary, shards))
		})
	}
	t.Run("balance, surge", func(t *testing.T) {
		t.Parallel()
		surgingTeam(newLoopbackTest(t, binary, "../../deploy/operator.balance.json"))
	})
}

const (
	surgeJobs  = 8                       // jobs of a surge
	surgeTasks = 5                       // tasks per job of a surge
	surgeRun   = 2500 * time.Millisecond // run time of each task
)

func surgeJobID(i int) string { return fmt.Sprintf("run-%06d", 101+i) }

// surgingTeam submits a team's work in a surge while the machines are unevenly loaded, and kills one
// leader and suspends the next meanwhile. The cluster checks that the team takes no more of a
// machine than the ceiling in the settings file while another machine has had room below the ceiling
// for longer than maxTimeWithRoomBelow.
func surgingTeam(t *loopbackTest) {
	t.await("some tasks to complete", func(c *Cluster) bool { return completedTasks(c) >= tasksPerJob })
	t.Do(func(c *Cluster) {
		c.submitBatch(initialBatchJobs, batchJobCount)
		c.SetCeilingCheck("red", 0.5)
		for i := range surgeJobs {
			c.submitAndPoll(surgeJobID(i), protocol.Batch, surgeTasks, surgeRun)
		}
	})
	awaitSurgeStarts := func(minStarts int) {
		t.await("tasks of the surge to start", func(c *Cluster) bool {
			starts := 0
			for i := range surgeJobs {
				starts += c.jobs[surgeJobID(i)].startCount
			}
			return starts >= minStarts
		})
	}
	awaitSurgeStarts(surgeTasks)
	leader, index := t.leader()
	leader.Kill()
	t.await("another leader", func(c *Cluster) bool { return c.Leader() >= 0 && c.Leader() != index })
	if err := leader.Start(); err != nil {
		t.Fatal(err)
	}
	awaitSurgeStarts(2 * surgeTasks)
	leader, index = t.leader()
	if err := leader.Suspend(); err != nil {
		t.Fatal(err)
	}
	t.await("another leader", func(c *Cluster) bool { return c.Leader() >= 0 && c.Leader() != index })
	if err := leader.Resume(); err != nil {
		t.Fatal(err)
	}
	t.awaitAllDone()
	t.await("every job of the surge to be done", func(c *Cluster) bool {
		for i := range surgeJobs {
			if c.reportedState(surgeJobID(i)) != protocol.Done {
				return false
			}
		}
		return true
	})
	t.Do(func(c *Cluster) {
		for i := range surgeJobs {
			if j := c.jobs[surgeJobID(i)]; len(j.completed) != surgeTasks {
				t.Errorf("%s: %d of %d tasks completed", surgeJobID(i), len(j.completed), surgeTasks)
			}
		}
	})
}

// drainedLeader terminates the leader, which hands over before it exits, and starts it again.
func drainedLeader(t *loopbackTest) {
	leader, index := t.disruptLeader(func(leader *ControllerProcess, _ int) {
		if err := leader.Terminate(); err != nil {
			t.Fatal(err)
		}
	})
	if err := leader.Start(); err != nil {
		t.Fatal(err)
	}
	t.awaitAllDone()
	t.awaitAnswersForAll(index)
	t.checkNoTaskRestarted()
}

// drainedOwners terminates and restarts all controllers, one after the other, while jobs run.
func drainedOwners(t *loopbackTest) {
	t.await("some tasks to complete", func(c *Cluster) bool { return completedTasks(c) >= tasksPerJob })
	t.Do(func(c *Cluster) { c.submitBatch(initialBatchJobs, batchJobCount) })
	for _, k := range t.Controllers() {
		if err := k.Terminate(); err != nil {
			t.Fatal(err)
		}
		if err := k.Start(); err != nil {
			t.Fatal(err)
		}
		t.await(k.Name()+" to own shards", func(c *Cluster) bool {
			return slices.ContainsFunc(c.Members(), func(name string) bool { return name == k.Name() })
		})
	}
	t.awaitAllDone()
	t.checkNoTaskRestarted()
}

// checkNoTaskRestarted checks that each task of the batch jobs started only once: a regular handover
// must not interrupt a task.
func (t *loopbackTest) checkNoTaskRestarted() {
	t.Helper()
	t.Do(func(c *Cluster) {
		for i := range batchJobCount {
			if j := c.jobs[batchJobID(i)]; j.startCount != tasksPerJob {
				t.Errorf("%s: %d starts for %d tasks, want one each", batchJobID(i), j.startCount, tasksPerJob)
			}
		}
	})
}

// killedLeader kills the leader and restarts it once another controller leads and all jobs are done.
func killedLeader(t *loopbackTest) {
	leader, index := t.disruptLeader(func(leader *ControllerProcess, _ int) { leader.Kill() })
	t.awaitAllDone()
	if err := leader.Start(); err != nil {
		t.Fatal(err)
	}
	t.awaitAnswersForAll(index)
}

// stoppedLeader suspends the leader until another controller leads, and then resumes it.
func stoppedLeader(t *loopbackTest) {
	leader, index := t.disruptLeader(func(leader *ControllerProcess, _ int) {
		if err := leader.Suspend(); err != nil {
			t.Fatal(err)
		}
	})
	if err := leader.Resume(); err != nil {
		t.Fatal(err)
	}
	t.awaitAllDone()
	t.awaitAnswersForAll(index)
}

// refusedLeader makes the state service refuse only the leader.
func refusedLeader(t *loopbackTest) {
	leader, index := t.disruptLeader(func(leader *ControllerProcess, _ int) {
		t.Do(func(c *Cluster) { c.state.refusedControllers[leader.Name()] = true })
	})
	status := 0
	t.Do(func(c *Cluster) { c.Query(index, unknownJob, func(s int, _ string) { status = s }) })
	t.await("the refused controller to respond", func(*Cluster) bool { return status != 0 })
	if status != 503 {
		t.Errorf("a controller that the state service refuses answers %d for an unknown job, want 503", status)
	}
	t.awaitAllDone()
	t.Do(func(c *Cluster) { c.state.readmit(leader.Name()) })
	t.awaitAnswersForAll(index)
}

// isolatedLeader cuts the leader off from the state service and the other controllers.
func isolatedLeader(t *loopbackTest) {
	_, index := t.disruptLeader(func(_ *ControllerProcess, index int) {
		t.Do(func(c *Cluster) { c.Isolate(c.controllers[index]) })
	})
	t.awaitAllDone()
	t.Do((*Cluster).Heal)
	t.awaitAnswersForAll(index)
}

// loopbackTest is a test on a loopback cluster of three controllers and six machines, which runs some
// batch jobs and a service.
type loopbackTest struct {
	*testing.T
	*Loopback
	ctx context.Context
}

// loopbackTestTimeout is the total time for which a test may wait.
const loopbackTestTimeout = 40 * time.Second

const (
	initialBatchJobs = 4 // batch jobs that newLoopbackTest submits
	batchJobCount    = 6 // all batch jobs; each test submits the others, mostly during a fault
	tasksPerJob      = 4 // tasks of each batch job
	serviceReplicas  = 2
	serviceID        = "run-000900"
	unknownJob       = "run-000999" // never submitted
)

func batchJobID(i int) string { return fmt.Sprintf("run-%06d", i+1) }

func newLoopbackTest(t *testing.T, binary, operator string) *loopbackTest {
	dir := t.TempDir()
	l, err := NewLoopback(LoopbackOptions{Options: Options{Seed: 1, Controllers: 3, Machines: 6, Capacity: 20}, Binary: binary, OperatorFile: operator, Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), loopbackTestTimeout)
	lt := &loopbackTest{t, l, ctx}
	t.Cleanup(func() {
		cancel()
		l.Close()
		lt.reportViolations()
	})
	if err := l.StartControllers(); err != nil {
		t.Fatal(err)
	}
	lt.leader()
	l.Do(func(c *Cluster) {
		c.submitBatch(0, initialBatchJobs)
		c.submitAndPoll(serviceID, protocol.Service, serviceReplicas, 0)
	})
	return lt
}

// reportViolations fails the test if an invariant was violated, and shows the logs of the controllers
// if the test has failed for any reason.
func (t *loopbackTest) reportViolations() {
	for _, violation := range t.Violations() {
		t.Error(violation)
	}
	if !t.Failed() {
		return
	}
	for _, k := range t.Controllers() {
		raw, err := os.ReadFile(k.LogFile)
		t.Logf("%s, %v:\n%s", k.LogFile, err, raw)
	}
}

// await waits until a condition on the cluster holds, and fails the test if it doesn't in time.
func (t *loopbackTest) await(what string, holds func(*Cluster) bool) {
	t.Helper()
	if err := t.Await(t.ctx, what, holds); err != nil {
		t.Fatal(err)
	}
}

// leader waits until there is a leader, and returns it with its index.
func (t *loopbackTest) leader() (leader *ControllerProcess, index int) {
	t.Helper()
	t.await("a leader", func(c *Cluster) bool {
		index = c.Leader()
		return index >= 0
	})
	return t.Controllers()[index], index
}

// submitAndPoll submits a job and queries it until it has a final state.
func (c *Cluster) submitAndPoll(id string, kind protocol.Kind, tasks int, run time.Duration) {
	spec := protocol.Job{ID: id, Class: "live", Team: "red", Kind: kind, Priority: protocol.Standard, Tasks: tasks,
		CPUs: 1, MemoryGB: 1, Image: "img-live", ImageGB: 0.2, EstimatedRuntime: run}
	c.retryUntilAnswered(func(controller int, done func(int, string)) { c.Submit(controller, spec, run, false, done) })
	c.QueryUntilDone(id, 500*time.Millisecond)
}

// submitBatch submits the batch jobs with indexes i, from <= i < to. Their tasks take 1 to 3.5 s.
func (c *Cluster) submitBatch(from, to int) {
	for i := from; i < to; i++ {
		c.submitAndPoll(batchJobID(i), protocol.Batch, tasksPerJob, time.Duration(i+2)*500*time.Millisecond)
	}
}

// completedTasks counts the completed tasks of all jobs.
func completedTasks(c *Cluster) int {
	count := 0
	for _, j := range c.jobs {
		count += len(j.completed)
	}
	return count
}

// disruptLeader waits until some tasks have completed, injects a fault into the leader, and submits
// the rest of the batch jobs. It returns the former leader once another controller leads.
func (t *loopbackTest) disruptLeader(fault func(leader *ControllerProcess, index int)) (leader *ControllerProcess, index int) {
	t.Helper()
	t.await("some tasks to complete", func(c *Cluster) bool { return completedTasks(c) >= tasksPerJob })
	leader, index = t.leader()
	fault(leader, index)
	t.Do(func(c *Cluster) { c.submitBatch(initialBatchJobs, batchJobCount) })
	t.await("another leader", func(c *Cluster) bool { return c.Leader() >= 0 && c.Leader() != index })
	return leader, index
}

// awaitAllDone waits until every batch job is reported as done and all replicas of the service run.
// Then it cancels the service and waits for its end.
func (t *loopbackTest) awaitAllDone() {
	t.Helper()
	t.await("every batch job to be done", func(c *Cluster) bool {
		for i := range batchJobCount {
			if c.reportedState(batchJobID(i)) != protocol.Done {
				return false
			}
		}
		return true
	})
	t.await("all replicas of the service to run", func(c *Cluster) bool { return len(c.jobs[serviceID].runningOn) == serviceReplicas })
	t.Do(func(c *Cluster) { c.retryCancel(serviceID) })
	t.await("the service to end", func(c *Cluster) bool {
		return c.reportedState(serviceID) == protocol.Cancelled && len(c.jobs[serviceID].runningOn) == 0
	})
}

// awaitAnswersForAll waits until a controller answers queries for every batch job.
func (t *loopbackTest) awaitAnswersForAll(index int) {
	t.Helper()
	answered := 0
	t.Do(func(c *Cluster) {
		for i := range batchJobCount {
			c.queryUntilKnown(index, batchJobID(i), func() { answered++ })
		}
	})
	t.await("the controller to answer for all jobs", func(*Cluster) bool { return answered == batchJobCount })
}

// queryUntilKnown polls a controller for a job until it answers.
func (c *Cluster) queryUntilKnown(index int, id string, done func()) {
	c.Query(index, id, func(status int, _ string) {
		if status == 200 {
			done()
			return
		}
		c.after(200*time.Millisecond, func() { c.queryUntilKnown(index, id, done) })
	})
}
