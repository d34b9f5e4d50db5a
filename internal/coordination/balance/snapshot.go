package balance

import (
	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// PlannedUsage is the room that planned moves take of machines, beside what is taken there. It is
// persistent: a plan that is tried costs what it changes, and one that isn't kept leaves
// nothing behind.
type PlannedUsage struct {
	allocated *iradix.Tree[placement.Resources] // by machine
}

// NewPlannedUsage is one without moves.
func NewPlannedUsage() PlannedUsage { return PlannedUsage{iradix.New[placement.Resources]()} }

// Allocated is what planned moves take of a machine.
func (s PlannedUsage) Allocated(machine string) placement.Resources {
	r, _ := s.allocated.Get([]byte(machine))
	return r
}

// With is a snapshot with one move more.
func (s PlannedUsage) With(machine string, r placement.Resources) PlannedUsage {
	taken, _, _ := s.allocated.Insert([]byte(machine), s.Allocated(machine).Plus(r))
	return PlannedUsage{taken}
}

// TargetCount is how many machines moves are planned to.
func (s PlannedUsage) TargetCount() int { return s.allocated.Len() }

// fits reports whether one more task of a job may move to a machine.
func (s PlannedUsage) fits(m *placement.Machine, j *protocol.Job) bool {
	return m.Allows(j) && m.FitsInReport(j) &&
		m.Allocated.Plus(m.Incoming).Plus(s.Allocated(m.Name)).Plus(placement.Needs(j)).Within(placement.Capacity(m.Spec))
}
