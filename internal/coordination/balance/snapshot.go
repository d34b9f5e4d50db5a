package balance

import (
	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// Snapshot is the room that planned moves take of machines, beside what is taken there. It is
// persistent: a plan that is tried costs what it changes, and one that isn't kept leaves
// nothing behind.
type Snapshot struct {
	taken *iradix.Tree[placement.Resources] // by machine
}

// NewSnapshot is one without moves.
func NewSnapshot() Snapshot { return Snapshot{iradix.New[placement.Resources]()} }

// Allocated is what planned moves take of a machine.
func (s Snapshot) Allocated(machine string) placement.Resources {
	r, _ := s.taken.Get([]byte(machine))
	return r
}

// With is a snapshot with one move more.
func (s Snapshot) With(machine string, r placement.Resources) Snapshot {
	taken, _, _ := s.taken.Insert([]byte(machine), s.Allocated(machine).Plus(r))
	return Snapshot{taken}
}

// Targets is how many machines moves are planned to.
func (s Snapshot) Targets() int { return s.taken.Len() }

// fits reports whether one more task of a job may move to a machine.
func (s Snapshot) fits(m *placement.Machine, j *protocol.Job) bool {
	return m.Allows(j) && m.FitsInReport(j) &&
		m.Allocated.Plus(m.Incoming).Plus(s.Allocated(m.Name)).Plus(placement.Needs(j)).Within(placement.Capacity(m.Spec))
}
