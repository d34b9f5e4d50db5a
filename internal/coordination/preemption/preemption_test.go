package preemption

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The cost is the lost work of the victims, 10 each unless a case changes it, plus costPerVictim for
// each of them.
func TestChooseVictims(t *testing.T) {
	work := func(name string, change func(*Candidate[string])) Candidate[string] {
		w := Candidate[string]{Attempt: name, Priority: protocol.Low, JobSubmitted: start, LostWork: 10, Needs: placement.Resources{CPUs: 2, MemGB: 4}, JobID: name}
		if change != nil {
			change(&w)
		}
		return w
	}
	for _, c := range []struct {
		name    string
		free    placement.Resources
		needs   placement.Resources
		work    []Candidate[string]
		victims []string
		cost    float64
		ok      bool
	}{
		{name: "no candidates", needs: placement.Resources{CPUs: 1}},
		{name: "one victim is enough", needs: placement.Resources{CPUs: 2}, work: []Candidate[string]{work("a", nil), work("b", nil)},
			victims: []string{"a"}, cost: 11, ok: true},
		{name: "free resources count", free: placement.Resources{CPUs: 2}, needs: placement.Resources{CPUs: 4},
			work: []Candidate[string]{work("a", nil), work("b", nil)}, victims: []string{"a"}, cost: 11, ok: true},
		{name: "two victims are needed", needs: placement.Resources{CPUs: 3}, work: []Candidate[string]{work("a", nil), work("b", nil)},
			victims: []string{"a", "b"}, cost: 22, ok: true},
		{name: "not enough candidates", needs: placement.Resources{CPUs: 5}, work: []Candidate[string]{work("a", nil), work("b", nil)}},
		{name: "memory counts", needs: placement.Resources{CPUs: 1, MemGB: 6}, work: []Candidate[string]{work("a", nil), work("b", nil)},
			victims: []string{"a", "b"}, cost: 22, ok: true},
		{name: "no candidate has a GPU", needs: placement.Resources{GPUs: 1}, work: []Candidate[string]{work("a", nil)}},
		{name: "victim of the lowest priority", needs: placement.Resources{CPUs: 2},
			work:    []Candidate[string]{work("a", func(w *Candidate[string]) { w.Priority = protocol.Standard }), work("b", func(w *Candidate[string]) { w.LostWork = 50 })},
			victims: []string{"b"}, cost: 51, ok: true},
		{name: "victim of the job that was submitted last", needs: placement.Resources{CPUs: 2},
			work:    []Candidate[string]{work("a", func(w *Candidate[string]) { w.LostWork = 0 }), work("b", func(w *Candidate[string]) { w.JobSubmitted = start.Add(time.Second) })},
			victims: []string{"b"}, cost: 11, ok: true},
		{name: "victim with the least lost work within a job", needs: placement.Resources{CPUs: 2},
			work: []Candidate[string]{work("a", nil), work("b", func(w *Candidate[string]) { w.JobID, w.TaskIndex, w.LostWork = "a", 1, 5 })}, victims: []string{"b"}, cost: 6, ok: true},
		{name: "victim with the lowest task index", needs: placement.Resources{CPUs: 2},
			work: []Candidate[string]{work("a", func(w *Candidate[string]) { w.TaskIndex = 7 }), work("b", func(w *Candidate[string]) { w.JobID, w.TaskIndex = "a", 2 })}, victims: []string{"b"}, cost: 11, ok: true},
	} {
		victims, cost, ok := ChooseVictims(c.free, c.needs, c.work)
		var names []string
		for _, v := range victims {
			names = append(names, v.Attempt)
		}
		if !slices.Equal(names, c.victims) || cost != c.cost || ok != c.ok {
			t.Errorf("%s: victims %q, cost %g, ok %t; want %q, %g, %t", c.name, names, cost, ok, c.victims, c.cost, c.ok)
		}
	}
}

