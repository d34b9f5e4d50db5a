package balance

import (
	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// PlannedUsage holds the resources that planned moves will use on their target machines, in addition
// to those already allocated there. It is a persistent data structure: With copies only what it
// changes, and a plan that is discarded needs no undo.
type PlannedUsage struct {
	usage *iradix.Tree[placement.Resources] // by machine name
}

// NewPlannedUsage returns a PlannedUsage without moves.
func NewPlannedUsage() PlannedUsage { return PlannedUsage{iradix.New[placement.Resources]()} }

// UsageOn returns the resources that planned moves will use on a machine.
func (u PlannedUsage) UsageOn(machine string) placement.Resources {
	r, _ := u.usage.Get([]byte(machine))
	return r
}

// With returns a copy of u with one more move, to a machine on which it will use r.
func (u PlannedUsage) With(machine string, r placement.Resources) PlannedUsage {
	usage, _, _ := u.usage.Insert([]byte(machine), u.UsageOn(machine).Plus(r))
	return PlannedUsage{usage}
}

// TargetCount returns the number of machines to which moves are planned.
func (u PlannedUsage) TargetCount() int { return u.usage.Len() }

// fits reports whether one more task of a job may move to a machine and fits there in addition to the
// planned moves. Of the heartbeat, only the entries of tasks already on the machine are counted.
func (u PlannedUsage) fits(m *placement.Machine, j *protocol.Job) bool {
	return m.Allows(j) && m.FitsInHeartbeat(j) &&
		m.Allocated.Plus(m.Incoming).Plus(u.UsageOn(m.Name)).Plus(placement.Needs(j)).Within(placement.Capacity(m.Spec))
}
