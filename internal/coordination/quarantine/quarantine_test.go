package quarantine

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// recordFailures records failures on different machines, one attempt at a time.
func recordFailures(h *History, now time.Time, times int, p Progress, fleet int) (v Verdict) {
	for i := range times {
		v = h.RecordFailure(now, Failure{Machine: fmt.Sprintf("vm-%d", i), LiveAttempts: 1}, p, fleet)
	}
	return v
}

func TestState(t *testing.T) {
	for _, c := range []struct {
		name            string
		failures        int // each on a different machine
		running         time.Duration
		sinceRunFailure time.Duration // since a running task failed; 0: never
		progress        Progress
		fleet           int
		want            State
	}{
		{name: "new job", fleet: 10, want: Untested},
		{name: "failures below the threshold", failures: failureThreshold - 1, fleet: 10, want: Untested},
		{name: "failures at the threshold", failures: failureThreshold, fleet: 10, want: Quarantined},
		{name: "failures on few machines of the fleet", failures: 2, fleet: 10, want: Untested},
		{name: "one task done", failures: 10, progress: Progress{DoneTasks: 1}, fleet: 10, want: Working},
		{name: "task running for less than MinRunTime", failures: failureThreshold, running: MinRunTime - 1, progress: Progress{RunningTasks: 1}, fleet: 10, want: Quarantined},
		{name: "task running for MinRunTime", failures: failureThreshold, running: MinRunTime, progress: Progress{RunningTasks: 1}, fleet: 10, want: Working},
		{name: "recent failure of a running task", failures: failureThreshold, running: time.Minute, sinceRunFailure: MinTimeSinceFailure - 1, progress: Progress{RunningTasks: 1}, fleet: 10, want: Quarantined},
		{name: "old failure of a running task", failures: failureThreshold, running: time.Minute, sinceRunFailure: MinTimeSinceFailure, progress: Progress{RunningTasks: 1}, fleet: 10, want: Working},
	} {
		var h History
		recordFailures(&h, start, c.failures, Progress{}, c.fleet)
		now := start.Add(time.Hour)
		h.RecordRunning(now.Add(-c.running))
		if c.sinceRunFailure > 0 {
			h.lastRunFailure = now.Add(-c.sinceRunFailure)
		}
		if got := h.State(now, c.progress, c.fleet); got != c.want {
			t.Errorf("%s: state %d, want %d", c.name, got, c.want)
		}
	}
}

// In a fleet of two machines, failures on both of them are enough for quarantine.
func TestSmallFleet(t *testing.T) {
	var h History
	for i := range failureThreshold {
		v := h.RecordFailure(start, Failure{Machine: fmt.Sprintf("vm-%d", i%2), LiveAttempts: 1}, Progress{}, 2)
		if want := i == failureThreshold-1; v.EnteredQuarantine != want || (v.State == Quarantined) != want {
			t.Errorf("failure %d: verdict %+v", i+1, v)
		}
	}
}

// The backoff doubles with each trial up to MaxTrialBackoff. Failures of tasks that were started
// together count as one trial.
func TestBackoff(t *testing.T) {
	for _, c := range []struct {
		name     string
		earlier  int // earlier failures, including the one that led to quarantine
		attempts int // live attempts at the last failure
		progress Progress
		want     time.Duration
	}{
		{name: "first failure", attempts: 1},
		{name: "failures on several machines", earlier: MachineThreshold - 1, attempts: 1, want: multiMachineBackoff},
		{name: "working job, failures on several machines", earlier: 10, attempts: 1, progress: Progress{DoneTasks: 1}, want: multiMachineBackoff},
		{name: "entering quarantine", earlier: failureThreshold - 1, attempts: 1, want: trialBackoff},
		{name: "started together with another attempt", earlier: failureThreshold, attempts: 2, want: trialBackoff},
		{name: "first trial", earlier: failureThreshold, attempts: 1, want: 2 * trialBackoff},
		{name: "third trial", earlier: failureThreshold + 2, attempts: 1, want: 8 * trialBackoff},
		{name: "twentieth trial", earlier: failureThreshold + 19, attempts: 1, want: MaxTrialBackoff},
	} {
		var h History
		recordFailures(&h, start, c.earlier, c.progress, 100)
		v := h.RecordFailure(start, Failure{Machine: "vm-last", LiveAttempts: c.attempts}, c.progress, 100)
		if v.Backoff != c.want {
			t.Errorf("%s: backoff %s, want %s", c.name, v.Backoff, c.want)
		}
	}
}

// A success ends quarantine and resets the count of failures, but not the machines that had them.
func TestRecordSuccess(t *testing.T) {
	var h History
	recordFailures(&h, start, 10, Progress{}, 100)
	h.RecordSuccess()
	if h.State(start, Progress{}, 100) != Untested || h.Failures() != 0 || h.Machines() != 10 {
		t.Errorf("after a success: state %d, %d failures, %d machines; want Untested, 0, 10", h.State(start, Progress{}, 100), h.Failures(), h.Machines())
	}
	if v := recordFailures(&h, start, failureThreshold, Progress{}, 100); !v.EnteredQuarantine || v.Backoff != trialBackoff {
		t.Errorf("after failureThreshold further failures: verdict %+v, want quarantine with trialBackoff", v)
	}
}

func TestMachineFaulty(t *testing.T) {
	for _, c := range []struct {
		name     string
		evidence MachineEvidence
		want     bool
	}{
		{"no job known to work", MachineEvidence{Failures: 5, Machines: 1}, false},
		{"two working jobs", MachineEvidence{WorkingJobs: 2, Failures: 1, Machines: 5}, true},
		{"working job, one failure", MachineEvidence{WorkingJobs: 1, JobWorking: true, Failures: 1, Machines: 1}, false},
		{"working job, two failures", MachineEvidence{WorkingJobs: 1, JobWorking: true, Failures: 2, Machines: 2}, true},
		{"working job that also fails elsewhere", MachineEvidence{WorkingJobs: 1, JobWorking: true, Failures: 2, Machines: MachineThreshold}, false},
		{"failed job not known to work, another one is", MachineEvidence{WorkingJobs: 1, Failures: 2, Machines: 1}, false},
	} {
		if got := c.evidence.Faulty(); got != c.want {
			t.Errorf("%s: counts as faulty: %t, want %t", c.name, got, c.want)
		}
	}
}
