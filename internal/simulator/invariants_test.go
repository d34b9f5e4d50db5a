package simulator

import (
	"strings"
	"testing"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// expectViolations starts a cluster with an accepted job of four tasks, calls violate, and checks that
// exactly the named invariants are reported as violated.
func expectViolations(t *testing.T, violate func(c *Cluster, j *userJob), rules ...string) {
	t.Helper()
	c := New(Options{Seed: 1, Controllers: 3, Machines: 2})
	c.Advance(3 * time.Second)
	spec := protocol.Job{ID: "run-000001", Class: "one", Team: "red", Kind: protocol.Batch, Priority: protocol.Standard,
		Tasks: 4, CPUs: 1, MemoryGB: 1, Image: "img-0", ImageGB: 1, EstimatedRuntime: time.Minute}
	c.Submit(c.Leader(), spec, time.Minute, false, func(int, string) {})
	for !c.jobs[spec.ID].accepted {
		c.Advance(time.Millisecond)
	}
	violate(c, c.jobs[spec.ID])
	found := map[string]bool{}
	for _, violation := range c.Violations() {
		rule, _, _ := strings.Cut(violation, " ")
		found[rule] = true
	}
	for _, rule := range rules {
		if !found[rule] {
			t.Errorf("violation of %s is not reported; reported: %v", rule, c.Violations())
		}
		delete(found, rule)
	}
	for rule := range found {
		t.Errorf("violation of %s is reported, which was not expected; reported: %v", rule, c.Violations())
	}
}

// invariantTests are ways to violate invariants, and the invariants that must be reported.
var invariantTests = []struct {
	name  string
	act   func(c *Cluster, j *userJob)
	rules []string
}{
	{"nothing", func(c *Cluster, _ *userJob) { c.BeginQuiescence(); c.Advance(2 * time.Minute) }, []string{}},
	{"no controller answers", func(c *Cluster, _ *userJob) { // so that nothing is placed either
		for _, n := range c.controllers {
			n.freeze()
		}
		c.BeginQuiescence()
		c.Advance(2 * time.Minute)
	}, []string{"forgotten", "left_waiting", "unserved"}},
	{"two processes under one term", func(c *Cluster, _ *userJob) { // workers follow two processes under one term
		const term = 99
		c.checkFencingToken(term<<termBits, "node-0#1")
		c.checkFencingToken(term<<termBits|1, "node-1#1")
	}, []string{"two_owners"}},
	{"two shards", func(c *Cluster, _ *userJob) { // one machine is on record in two shards
		r := records.MachineGroup{Type: "small", Zone: "a", Machines: []records.MachineEntry{{Name: "vm-000000"}}}
		for id := range 2 {
			key := records.KeyMachineGroup(id+1, 1, uint64(id+900))
			c.state.keys[key] = protocol.KeyValue{Key: key, Value: records.Encode(r), Version: 1}
		}
		c.BeginQuiescence()
	}, []string{"two_shards"}},
	{"contradicting final states", func(c *Cluster, j *userJob) { // two controllers answer queries sent at the same time
		c.checkReportedState(j, 0, protocol.EncodeJobState(j.spec.ID, protocol.Cancelled))
		c.checkReportedState(j, 0, protocol.EncodeJobState(j.spec.ID, protocol.Done))
	}, []string{"went_back", "not_done"}},
	{"older answer", func(c *Cluster, j *userJob) { // an earlier state is reported after a final one
		j.cancelRequested = true
		c.checkReportedState(j, 0, protocol.EncodeJobState(j.spec.ID, protocol.Cancelled))
		c.checkReportedState(j, j.reportedState, protocol.EncodeJobState(j.spec.ID, protocol.Queued))
	}, []string{"went_back"}},
	{"start after a cancellation", func(c *Cluster, j *userJob) { // start orders sent after a cancellation reach a hung machine
		j.cancelRequested = true
		c.checkReportedState(j, 0, protocol.EncodeJobState(j.spec.ID, protocol.Cancelled))
		w := c.agents["vm-000000"]
		w.setHung(true)
		w.startAttempt(protocol.Order{Job: j.spec.ID, TaskIndex: 3, Attempt: 9}, c.now.Add(2*time.Second))
		w.startAttempt(protocol.Order{Job: j.spec.ID, TaskIndex: 3, Attempt: 10}, c.now.Add(4*time.Second))
	}, []string{"started_cancelled"}},
	{"task goes on after a cancellation", func(c *Cluster, j *userJob) { // a machine whose worker lease never expires
		c.Advance(2 * time.Second)
		j.cancelRequested = true
		c.checkReportedState(j, 0, protocol.EncodeJobState(j.spec.ID, protocol.Cancelled))
		for _, n := range c.controllers {
			n.freeze()
		}
		for range 45 {
			for _, w := range c.agents {
				w.leaseStart = c.now
				w.armLease()
			}
			c.Advance(time.Second)
		}
	}, []string{"ran_cancelled"}},
	{"job that cannot run is known", func(c *Cluster, j *userJob) { // a controller answers for a job that fits no machine
		j.spec.CPUs = 1000
		c.Query(0, j.spec.ID, func(int, string) {})
		c.Advance(time.Second)
	}, []string{"invented"}},
	{"unknown job is known", func(c *Cluster, _ *userJob) { // controllers answer for a job that nobody submitted
		delete(c.jobs, "run-000001")
		c.Query(0, "run-000001", func(int, string) {})
		c.CancelJob(0, "run-000001", func(int, string) {})
		c.Advance(time.Second)
	}, []string{"invented"}},
}

// TestInvariants checks that violations of invariants are reported, and nothing else.
func TestInvariants(t *testing.T) {
	for _, test := range invariantTests {
		t.Run(test.name, func(t *testing.T) { expectViolations(t, test.act, test.rules...) })
	}
}

// TestTriggers checks that each trigger runs once, before or after its trigger point as requested.
func TestTriggers(t *testing.T) {
	c := New(Options{Seed: 1, Controllers: 3, Machines: 2})
	var order []string
	record := func(s string) func() { return func() { order = append(order, s) } }
	c.onNext(onWrite, "b/q/", false, record("after"))
	c.onNext(onWrite, "b/q/", true, record("before"))
	c.onNext(onWrite, "b/f/", true, record("never"))
	for range 2 {
		c.withTriggers(onWrite, []string{"e/term", "b/q/run-000001"}, record("write"))
	}
	if got := strings.Join(order, " "); got != "before write after write" {
		t.Errorf("order of triggers and writes is %q, want \"before write after write\"", got)
	}
}