// fakeMachines implements Machines. Room for tasks of one size can be made on each machine, at a given
// cost for each further task.
type fakeMachines struct {
	costs     map[string][]float64 // of the next tasks on each machine; empty: no more tasks
	excluded  string
	costCalls int
	preempted []string
}

func (f *fakeMachines) Excluded(machine string) bool { return machine == f.excluded }

func (f *fakeMachines) Cost(machine string) (float64, bool) {
	f.costCalls++
	if c := f.costs[machine]; len(c) > 0 {
		return c[0], true
	}
	return 0, false
}

func (f *fakeMachines) Preempt(machine string) {
	f.preempted = append(f.preempted, machine)
	f.costs[machine] = f.costs[machine][1:]
}

// Each task gets the machine of the lowest cost; among machines of equal cost, the one with the lowest
// order.
func TestSearch(t *testing.T) {
	for _, c := range []struct {
		name     string
		costs    map[string][]float64
		excluded string
		want     []string // the machine of each task, until there is no more room
	}{
		{name: "no room", costs: map[string][]float64{}},
		{name: "lowest cost first", costs: map[string][]float64{"a": {5}, "b": {1}, "c": {3}}, want: []string{"b", "c", "a"}},
		{name: "first machine of equal cost", costs: map[string][]float64{"a": {1, 1}, "b": {1}, "c": {1}}, want: []string{"a", "a", "b", "c"}},
		{name: "increasing costs", costs: map[string][]float64{"a": {1, 9}, "b": {2, 3}}, want: []string{"a", "b", "b", "a"}},
		{name: "free room first", costs: map[string][]float64{"a": {1}, "b": {0, 0, 4}}, want: []string{"b", "b", "a", "b"}},
		{name: "excluded machine", costs: map[string][]float64{"a": {1}, "b": {2}}, excluded: "a", want: []string{"b"}},
	} {
		f := &fakeMachines{costs: c.costs, excluded: c.excluded}
		var s Search[string]
		for i, m := range []string{"a", "b", "c"} {
			s.Add(m, i, 3)
		}
		s.BeginJob(f, placement.Resources{CPUs: 1})
		for s.PreemptNext(f) {
		}
		if !slices.Equal(f.preempted, c.want) {
			t.Errorf("%s: preempted on %q, want %q", c.name, f.preempted, c.want)
		}
	}
}

// Exhausted machines are examined again only for tasks that need less of some resource. Machines that
// an earlier job couldn't use are available to later jobs.
func TestSearchOfSeveralJobs(t *testing.T) {
	f := &fakeMachines{costs: map[string][]float64{}}
	var s Search[string]
	for i := range 100 {
		s.Add(fmt.Sprint(i), i, 100)
	}
	if s.Started() {
		t.Error("search started before BeginJob")
	}
	s.BeginJob(f, placement.Resources{CPUs: 4, MemGB: 4})
	if !s.Started() || f.costCalls != 100 || s.PreemptNext(f) {
		t.Errorf("search not started, room found where there is none, or %d machines examined, want 100", f.costCalls)
	}
	f.costs["7"] = []float64{1, 1}
	s.BeginJob(f, placement.Resources{CPUs: 4, MemGB: 5})
	if f.costCalls != 100 || s.PreemptNext(f) {
		t.Errorf("room found, or exhausted machines examined again, for a larger task: %d examined, want 100", f.costCalls)
	}
	s.BeginJob(f, placement.Resources{CPUs: 5, MemGB: 3})
	if f.costCalls != 200 || !s.PreemptNext(f) || f.preempted[0] != "7" {
		t.Errorf("task that needs less memory: %d machines examined, want 200; preempted on %q, want 7", f.costCalls, f.preempted)
	}
	f.excluded = "7"
	if s.PreemptNext(f) {
		t.Error("preempted on an excluded machine")
	}
	f.excluded = ""
	s.BeginJob(f, placement.Resources{CPUs: 5, MemGB: 5})
	if !s.PreemptNext(f) || s.PreemptNext(f) {
		t.Error("machine that was excluded for an earlier job is not used, or is used beyond its room")
	}
}
