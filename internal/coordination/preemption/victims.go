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

// Work is an attempt that has to give way, with what it is chosen by.
type Work[A any] struct {
	Attempt   A
	Priority  protocol.Priority
	Submitted time.Time // its job
	Lost      float64   // work lost by stopping it now, in seconds of its resources
	Needs     placement.Resources
	Job       string // its ID; with Task it breaks ties
	Task      int
}

// before reports the order in which work is stopped.
func (w *Work[A]) before(o *Work[A]) int {
	if d := int(w.Priority) - int(o.Priority); d != 0 {
		return d
	}
	// The latest job first: taking the least work first would hit the tasks that were just
	// restarted again and again.
	if d := o.Submitted.Compare(w.Submitted); d != 0 {
		return d
	}
	if d := cmp.Compare(w.Lost, o.Lost); d != 0 {
		return d
	}
	if d := cmp.Compare(w.Job, o.Job); d != 0 {
		return d
	}
	return w.Task - o.Task
}

// victimCost is what each victim costs besides its lost work: of two choices that lose the
// same, the one with fewer victims is better.
const victimCost = 1

// Choose finds the work to be stopped on a machine with some room left so that a task with
// some needs fits: the victims, and what stopping them costs, in seconds of their resources.
// It sorts work; the victims are a part of it. None are returned where all of them wouldn't
// do.
func Choose[A any](free, needs placement.Resources, work []Work[A]) (victims []Work[A], cost float64, ok bool) {
	slices.SortFunc(work, func(a, b Work[A]) int { return a.before(&b) })
	for i := range work {
		w := &work[i]
		cost += w.Lost + victimCost
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
