package balance

import (
	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// PlannedUsage holds the resources that planned moves will use on their targets, in addition to
// those already allocated. It is a persistent data structure: With copies only what it changes, and
// a plan that is discarded needs no undo.
type PlannedUsage struct {
	allocated *iradix.Tree[placement.Resources] // by machine name
}

// NewPlannedUsage returns a PlannedUsage without moves.
func NewPlannedUsage() PlannedUsage { return PlannedUsage{iradix.New[placement.Resources]()} }

// Allocated returns the resources that planned moves will use on a machine.
func (s PlannedUsage) Allocated(machine string) placement.Resources {
	r, _ := s.allocated.Get([]byte(machine))
	return r
}

// With returns a copy of s with one more move to a machine.
func (s PlannedUsage) With(machine string, r placement.Resources) PlannedUsage {
	allocated, _, _ := s.allocated.Insert([]byte(machine), s.Allocated(machine).Plus(r))
	return PlannedUsage{allocated}
}

// TargetCount returns the number of machines to which moves are planned.
func (s PlannedUsage) TargetCount() int { return s.allocated.Len() }

// fits reports whether one more task of a job may move to a machine, in addition to the planned
// moves.
func (s PlannedUsage) fits(m *placement.Machine, j *protocol.Job) bool {
	return m.Allows(j) && m.FitsInReport(j) &&
		m.Allocated.Plus(m.Incoming).Plus(s.Allocated(m.Name)).Plus(placement.Needs(j)).Within(placement.Capacity(m.Spec))
}
