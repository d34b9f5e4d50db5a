// Package preemption chooses what is stopped to make room for a task: which work on one
// machine (Choose), and on which machine of many that costs least (Search).
//
// It owns the state of a search. It never stops anything itself, and never decides who may
// preempt whom: its callers hand it only work that has to give way. It reads no clock.
package preemption

import (
	"cmp"
	"slices"
	"time"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// Candidate is an attempt that has to give way, with what it is chosen by.
type Candidate[A any] struct {
	Attempt      A
	Priority     protocol.Priority
	JobSubmitted time.Time // its job
	LostWork     float64   // work lost by stopping it now, in seconds of its resources
	Needs        placement.Resources
	JobID        string // its ID; with Task it breaks ties
	TaskIndex    int
}

// before reports the order in which work is stopped.
func (w *Candidate[A]) before(o *Candidate[A]) int {
	if d := int(w.Priority) - int(o.Priority); d != 0 {
		return d
	}
	// The latest job first: taking the least work first would hit the tasks that were just
	// restarted again and again.
	if d := o.JobSubmitted.Compare(w.JobSubmitted); d != 0 {
		return d
	}
	if d := cmp.Compare(w.LostWork, o.LostWork); d != 0 {
		return d
	}
	if d := cmp.Compare(w.JobID, o.JobID); d != 0 {
		return d
	}
	return w.TaskIndex - o.TaskIndex
}

// costPerVictim is what each victim costs besides its lost work: of two choices that lose the
// same, the one with fewer victims is better.
const costPerVictim = 1

// ChooseVictims finds the work to be stopped on a machine with some room left so that a task with
// some needs fits: the victims, and what stopping them costs, in seconds of their resources.
// It sorts work; the victims are a part of it. None are returned where all of them wouldn't
// do.
func ChooseVictims[A any](free, needs placement.Resources, work []Candidate[A]) (victims []Candidate[A], cost float64, ok bool) {
	slices.SortFunc(work, func(a, b Candidate[A]) int { return a.before(&b) })
	for i := range work {
		w := &work[i]
		cost += w.LostWork + costPerVictim
		free = free.Plus(w.Needs)
		if Fits(free, needs) {
			return work[:i+1], cost, true
		}
	}
	return nil, 0, false
}

// Fits reports whether a task with some needs fits into the room left.
func Fits(free, needs placement.Resources) bool {
	return free.CPUs >= needs.CPUs-protocol.Epsilon && free.GPUs >= needs.GPUs-protocol.Epsilon && free.MemGB >= needs.MemGB-protocol.Epsilon
}
