package balance

import (
	"fmt"
	"testing"
	"time"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// fleet is a small fleet to plan moves on: machines of four CPUs, of which the first is full
// of a surging team's tasks.
type fleet struct {
	machines []LoadedMachine
	work     []MigratableTask
	params   MigrationParams
}

func newFleet(machines int) *fleet {
	b := &fleet{params: MigrationParams{Settings: Settings{CeilingShare: 0.5, MaxFetchBacklog: 20 * time.Second, LoadPenalty: 20 * time.Second},
		Now: start, StopDuration: time.Second, WriteDuration: 25 * time.Millisecond, Margin: 1.5, MaxMigrations: 8}}
	for i := range machines {
		m := machine(0)
		m.Name, m.Zone = fmt.Sprintf("vm-%04d", i), "a"
		b.machines = append(b.machines, LoadedMachine{Machine: m, Load: &Load{}})
	}
	return b
}

// addTask puts a task of a team on a machine.
func (b *fleet) addTask(site int, team Team, change func(*MigratableTask)) {
	s := b.machines[site]
	job := &protocol.Job{Kind: protocol.Batch, CPUs: 1, MemoryGB: 1, Image: "a", ImageGB: 1, CheckpointInterval: 5 * time.Second, CheckpointDuration: time.Second}
	w := MigratableTask{Task: placement.Task{Job: job, Image: 1}, Team: team, Running: true, RanFor: 10 * time.Second, Remaining: 100 * time.Second,
		Checkpoints: true, ZoneAllowed: func(string) bool { return true }, Owner: site}
	if change != nil {
		change(&w)
	}
	s.Allocated = s.Allocated.Plus(placement.Needs(w.Job))
	s.Load.AddAttempt(team, placement.Needs(w.Job))
	s.Images.Add(w.Image, w.ImageGB, 20)
	b.work = append(b.work, w)
}

func (b *fleet) plan() []Migration {
	var sources []Source
	for i, s := range b.machines {
		source := Source{LoadedMachine: s}
		for _, w := range b.work {
			if w.Owner == i {
				source.Tasks = append(source.Tasks, w)
			}
		}
		if len(source.Tasks) > 0 {
			sources = append(sources, source)
		}
	}
	return NewPlanner(b.machines, func(*placement.Machine) bool { return true }).Rebalance(b.params, sources)
}

// A hot machine is cooled down to its ceiling and no further, by moves that pay; the same
// board gives the same plan.
func TestRebalance(t *testing.T) {
	b := newFleet(4)
	for range 4 {
		b.addTask(0, 1, nil)
	}
	moves := b.plan()
	if len(moves) != 2 {
		t.Fatalf("%d moves", len(moves))
	}
	for i, m := range moves {
		if m.From != b.machines[0].Machine || m.To == m.From || m.Saving.Seconds() <= 1.5*m.Cost.Seconds() {
			t.Errorf("move %+v", m)
		}
		if again := b.plan(); again[i].To != m.To || again[i].Saving != m.Saving {
			t.Errorf("another plan: %+v", again[i])
		}
	}
	b.params.MaxMigrations = 1
	if moves := b.plan(); len(moves) != 1 {
		t.Errorf("%d moves where one is allowed", len(moves))
	}
}

// migrationCases are moves of one of three tasks off a machine, and whether any is made.
var migrationCases = []struct {
	name   string
	change func(*MigratableTask)
	board  func(*fleet)
	moves  bool
}{
	{name: "one that pays", moves: true},
	{name: "unsaved work of minutes", change: func(w *MigratableTask) { w.Checkpoints, w.RanFor, w.Remaining = false, 4*time.Minute, 5*time.Minute }},
	{name: "unsaved work that began", change: func(w *MigratableTask) { w.Checkpoints, w.RanFor = false, time.Second }, moves: true},
	{name: "a huge image", change: func(w *MigratableTask) { w.ImageGB = 60; w.Remaining = 10 * time.Minute }},
	{name: "saving that takes long", change: func(w *MigratableTask) { w.CheckpointDuration = 30 * time.Second }},
	{name: "work about to end", change: func(w *MigratableTask) { w.Remaining = 2 * time.Second }},
	{name: "overdue work", change: func(w *MigratableTask) { w.Remaining = 0 }},
	{name: "half of what was estimated", change: func(w *MigratableTask) { w.Remaining /= 2 }, moves: true},
	{name: "half as long again", change: func(w *MigratableTask) { w.Remaining = w.Remaining * 3 / 2 }, moves: true},
	{name: "busy links", board: func(b *fleet) {
		for _, s := range b.machines[1:] {
			s.Load.Fetches.Add(start, 9, 40, 1)
		}
	}},
	{name: "targets as slow", board: func(b *fleet) {
		b.params.LoadPenalty = 0
		for _, s := range b.machines {
			s.Load.Speed = Speed{sum: 10, weight: 10}
		}
	}},
	{name: "a slow machine", board: func(b *fleet) {
		b.params.LoadPenalty = 0
		b.machines[0].Load.Speed = Speed{sum: 10, weight: 10}
	}, moves: true},
	{name: "an even load", board: func(b *fleet) { b.params.CeilingShare = 1 }},
	{name: "another zone", change: func(w *MigratableTask) { w.ZoneAllowed = func(zone string) bool { return zone != "a" } }},
	{name: "a replica", change: func(w *MigratableTask) { w.Kind = protocol.Service }},
	{name: "a gang", change: func(w *MigratableTask) { w.Kind = protocol.Gang }},
	{name: "full targets", board: func(b *fleet) {
		for _, s := range b.machines[1:] {
			s.Incoming = placement.Resources{CPUs: 4}
		}
	}},
}

// A move that costs more than it saves isn't made, with estimates wrong by half both ways.
func TestMigrationCosts(t *testing.T) {
	for _, c := range migrationCases {
		b := newFleet(3)
		for range 3 {
			b.addTask(0, 1, func(w *MigratableTask) {
				if c.change != nil {
					c.change(w)
				}
			})
		}
		if c.board != nil {
			c.board(b)
		}
		if moves := b.plan(); (len(moves) > 0) != c.moves {
			t.Errorf("%s: %d moves", c.name, len(moves))
		}
	}
}

// Tasks that wait behind a long queue of fetches go where theirs begins at once.
func TestMigrationFromFetchQueue(t *testing.T) {
	b := newFleet(3)
	b.params.LoadPenalty = 0
	b.addTask(0, 1, func(w *MigratableTask) { w.Running, w.RanFor, w.Image = false, 0, 7 })
	b.machines[0].Images.Reset()
	b.machines[0].Load.Fetches.Add(start, 9, 50, 1)
	if moves := b.plan(); len(moves) != 1 {
		t.Errorf("%d moves", len(moves))
	}
}

// A machine of an unknown type that holds the image isn't open, and isn't looked at further.
func TestUnknownTypeIsNoTarget(t *testing.T) {
	b := newFleet(2)
	for range 3 {
		b.addTask(0, 1, nil)
	}
	b.machines[1].Images.Add(1, 1, 20)
	b.machines[1].Spec = nil
	sources := []Source{{LoadedMachine: b.machines[0], Tasks: b.work}}
	if moves := NewPlanner(b.machines, func(m *placement.Machine) bool { return m.Spec != nil }).Rebalance(b.params, sources); len(moves) != 0 {
		t.Errorf("%d moves", len(moves))
	}
}

// Two hot teams that would like each other's machines settle: moves that were made leave
// nothing to be moved back.
func TestPlansConverge(t *testing.T) {
	b := newFleet(4)
	for range 3 {
		b.addTask(0, 1, nil)
		b.addTask(1, 2, nil)
	}
	total := 0
	for round := range 20 {
		moves := b.plan()
		if total += len(moves); len(moves) == 0 && round > 2 {
			break
		}
		for _, m := range moves { // carried out, and not marked: each may move again
			from, to := -1, -1
			for i, s := range b.machines {
				if s.Machine == m.From {
					from = i
				}
				if s.Machine == m.To {
					to = i
				}
			}
			needs := placement.Needs(m.Task.Job)
			b.machines[from].Allocated = b.machines[from].Allocated.Minus(needs)
			b.machines[from].Load.RemoveAttempt(m.Task.Team, needs)
			b.machines[to].Allocated = b.machines[to].Allocated.Plus(needs)
			b.machines[to].Load.AddAttempt(m.Task.Team, needs)
			for i := range b.work {
				if b.work[i].Owner == from && b.work[i].Team == m.Task.Team {
					b.work[i].Owner = to
					break
				}
			}
		}
	}
	if total == 0 || total > 4 {
		t.Errorf("%d moves of six tasks", total)
	}
}

// A try leaves nothing behind, and costs what it changes.
func TestPlannedUsage(t *testing.T) {
	s := NewPlannedUsage()
	one := s.With("vm-1", placement.Resources{CPUs: 1})
	two := one.With("vm-1", placement.Resources{CPUs: 2}).With("vm-2", placement.Resources{MemGB: 1})
	if s.TargetCount() != 0 || one.Allocated("vm-1").CPUs != 1 || two.Allocated("vm-1").CPUs != 3 || one.TargetCount() != 1 || two.TargetCount() != 2 {
		t.Errorf("%v, %v, %v", s.TargetCount(), one.Allocated("vm-1"), two.Allocated("vm-1"))
	}
}

// BenchmarkRebalance plans moves on a fleet in which one machine in eight is hot.
func BenchmarkRebalance(b *testing.B) {
	for _, machines := range []int{250, 1000, 4000} {
		board := newFleet(machines)
		for i := range machines {
			for range 1 + 3*(i%8/7) {
				board.addTask(i, 1, nil)
			}
		}
		var sources []Source
		for i, s := range board.machines {
			if i%8 == 7 {
				source := Source{LoadedMachine: s}
				for _, w := range board.work[:4] {
					w.Owner = i
					source.Tasks = append(source.Tasks, w)
				}
				sources = append(sources, source)
			}
		}
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			for b.Loop() {
				p := NewPlanner(board.machines, func(*placement.Machine) bool { return true })
				if moves := p.Rebalance(board.params, sources); len(moves) == 0 {
					b.Fatal("nothing is planned")
				}
			}
		})
	}
}
