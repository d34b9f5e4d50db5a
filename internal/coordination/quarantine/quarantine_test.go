package quarantine

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// recordFailures lets attempts fail on as many machines, one attempt at a time.
func recordFailures(h *History, now time.Time, times int, p Progress, fleet int) (v Verdict) {
	for i := range times {
		v = h.RecordFailure(now, Failure{Machine: fmt.Sprintf("vm-%d", i), LiveAttempts: 1}, p, fleet)
	}
	return v
}

func TestState(t *testing.T) {
	for _, c := range []struct {
		name     string
		failures int // on as many machines
		running  time.Duration
		broken   time.Duration // since a task broke off; 0: never
		progress Progress
		fleet    int
		want     State
	}{
		{name: "a new job", fleet: 10, want: Untested},
		{name: "failures within bounds", failures: failureThreshold - 1, fleet: 10, want: Untested},
		{name: "failures everywhere", failures: failureThreshold, fleet: 10, want: Quarantined},
		{name: "a fleet that has grown", failures: 2, fleet: 10, want: Untested},
		{name: "a task done", failures: 10, progress: Progress{DoneTasks: 1}, fleet: 10, want: Working},
		{name: "a task that begins", failures: failureThreshold, running: MinRunTime - 1, progress: Progress{RunningTasks: 1}, fleet: 10, want: Quarantined},
		{name: "a task that runs", failures: failureThreshold, running: MinRunTime, progress: Progress{RunningTasks: 1}, fleet: 10, want: Working},
		{name: "one broke off lately", failures: failureThreshold, running: time.Minute, broken: MinTimeSinceFailure - 1, progress: Progress{RunningTasks: 1}, fleet: 10, want: Quarantined},
		{name: "one broke off long ago", failures: failureThreshold, running: time.Minute, broken: MinTimeSinceFailure, progress: Progress{RunningTasks: 1}, fleet: 10, want: Working},
	} {
		var h History
		recordFailures(&h, start, c.failures, Progress{}, c.fleet)
		now := start.Add(time.Hour)
		h.RecordRunning(now.Add(-c.running))
		if c.broken > 0 {
			h.lastRunFailure = now.Add(-c.broken)
		}
		if got := h.State(now, c.progress, c.fleet); got != c.want {
			t.Errorf("%s: state %d, want %d", c.name, got, c.want)
		}
	}
}

// In a fleet of two machines failures on both are failures everywhere.
func TestSmallFleet(t *testing.T) {
	var h History
	for i := range failureThreshold {
		v := h.RecordFailure(start, Failure{Machine: fmt.Sprintf("vm-%d", i%2), LiveAttempts: 1}, Progress{}, 2)
		if want := i == failureThreshold-1; v.EnteredQuarantine != want || (v.State == Quarantined) != want {
			t.Errorf("failure %d: %+v", i+1, v)
		}
	}
}

// Pauses between trials double up to the longest; failures of tasks that were started
// together count as one trial.
func TestBackoff(t *testing.T) {
	for _, c := range []struct {
		name     string
		earlier  int // failures, the one that led into quarantine included
		attempts int // that are live when the last one fails
		progress Progress
		want     time.Duration
	}{
		{name: "the first failure", attempts: 1},
		{name: "on many machines", earlier: MachineThreshold - 1, attempts: 1, want: multiMachineBackoff},
		{name: "a job that works, on many machines", earlier: 10, attempts: 1, progress: Progress{DoneTasks: 1}, want: multiMachineBackoff},
		{name: "into quarantine", earlier: failureThreshold - 1, attempts: 1, want: trialBackoff},
		{name: "others of the same start", earlier: failureThreshold, attempts: 2, want: trialBackoff},
		{name: "the first trial", earlier: failureThreshold, attempts: 1, want: 2 * trialBackoff},
		{name: "the third trial", earlier: failureThreshold + 2, attempts: 1, want: 8 * trialBackoff},
		{name: "the twentieth trial", earlier: failureThreshold + 19, attempts: 1, want: MaxTrialBackoff},
	} {
		var h History
		recordFailures(&h, start, c.earlier, c.progress, 100)
		v := h.RecordFailure(start, Failure{Machine: "vm-last", LiveAttempts: c.attempts}, c.progress, 100)
		if v.Backoff != c.want {
			t.Errorf("%s: %s, want %s", c.name, v.Backoff, c.want)
		}
	}
}

// A success ends quarantine and forgets the failures, though not the machines that saw them.
func TestSucceeded(t *testing.T) {
	var h History
	recordFailures(&h, start, 10, Progress{}, 100)
	h.RecordSuccess()
	if h.State(start, Progress{}, 100) != Untested || h.Failures() != 0 || h.Machines() != 10 {
		t.Errorf("state %d, %d failures, %d machines", h.State(start, Progress{}, 100), h.Failures(), h.Machines())
	}
	if v := recordFailures(&h, start, failureThreshold, Progress{}, 100); !v.EnteredQuarantine || v.Backoff != trialBackoff {
		t.Errorf("failing again: %+v", v)
	}
}

func TestMachineFaulty(t *testing.T) {
	for _, c := range []struct {
		name     string
		evidence MachineEvidence
		want     bool
	}{
		{"jobs of which nothing is known", MachineEvidence{Failures: 5, Machines: 1}, false},
		{"two that work", MachineEvidence{WorkingJobs: 2, Failures: 1, Machines: 5}, true},
		{"one that works, once", MachineEvidence{WorkingJobs: 1, JobWorking: true, Failures: 1, Machines: 1}, false},
		{"one that works, twice", MachineEvidence{WorkingJobs: 1, JobWorking: true, Failures: 2, Machines: 2}, true},
		{"one that works and fails elsewhere", MachineEvidence{WorkingJobs: 1, JobWorking: true, Failures: 2, Machines: MachineThreshold}, false},
		{"another one works", MachineEvidence{WorkingJobs: 1, Failures: 2, Machines: 1}, false},
	} {
		if got := c.evidence.Faulty(); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}
