package balance

import (
	"fmt"
	"testing"
	"time"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// fleet is a fleet for planning migrations: machines of four CPUs with tasks of surging teams. The
// Owner of a task is the index of its machine.
type fleet struct {
	machines []LoadedMachine
	tasks    []MigratableTask
	params   MigrationParams
}

func newFleet(machines int) *fleet {
	f := &fleet{params: MigrationParams{Settings: Settings{CeilingShare: 0.5, MaxFetchBacklog: 20 * time.Second, LoadPenalty: 20 * time.Second},
		Now: start, StopDuration: time.Second, WriteDuration: 25 * time.Millisecond, Margin: 1.5, MaxMigrations: 8}}
	for i := range machines {
		m := machine(0)
		m.Name, m.Zone = fmt.Sprintf("vm-%04d", i), "a"
		f.machines = append(f.machines, LoadedMachine{Machine: m, Load: &Load{}})
	}
	return f
}

// addTask adds a task of a team to the machine with the given index. change, if not nil, changes the
// task.
func (f *fleet) addTask(index int, team Team, change func(*MigratableTask)) {
	s := f.machines[index]
	job := &protocol.Job{Kind: protocol.Batch, CPUs: 1, MemoryGB: 1, Image: "a", ImageGB: 1, CheckpointInterval: 5 * time.Second, CheckpointDuration: time.Second}
	w := MigratableTask{Task: placement.Task{Job: job, Image: 1}, Team: team, Running: true, RanFor: 10 * time.Second, Remaining: 100 * time.Second,
		Checkpoints: true, ZoneAllowed: func(string) bool { return true }, Owner: index}
	if change != nil {
		change(&w)
	}
	s.Allocated = s.Allocated.Plus(placement.Needs(w.Job))
	s.Load.AddAttempt(team, placement.Needs(w.Job))
	s.Images.Add(w.Image, w.ImageGB, 20)
	f.tasks = append(f.tasks, w)
}

// plan returns the migrations that Rebalance plans for the fleet.
func (f *fleet) plan() []Migration {
	var sources []Source
	for i, s := range f.machines {
		source := Source{LoadedMachine: s}
		for _, w := range f.tasks {
			if w.Owner == i {
				source.Tasks = append(source.Tasks, w)
			}
		}
		if len(source.Tasks) > 0 {
			sources = append(sources, source)
		}
	}
	return NewPlanner(f.machines, func(*placement.Machine) bool { return true }).Rebalance(f.params, sources)
}

// Tasks are migrated off an overloaded machine until the team is at the ceiling, and no further. Each
// migration is worthwhile, and the same fleet gives the same plan.
func TestRebalance(t *testing.T) {
	f := newFleet(4)
	for range 4 {
		f.addTask(0, 1, nil)
	}
	migrations := f.plan()
	if len(migrations) != 2 {
		t.Fatalf("%d migrations, want 2", len(migrations))
	}
	for i, m := range migrations {
		if m.From != f.machines[0].Machine || m.To == m.From || m.Saving.Seconds() <= 1.5*m.Cost.Seconds() {
			t.Errorf("migration to the same machine, from another one, or not worthwhile: %+v", m)
		}
		if again := f.plan(); again[i].To != m.To || again[i].Saving != m.Saving {
			t.Errorf("plan differs the second time: %+v", again[i])
		}
	}
	f.params.MaxMigrations = 1
	if migrations := f.plan(); len(migrations) != 1 {
		t.Errorf("%d migrations, want 1 with MaxMigrations 1", len(migrations))
	}
}

// migrationCases are cases of three tasks on a machine, and whether any of them is migrated.
var migrationCases = []struct {
	name     string
	change   func(*MigratableTask)
	setUp    func(*fleet)
	migrates bool // whether any migration is planned
}{
	{name: "worthwhile migration", migrates: true},
	{name: "minutes of work without checkpoints", change: func(w *MigratableTask) { w.Checkpoints, w.RanFor, w.Remaining = false, 4*time.Minute, 5*time.Minute }},
	{name: "just started without checkpoints", change: func(w *MigratableTask) { w.Checkpoints, w.RanFor = false, time.Second }, migrates: true},
	{name: "huge image", change: func(w *MigratableTask) { w.ImageGB = 60; w.Remaining = 10 * time.Minute }},
	{name: "long checkpoint", change: func(w *MigratableTask) { w.CheckpointDuration = 30 * time.Second }},
	{name: "task about to end", change: func(w *MigratableTask) { w.Remaining = 2 * time.Second }},
	{name: "overdue task", change: func(w *MigratableTask) { w.Remaining = 0 }},
	{name: "half of the estimated run time", change: func(w *MigratableTask) { w.Remaining /= 2 }, migrates: true},
	{name: "one and a half times the estimated run time", change: func(w *MigratableTask) { w.Remaining = w.Remaining * 3 / 2 }, migrates: true},
	{name: "long fetch backlog on the targets", setUp: func(f *fleet) {
		for _, s := range f.machines[1:] {
			s.Load.Fetches.Add(start, 9, 40, 1)
		}
	}},
	{name: "targets equally slow", setUp: func(f *fleet) {
		f.params.LoadPenalty = 0
		for _, s := range f.machines {
			s.Load.Speed = Speed{sum: 10, weight: 10}
		}
	}},
	{name: "slow machine", setUp: func(f *fleet) {
		f.params.LoadPenalty = 0
		f.machines[0].Load.Speed = Speed{sum: 10, weight: 10}
	}, migrates: true},
	{name: "load within the ceiling", setUp: func(f *fleet) { f.params.CeilingShare = 1 }},
	{name: "zone not allowed", change: func(w *MigratableTask) { w.ZoneAllowed = func(zone string) bool { return zone != "a" } }},
	{name: "service replica", change: func(w *MigratableTask) { w.Kind = protocol.Service }},
	{name: "gang member", change: func(w *MigratableTask) { w.Kind = protocol.Gang }},
	{name: "targets full", setUp: func(f *fleet) {
		for _, s := range f.machines[1:] {
			s.Incoming = placement.Resources{CPUs: 4}
		}
	}},
}

// A migration that costs more than it saves isn't planned, also if estimates are wrong by half in
// either direction.
func TestMigrationCosts(t *testing.T) {
	for _, c := range migrationCases {
		f := newFleet(3)
		for range 3 {
			f.addTask(0, 1, func(w *MigratableTask) {
				if c.change != nil {
					c.change(w)
				}
			})
		}
		if c.setUp != nil {
			c.setUp(f)
		}
		if migrations := f.plan(); (len(migrations) > 0) != c.migrates {
			t.Errorf("%s: %d migrations planned, want any: %t", c.name, len(migrations), c.migrates)
		}
	}
}

// A task that waits for its image behind a long fetch backlog migrates to a machine without one.
func TestMigrationFromFetchBacklog(t *testing.T) {
	f := newFleet(3)
	f.params.LoadPenalty = 0
	f.addTask(0, 1, func(w *MigratableTask) { w.Running, w.RanFor, w.Image = false, 0, 7 })
	f.machines[0].Images.Reset()
	f.machines[0].Load.Fetches.Add(start, 9, 50, 1)
	if migrations := f.plan(); len(migrations) != 1 {
		t.Errorf("%d migrations, want 1", len(migrations))
	}
}

// A machine of an unknown type accepts no tasks and is no target, although it caches the image.
func TestUnknownTypeIsNoTarget(t *testing.T) {
	f := newFleet(2)
	for range 3 {
		f.addTask(0, 1, nil)
	}
	f.machines[1].Images.Add(1, 1, 20)
	f.machines[1].Spec = nil
	sources := []Source{{LoadedMachine: f.machines[0], Tasks: f.tasks}}
	if migrations := NewPlanner(f.machines, func(m *placement.Machine) bool { return m.Spec != nil }).Rebalance(f.params, sources); len(migrations) != 0 {
		t.Errorf("%d migrations, want none", len(migrations))
	}
}

// The plans for two teams, each of which overloads a machine, converge: tasks aren't migrated back and
// forth.
func TestPlansConverge(t *testing.T) {
	f := newFleet(4)
	for range 3 {
		f.addTask(0, 1, nil)
		f.addTask(1, 2, nil)
	}
	total := 0
	for round := range 20 {
		migrations := f.plan()
		if total += len(migrations); len(migrations) == 0 && round > 2 {
			break
		}
		for _, m := range migrations { // carry it out without a migration mark, so that each task may be migrated again
			from, to := -1, -1
			for i, s := range f.machines {
				if s.Machine == m.From {
					from = i
				}
				if s.Machine == m.To {
					to = i
				}
			}
			needs := placement.Needs(m.Task.Job)
			f.machines[from].Allocated = f.machines[from].Allocated.Minus(needs)
			f.machines[from].Load.RemoveAttempt(m.Task.Team, needs)
			f.machines[to].Allocated = f.machines[to].Allocated.Plus(needs)
			f.machines[to].Load.AddAttempt(m.Task.Team, needs)
			for i := range f.tasks {
				if f.tasks[i].Owner == from && f.tasks[i].Team == m.Task.Team {
					f.tasks[i].Owner = to
					break
				}
			}
		}
	}
	if total == 0 || total > 4 {
		t.Errorf("%d migrations of six tasks, want 1 to 4", total)
	}
}

// With doesn't change the PlannedUsage that it is called on.
func TestPlannedUsage(t *testing.T) {
	s := NewPlannedUsage()
	one := s.With("vm-1", placement.Resources{CPUs: 1})
	two := one.With("vm-1", placement.Resources{CPUs: 2}).With("vm-2", placement.Resources{MemGB: 1})
	if s.TargetCount() != 0 || one.UsageOn("vm-1").CPUs != 1 || two.UsageOn("vm-1").CPUs != 3 || one.TargetCount() != 1 || two.TargetCount() != 2 {
		t.Errorf("original has %v targets, first copy plans %v, second copy plans %v on vm-1; want 0, 1 CPU, 3 CPUs", s.TargetCount(), one.UsageOn("vm-1"), two.UsageOn("vm-1"))
	}
}

// BenchmarkRebalance plans migrations on a fleet in which one machine in eight is overloaded.
func BenchmarkRebalance(b *testing.B) {
	for _, machines := range []int{250, 1000, 4000} {
		f := newFleet(machines)
		for i := range machines {
			for range 1 + 3*(i%8/7) {
				f.addTask(i, 1, nil)
			}
		}
		var sources []Source
		for i, s := range f.machines {
			if i%8 == 7 {
				source := Source{LoadedMachine: s}
				for _, w := range f.tasks[:4] {
					w.Owner = i
					source.Tasks = append(source.Tasks, w)
				}
				sources = append(sources, source)
			}
		}
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			for b.Loop() {
				p := NewPlanner(f.machines, func(*placement.Machine) bool { return true })
				if migrations := p.Rebalance(f.params, sources); len(migrations) == 0 {
					b.Fatal("no migration planned")
				}
			}
		})
	}
}
