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

// TestLoopback brings trouble to real controllers over a live stand-in. The tests wait for
// conditions, in real time, and go on side by side, as they mostly wait.
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
	surgeJobs  = 8 // of a team that surges
	surgeTasks = 5 // of each
	surgeRun   = 2500 * time.Millisecond
)

func surgeJobID(i int) string { return fmt.Sprintf("run-%06d", 101+i) }

// surgingTeam lets a team's work arrive in a surge on machines that are unevenly loaded, and
// kills and stops leaders meanwhile. The stand-in checks that no machine is above the ceiling
// of the settings' file while another had room for longer than its bound.
func surgingTeam(t *loopbackTest) {
	t.await("some tasks to complete", func(c *Cluster) bool { return completedTasks(c) >= tasksPerJob })
	t.Do(func(c *Cluster) {
		c.submitBatch(jobsBeforeFault, batchJobCount)
		c.SetCeilingCheck("red", 0.5)
		for i := range surgeJobs {
			c.submitAndPoll(surgeJobID(i), protocol.Batch, surgeTasks, surgeRun)
		}
	})
	begun := func(least int) {
		t.await("tasks of the surge to start", func(c *Cluster) bool {
			starts := 0
			for i := range surgeJobs {
				starts += c.jobs[surgeJobID(i)].startCount
			}
			return starts >= least
		})
	}
	begun(surgeTasks)
	leader, index := t.leader()
	leader.Kill()
	t.await("another leader", func(c *Cluster) bool { return c.Leader() >= 0 && c.Leader() != index })
	if err := leader.Start(); err != nil {
		t.Fatal(err)
	}
	begun(2 * surgeTasks)
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

// drainedLeader lets the leader hand over and end, and starts it again.
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

// drainedOwners restarts all controllers, one after the other, while jobs run.
func drainedOwners(t *loopbackTest) {
	t.await("some tasks to complete", func(c *Cluster) bool { return completedTasks(c) >= tasksPerJob })
	t.Do(func(c *Cluster) { c.submitBatch(jobsBeforeFault, batchJobCount) })
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

// checkNoTaskRestarted checks that no task of a batch job was started anew: those that end in an
// ordinary hand-over were lost by it.
func (t *loopbackTest) checkNoTaskRestarted() {
	t.Helper()
	t.Do(func(c *Cluster) {
		for i := range batchJobCount {
			if j := c.jobs[batchJobID(i)]; j.startCount != tasksPerJob {
				t.Errorf("%s: %d starts of %d tasks", batchJobID(i), j.startCount, tasksPerJob)
			}
		}
	})
}

// killedLeader kills the leader and starts it again later.
func killedLeader(t *loopbackTest) {
	leader, index := t.disruptLeader(func(leader *ControllerProcess, _ int) { leader.Kill() })
	t.awaitAllDone()
	if err := leader.Start(); err != nil {
		t.Fatal(err)
	}
	t.awaitAnswersForAll(index)
}

// stoppedLeader stops the leader for longer than its lease and lets it go on.
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

// refusedLeader lets the state service refuse the leader alone.
func refusedLeader(t *loopbackTest) {
	leader, index := t.disruptLeader(func(leader *ControllerProcess, _ int) {
		t.Do(func(c *Cluster) { c.state.refusedNodes[leader.Name()] = true })
	})
	status := 0
	t.Do(func(c *Cluster) { c.Query(index, unknownJob, func(s int, _ string) { status = s }) })
	t.await("the refused node to answer", func(*Cluster) bool { return status != 0 })
	if status != 503 {
		t.Errorf("a refused node answers %d for a job that it can't know", status)
	}
	t.awaitAllDone()
	t.Do(func(c *Cluster) { c.state.readmit(leader.Name()) })
	t.awaitAnswersForAll(index)
}

// isolatedLeader cuts the leader from the state service and the other controllers.
func isolatedLeader(t *loopbackTest) {
	_, index := t.disruptLeader(func(_ *ControllerProcess, index int) {
		t.Do(func(c *Cluster) { c.Isolate(c.controllers[index]) })
	})
	t.awaitAllDone()
	t.Do((*Cluster).Heal)
	t.awaitAnswersForAll(index)
}

// loopbackTest is three controllers over six machines, with some batch jobs and a service.
type loopbackTest struct {
	*testing.T
	*Loopback
	ctx context.Context
}

// loopbackTestTimeout bounds all that a test waits for.
const loopbackTestTimeout = 40 * time.Second

const (
	jobsBeforeFault = 4 // batch jobs submitted before the trouble
	batchJobCount   = 6 // all batch jobs; the others are submitted during it
	tasksPerJob     = 4 // of each batch job
	serviceReplicas = 2 // of the service
	serviceID       = "run-000900"
	unknownJob      = "run-000999" // nobody submits it
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
		c.submitBatch(0, jobsBeforeFault)
		c.submitAndPoll(serviceID, protocol.Service, serviceReplicas, 0)
	})
	return lt
}

