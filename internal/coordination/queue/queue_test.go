package queue

import (
	"math"
	"slices"
	"testing"
	"time"

	"brasskeel/internal/protocol"
)

func TestTiersAndAgeing(t *testing.T) {
	for _, c := range []struct {
		name     string
		info     JobInfo
		tier     Tier
		aged     Tier
		priority int
	}{
		{"critical", JobInfo{Priority: protocol.Critical}, Critical, Critical, int(protocol.Critical)},
		{"critical after an hour", JobInfo{Priority: protocol.Critical, Waited: time.Hour}, Critical, Critical, int(protocol.Critical)},
		{"within quota", JobInfo{Priority: protocol.Low, WithinQuota: true}, WithinQuota, WithinQuota, int(protocol.Low)},
		{"within quota, after StarvingAfter", JobInfo{Priority: protocol.Low, WithinQuota: true, Waited: StarvingAfter}, WithinQuota, WithinQuota, int(protocol.Low)},
		{"best effort", JobInfo{Priority: protocol.Standard}, BestEffort, BestEffort, int(protocol.Standard)},
		{"just before starving", JobInfo{Priority: protocol.Standard, Waited: StarvingAfter - 1}, BestEffort, BestEffort, int(protocol.Standard)},
		{"starving", JobInfo{Priority: protocol.Standard, Waited: StarvingAfter}, BestEffort, Starving, int(protocol.Standard)},
		{"started, after an hour", JobInfo{Priority: protocol.Standard, Started: true, Waited: time.Hour}, BestEffort, BestEffort, int(protocol.Urgent)},
		{"one ageing step", JobInfo{Priority: protocol.Low, Started: true, Waited: AgeingStep}, BestEffort, BestEffort, int(protocol.Low) + 1},
		{"ageing never reaches critical", JobInfo{Priority: protocol.Low, Started: true, Waited: 100 * AgeingStep}, BestEffort, BestEffort, int(protocol.Urgent)},
		{"submitted in the future", JobInfo{Priority: protocol.Low, Waited: -time.Hour}, BestEffort, BestEffort, int(protocol.Low)},
	} {
		if s := c.info; s.Tier() != c.tier || s.AgedTier() != c.aged || s.AgedPriority() != c.priority {
			t.Errorf("%s: tier %d, aged tier %d, aged priority %d; want %d, %d, %d", c.name, s.Tier(), s.AgedTier(), s.AgedPriority(), c.tier, c.aged, c.priority)
		}
	}
}

// In each case the first job has the lower weight and is served before the second.
func TestWeight(t *testing.T) {
	base := RemainingWork{Tasks: 10, Runtime: 10 * time.Second, CPUs: 1, Deadlines: []time.Duration{40 * time.Second, time.Minute}}
	with := func(change func(*RemainingWork)) RemainingWork {
		b := base
		change(&b)
		return b
	}
	for _, c := range []struct {
		name         string
		first, later RemainingWork
	}{
		{"fewer tasks", base, with(func(b *RemainingWork) { b.Tasks = 20 })},
		{"shorter tasks", base, with(func(b *RemainingWork) { b.Runtime = 20 * time.Second })},
		{"smaller tasks", base, with(func(b *RemainingWork) { b.CPUs = 2 })},
		{"no missed deadline rather than one", base, with(func(b *RemainingWork) { b.Waited = 50 * time.Second })},
		{"one missed deadline rather than two", with(func(b *RemainingWork) { b.Waited = 50 * time.Second }), with(func(b *RemainingWork) { b.Waited = 58 * time.Second })},
		{"last task of a job that missed a deadline", with(func(b *RemainingWork) { b.Tasks, b.Waited = 1, 50*time.Second }), base},
		{"hours of waiting", with(func(b *RemainingWork) { b.Tasks, b.Waited = 20, 5*time.Hour }), base},
		{"run time of at least 1 s", with(func(b *RemainingWork) { b.Runtime = 0 }), with(func(b *RemainingWork) { b.Runtime = 1001 * time.Millisecond })},
		{"at least 0.1 CPU", with(func(b *RemainingWork) { b.CPUs = 0 }), with(func(b *RemainingWork) { b.CPUs = 0.11 })},
	} {
		if first, later := c.first.Weight(), c.later.Weight(); first >= later {
			t.Errorf("%s: weight %g, want less than %g", c.name, first, later)
		}
	}
}

func TestSort(t *testing.T) {
	entries := []Entry[string]{
		{"best effort", BestEffort, 2, 1},
		{"urgent", BestEffort, 3, 100},
		{"small", BestEffort, 2, 0.5},
		{"equal to best effort", BestEffort, 2, 1},
		{"within quota", WithinQuota, 0, 50},
		{"critical", Critical, 4, 1000},
		{"starving", Starving, 0, 1000},
	}
	Sort(entries)
	var order []string
	for _, e := range entries {
		order = append(order, e.Job)
	}
	want := []string{"critical", "starving", "within quota", "urgent", "small", "best effort", "equal to best effort"}
	if !slices.Equal(order, want) {
		t.Errorf("sorted as %q, want %q", order, want)
	}
}

func TestCorrections(t *testing.T) {
	for _, c := range []struct {
		name    string
		runtime time.Duration // of every task; the estimate is 10 s
		want    float64       // after many tasks
	}{
		{"as estimated", 10 * time.Second, 1},
		{"twice as long", 20 * time.Second, 2},
		{"half as long", 5 * time.Second, 0.5},
		{"clamped above", time.Hour, maxCorrection},
		{"clamped below", 0, minCorrection},
	} {
		corrections := Corrections{}
		if f := corrections.Factor("c"); f != 1 {
			t.Errorf("%s: factor %g before any task, want 1", c.name, f)
		}
		corrections.Observe("c", c.runtime, 10*time.Second)
		if f := corrections.Factor("c"); math.Abs(f-1) > correctionSmoothing*maxCorrection {
			t.Errorf("%s: factor %g after one task, want about 1", c.name, f)
		}
		for range 500 {
			corrections.Observe("c", c.runtime, 10*time.Second)
		}
		if f := corrections.Factor("c"); math.Abs(f-c.want) > 1e-6 || corrections.Factor("other") != 1 {
			t.Errorf("%s: factor %g after many tasks, want %g", c.name, f, c.want)
		}
	}
}
