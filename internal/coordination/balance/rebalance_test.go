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
	work     []Work
	terms    MigrationTerms
}

func newFleet(machines int) *fleet {
	b := &fleet{terms: MigrationTerms{Settings: Settings{CeilingShare: 0.5, FetchQueue: 20 * time.Second, Trade: 20 * time.Second},
		Now: start, StopDuration: time.Second, WriteDuration: 25 * time.Millisecond, Margin: 1.5, MaxMigrations: 8}}
	for i := range machines {
		m := machine(0)
		m.Name, m.Zone = fmt.Sprintf("vm-%04d", i), "a"
		b.machines = append(b.machines, LoadedMachine{Machine: m, Load: &Load{}})
	}
	return b
}

// runs puts a task of a team on a machine.
func (b *fleet) runs(site int, team Team, change func(*Work)) {
	s := b.machines[site]
	job := &protocol.Job{Kind: protocol.Batch, CPUs: 1, MemoryGB: 1, Image: "a", ImageGB: 1, CheckpointInterval: 5 * time.Second, CheckpointDuration: time.Second}
	w := Work{Task: placement.Task{Job: job, Image: 1}, Team: team, Running: true, Ran: 10 * time.Second, Remaining: 100 * time.Second,
		Checkpoints: true, MayUse: func(string) bool { return true }, Owner: site}
	if change != nil {
		change(&w)
	}
	s.Allocated = s.Allocated.Plus(placement.Needs(w.Job))
	s.Load.Reserve(team, placement.Needs(w.Job))
	s.Images.Add(w.Image, w.ImageGB, 20)
	b.work = append(b.work, w)
}

func (b *fleet) plan() []Migration {
	var sources []Source
	for i, s := range b.machines {
		source := Source{LoadedMachine: s}
		for _, w := range b.work {
			if w.Owner == i {
				source.Work = append(source.Work, w)
			}
		}
		if len(source.Work) > 0 {
			sources = append(sources, source)
		}
	}
	return NewPlanner(b.machines, func(*placement.Machine) bool { return true }).Rebalance(b.terms, sources)
}

