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
		standing JobInfo
		tier     Tier
		aged     Tier
		priority int
	}{
		{"critical", JobInfo{Priority: protocol.Critical}, Critical, Critical, int(protocol.Critical)},
		{"critical for long", JobInfo{Priority: protocol.Critical, Waited: time.Hour}, Critical, Critical, int(protocol.Critical)},
		{"within quota", JobInfo{Priority: protocol.Low, WithinQuota: true}, WithinQuota, WithinQuota, int(protocol.Low)},
		{"within quota for long", JobInfo{Priority: protocol.Low, WithinQuota: true, Waited: StarvingAfter}, WithinQuota, WithinQuota, int(protocol.Low)},
		{"best effort", JobInfo{Priority: protocol.Standard}, BestEffort, BestEffort, int(protocol.Standard)},
		{"just before it starves", JobInfo{Priority: protocol.Standard, Waited: StarvingAfter - 1}, BestEffort, BestEffort, int(protocol.Standard)},
		{"starving", JobInfo{Priority: protocol.Standard, Waited: StarvingAfter}, BestEffort, Starving, int(protocol.Standard)},
		{"one that has started", JobInfo{Priority: protocol.Standard, Started: true, Waited: time.Hour}, BestEffort, BestEffort, int(protocol.Urgent)},
		{"a step of ageing", JobInfo{Priority: protocol.Low, Started: true, Waited: AgeingStep}, BestEffort, BestEffort, int(protocol.Low) + 1},
		{"never critical by age", JobInfo{Priority: protocol.Low, Started: true, Waited: 100 * AgeingStep}, BestEffort, BestEffort, int(protocol.Urgent)},
		{"from the future", JobInfo{Priority: protocol.Low, Waited: -time.Hour}, BestEffort, BestEffort, int(protocol.Low)},
	} {
		if s := c.standing; s.Tier() != c.tier || s.AgedTier() != c.aged || s.AgedPriority() != c.priority {
			t.Errorf("%s: tier %d, aged %d, priority %d", c.name, s.Tier(), s.AgedTier(), s.AgedPriority())
		}
	}
}

// In each case the first backlog weighs less than the second.
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
		{"a deadline in reach", base, with(func(b *RemainingWork) { b.Waited = 50 * time.Second })},
		{"one missed rather than two", with(func(b *RemainingWork) { b.Waited = 50 * time.Second }), with(func(b *RemainingWork) { b.Waited = 58 * time.Second })},
		{"a late job's last task", with(func(b *RemainingWork) { b.Tasks, b.Waited = 1, 50*time.Second }), base},
		{"hours of waiting", with(func(b *RemainingWork) { b.Tasks, b.Waited = 20, 5*time.Hour }), base},
		{"no less than a second each", with(func(b *RemainingWork) { b.Runtime = 0 }), with(func(b *RemainingWork) { b.Runtime = 1001 * time.Millisecond })},
		{"no less than a tenth of a CPU each", with(func(b *RemainingWork) { b.CPUs = 0 }), with(func(b *RemainingWork) { b.CPUs = 0.11 })},
	} {
		if first, later := c.first.Weight(), c.later.Weight(); first >= later {
			t.Errorf("%s: %g is not below %g", c.name, first, later)
		}
	}
}

func TestSort(t *testing.T) {
	entries := []Entry[string]{
		{"best effort", BestEffort, 2, 1},
		{"urgent", BestEffort, 3, 100},
		{"small", BestEffort, 2, 0.5},
		{"equal to the first", BestEffort, 2, 1},
		{"within quota", WithinQuota, 0, 50},
		{"critical", Critical, 4, 1000},
		{"starving", Starving, 0, 1000},
	}
	Sort(entries)
	var order []string
	for _, e := range entries {
		order = append(order, e.Job)
	}
	want := []string{"critical", "starving", "within quota", "urgent", "small", "best effort", "equal to the first"}
	if !slices.Equal(order, want) {
		t.Errorf("order %q", order)
	}
}

func TestCorrections(t *testing.T) {
	for _, c := range []struct {
		name    string
		runtime time.Duration // of every task, estimated at 10 s
		want    float64       // after many of them
	}{
		{"as estimated", 10 * time.Second, 1},
		{"twice as long", 20 * time.Second, 2},
		{"half as long", 5 * time.Second, 0.5},
		{"an hour", time.Hour, maxCorrection},
		{"at once", 0, minCorrection},
	} {
		corrections := Corrections{}
		if f := corrections.Factor("c"); f != 1 {
			t.Errorf("%s: %g before any", c.name, f)
		}
		corrections.Observe("c", c.runtime, 10*time.Second)
		if f := corrections.Factor("c"); math.Abs(f-1) > correctionSmoothing*maxCorrection {
			t.Errorf("%s: %g after one", c.name, f)
		}
		for range 500 {
			corrections.Observe("c", c.runtime, 10*time.Second)
		}
		if f := corrections.Factor("c"); math.Abs(f-c.want) > 1e-6 || corrections.Factor("other") != 1 {
			t.Errorf("%s: %g, want %g", c.name, f, c.want)
		}
	}
}