// reportViolations fails the test when anything went wrong, and then shows what controllers logged.
func (t *loopbackTest) reportViolations() {
	for _, broken := range t.Violations() {
		t.Error(broken)
	}
	if !t.Failed() {
		return
	}
	for _, k := range t.Controllers() {
		raw, err := os.ReadFile(k.LogFile)
		t.Logf("%s, %v:\n%s", k.LogFile, err, raw)
	}
}

func (t *loopbackTest) await(what string, holds func(*Cluster) bool) {
	t.Helper()
	if err := t.Await(t.ctx, what, holds); err != nil {
		t.Fatal(err)
	}
}

// leader waits for a controller that leads.
func (t *loopbackTest) leader() (leader *ControllerProcess, index int) {
	t.Helper()
	t.await("a leader", func(c *Cluster) bool {
		index = c.Leader()
		return index >= 0
	})
	return t.Controllers()[index], index
}

// submitAndPoll submits a job and lets its user follow it.
func (c *Cluster) submitAndPoll(id string, kind protocol.Kind, tasks int, run time.Duration) {
	spec := protocol.Job{ID: id, Class: "live", Team: "red", Kind: kind, Priority: protocol.Standard, Tasks: tasks,
		CPUs: 1, MemoryGB: 1, Image: "img-live", ImageGB: 0.2, EstimatedRuntime: run}
	c.retryUntilAnswered(func(node int, done func(int, string)) { c.Submit(node, spec, run, false, done) })
	c.QueryUntilDone(id, 500*time.Millisecond)
}

// submitBatch submits some of the batch jobs. Their tasks take 1 to 3.5 s.
func (c *Cluster) submitBatch(from, to int) {
	for i := from; i < to; i++ {
		c.submitAndPoll(batchJobID(i), protocol.Batch, tasksPerJob, time.Duration(i+2)*500*time.Millisecond)
	}
}

// completedTasks counts those of all jobs.
func completedTasks(c *Cluster) int {
	count := 0
	for _, j := range c.jobs {
		count += len(j.completed)
	}
	return count
}

// disruptLeader waits until some tasks have completed, brings trouble to the leader, and
// submits the other jobs. It returns once another controller leads.
func (t *loopbackTest) disruptLeader(trouble func(leader *ControllerProcess, index int)) (leader *ControllerProcess, index int) {
	t.Helper()
	t.await("some tasks to complete", func(c *Cluster) bool { return completedTasks(c) >= tasksPerJob })
	leader, index = t.leader()
	trouble(leader, index)
	t.Do(func(c *Cluster) { c.submitBatch(jobsBeforeFault, batchJobCount) })
	t.await("another leader", func(c *Cluster) bool { return c.Leader() >= 0 && c.Leader() != index })
	return leader, index
}

// awaitAllDone waits until users were told of every batch job that it is done, and the
// service serves; then it cancels the service.
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
	t.await("the service to serve", func(c *Cluster) bool { return len(c.jobs[serviceID].runningOn) == serviceReplicas })
	t.Do(func(c *Cluster) { c.retryCancel(serviceID) })
	t.await("the service to be gone", func(c *Cluster) bool {
		return c.reportedState(serviceID) == protocol.Cancelled && len(c.jobs[serviceID].runningOn) == 0
	})
}

// awaitAnswersForAll waits until a node answers for every batch job.
func (t *loopbackTest) awaitAnswersForAll(node int) {
	t.Helper()
	answered := 0
	t.Do(func(c *Cluster) {
		for i := range batchJobCount {
			c.queryUntilKnown(node, batchJobID(i), func() { answered++ })
		}
	})
	t.await("the node to answer for all jobs", func(*Cluster) bool { return answered == batchJobCount })
}

// queryUntilKnown polls a node for a job until it answers.
func (c *Cluster) queryUntilKnown(node int, id string, done func()) {
	c.Query(node, id, func(status int, _ string) {
		if status == 200 {
			done()
			return
		}
		c.after(200*time.Millisecond, func() { c.queryUntilKnown(node, id, done) })
	})
}