// A hot machine is cooled down to its ceiling and no further, by moves that pay; the same
// board gives the same plan.
func TestRebalance(t *testing.T) {
	b := newFleet(4)
	for range 4 {
		b.runs(0, 1, nil)
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
	b.terms.MaxMigrations = 1
	if moves := b.plan(); len(moves) != 1 {
		t.Errorf("%d moves where one is allowed", len(moves))
	}
}

// costCases are moves of one of three tasks off a machine, and whether any is made.
var costCases = []struct {
	name   string
	change func(*Work)
	board  func(*fleet)
	moves  bool
}{
	{name: "one that pays", moves: true},
	{name: "unsaved work of minutes", change: func(w *Work) { w.Checkpoints, w.Ran, w.Remaining = false, 4*time.Minute, 5*time.Minute }},
	{name: "unsaved work that began", change: func(w *Work) { w.Checkpoints, w.Ran = false, time.Second }, moves: true},
	{name: "a huge image", change: func(w *Work) { w.ImageGB = 60; w.Remaining = 10 * time.Minute }},
	{name: "saving that takes long", change: func(w *Work) { w.CheckpointDuration = 30 * time.Second }},
	{name: "work about to end", change: func(w *Work) { w.Remaining = 2 * time.Second }},
	{name: "overdue work", change: func(w *Work) { w.Remaining = 0 }},
	{name: "half of what was estimated", change: func(w *Work) { w.Remaining /= 2 }, moves: true},
	{name: "half as long again", change: func(w *Work) { w.Remaining = w.Remaining * 3 / 2 }, moves: true},
	{name: "busy links", board: func(b *fleet) {
		for _, s := range b.machines[1:] {
			s.Load.Fetches.Add(start, 9, 40, 1)
		}
	}},
	{name: "targets as slow", board: func(b *fleet) {
		b.terms.Trade = 0
		for _, s := range b.machines {
			s.Load.Speed = Speed{sum: 10, weight: 10}
		}
	}},
	{name: "a slow machine", board: func(b *fleet) {
		b.terms.Trade = 0
		b.machines[0].Load.Speed = Speed{sum: 10, weight: 10}
	}, moves: true},
	{name: "an even load", board: func(b *fleet) { b.terms.CeilingShare = 1 }},
	{name: "another zone", change: func(w *Work) { w.MayUse = func(zone string) bool { return zone != "a" } }},
	{name: "a replica", change: func(w *Work) { w.Kind = protocol.Service }},
	{name: "a gang", change: func(w *Work) { w.Kind = protocol.Gang }},
	{name: "full targets", board: func(b *fleet) {
		for _, s := range b.machines[1:] {
			s.Incoming = placement.Resources{CPUs: 4}
		}
	}},
}

// A move that costs more than it saves isn't made, with estimates wrong by half both ways.
func TestMigrationsNotWorthwhile(t *testing.T) {
	for _, c := range costCases {
		b := newFleet(3)
		for range 3 {
			b.runs(0, 1, func(w *Work) {
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
func TestMigrationsOutOfAQueue(t *testing.T) {
	b := newFleet(3)
	b.terms.Trade = 0
	b.runs(0, 1, func(w *Work) { w.Running, w.Ran, w.Image = false, 0, 7 })
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
		b.runs(0, 1, nil)
	}
	b.machines[1].Images.Add(1, 1, 20)
	b.machines[1].Spec = nil
	sources := []Source{{LoadedMachine: b.machines[0], Work: b.work}}
	if moves := NewPlanner(b.machines, func(m *placement.Machine) bool { return m.Spec != nil }).Rebalance(b.terms, sources); len(moves) != 0 {
		t.Errorf("%d moves", len(moves))
	}
}

// Two hot teams that would like each other's machines settle: moves that were made leave
// nothing to be moved back.
func TestPlansSettle(t *testing.T) {
	b := newFleet(4)
	for range 3 {
		b.runs(0, 1, nil)
		b.runs(1, 2, nil)
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
			needs := placement.Needs(m.Work.Job)
			b.machines[from].Allocated = b.machines[from].Allocated.Minus(needs)
			b.machines[from].Load.Release(m.Work.Team, needs)
			b.machines[to].Allocated = b.machines[to].Allocated.Plus(needs)
			b.machines[to].Load.Reserve(m.Work.Team, needs)
			for i := range b.work {
				if b.work[i].Owner == from && b.work[i].Team == m.Work.Team {
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
func TestSnapshot(t *testing.T) {
	s := NewSnapshot()
	one := s.With("vm-1", placement.Resources{CPUs: 1})
	two := one.With("vm-1", placement.Resources{CPUs: 2}).With("vm-2", placement.Resources{MemGB: 1})
	if s.Targets() != 0 || one.Allocated("vm-1").CPUs != 1 || two.Allocated("vm-1").CPUs != 3 || one.Targets() != 1 || two.Targets() != 2 {
		t.Errorf("%v, %v, %v", s.Targets(), one.Allocated("vm-1"), two.Allocated("vm-1"))
	}
}

// BenchmarkRebalance plans moves on a fleet in which one machine in eight is hot.
func BenchmarkRebalance(b *testing.B) {
	for _, machines := range []int{250, 1000, 4000} {
		board := newFleet(machines)
		for i := range machines {
			for range 1 + 3*(i%8/7) {
				board.runs(i, 1, nil)
			}
		}
		var sources []Source
		for i, s := range board.machines {
			if i%8 == 7 {
				source := Source{LoadedMachine: s}
				for _, w := range board.work[:4] {
					w.Owner = i
					source.Work = append(source.Work, w)
				}
				sources = append(sources, source)
			}
		}
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			for b.Loop() {
				p := NewPlanner(board.machines, func(*placement.Machine) bool { return true })
				if moves := p.Rebalance(board.terms, sources); len(moves) == 0 {
					b.Fatal("nothing is planned")
				}
			}
		})
	}
}
