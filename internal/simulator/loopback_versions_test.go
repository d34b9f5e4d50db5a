package simulator

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"brasskeel/internal/protocol"
)

// TestLoopbackMixedVersions runs controllers of this version together with controllers of another
// version, the program that OTHER_BINARY names. While jobs run it kills each controller in turn and
// starts the other version in its place, until all have changed, and then back. Each version must
// accept the records and messages of the other.
func TestLoopbackMixedVersions(t *testing.T) {
	other := os.Getenv("OTHER_BINARY")
	if other == "" {
		t.Skip("set OTHER_BINARY to run it")
	}
	binary := filepath.Join(t.TempDir(), "brasskeel")
	if out, err := exec.Command("go", "build", "-o", binary, "brasskeel/cmd/brasskeel").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	for name, operator := range map[string]string{"one leader": "", "shards": "../../deploy/operator.shards.json", "balance": "../../deploy/operator.balance.json"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			mixedVersions(newLoopbackTest(t, binary, operator), binary, other)
		})
	}
}

// mixedVersions replaces each controller in turn, and completes a job of short tasks (0.5 s) after each
// replacement. At the end it also completes the batch jobs that every loopback test runs.
func mixedVersions(t *loopbackTest, binary, other string) {
	versions := []string{binary, binary, binary}
	t.await("some tasks to complete", func(c *Cluster) bool { return completedTasks(c) >= tasksPerJob })
	for round := range 2 * len(versions) {
		// The first half of the rounds changes to the other version, the second half back.
		index := round % len(versions)
		k := t.Controllers()[index]
		k.Kill()
		if versions[index] == binary {
			versions[index] = other
		} else {
			versions[index] = binary
		}
		k.SetBinary(versions[index])
		if err := k.Start(); err != nil {
			t.Fatal(err)
		}
		job := fmt.Sprintf("run-%06d", 200+round)
		t.Do(func(c *Cluster) { c.submitAndPoll(job, protocol.Batch, tasksPerJob, surgeRun/5) })
		t.await("a job to be done with this mix of versions", func(c *Cluster) bool { return c.reportedState(job) == protocol.Done })
		t.awaitAnswerFor(index, job)
	}
	t.Do(func(c *Cluster) { c.submitBatch(initialBatchJobs, batchJobCount) })
	t.awaitAllDone()
}

// awaitAnswerFor waits until a controller answers queries for a job.
func (t *loopbackTest) awaitAnswerFor(index int, job string) {
	t.Helper()
	answered := false
	t.Do(func(c *Cluster) { c.queryUntilKnown(index, job, func() { answered = true }) })
	t.await("the controller to answer for a job", func(*Cluster) bool { return answered })
}
