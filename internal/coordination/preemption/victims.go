// Package preemption chooses the attempts that are preempted to make room for a task: on one
// machine (ChooseVictims), and on the machine of many where that costs least (Search).
//
// It owns the state of a search. It never stops anything itself, and never decides which job may
// preempt which: its callers pass only preemptible attempts. It reads no clock.
package preemption

import (
	"cmp"
	"slices"
	"time"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// Candidate is a preemptible attempt, with the values by which victims are chosen.
type Candidate[A any] struct {
	Attempt      A
	Priority     protocol.Priority
	JobSubmitted time.Time // when its job was submitted
	LostWork     float64   // work lost by stopping it now, in CPU seconds
	Needs        placement.Resources
	JobID        string // with TaskIndex, breaks ties
	TaskIndex    int
}

// before compares candidates: the result is negative if c is preempted before o.
func (c *Candidate[A]) before(o *Candidate[A]) int {
	if d := int(c.Priority) - int(o.Priority); d != 0 {
		return d
	}
	// Attempts of the job that was submitted last are preempted first. If those with the least lost
	// work were, tasks that were just restarted would be preempted again and again.
	if d := o.JobSubmitted.Compare(c.JobSubmitted); d != 0 {
		return d
	}
	if d := cmp.Compare(c.LostWork, o.LostWork); d != 0 {
		return d
	}
	if d := cmp.Compare(c.JobID, o.JobID); d != 0 {
		return d
	}
	return c.TaskIndex - o.TaskIndex
}

// costPerVictim is the cost of each victim in addition to its lost work: of two choices that lose
// the same work, the one with fewer victims is better.
const costPerVictim = 1

// ChooseVictims chooses the attempts to preempt on a machine with the given free resources so that
// a task with the given needs fits. It returns the victims and the cost of preempting them, in CPU
// seconds: their lost work and costPerVictim for each. The task must not fit without preemption: the
// first candidate is always a victim. ChooseVictims sorts candidates; victims is a prefix of it. ok is
// false if preempting all candidates doesn't make enough room.
func ChooseVictims[A any](free, needs placement.Resources, candidates []Candidate[A]) (victims []Candidate[A], cost float64, ok bool) {
	slices.SortFunc(candidates, func(a, b Candidate[A]) int { return a.before(&b) })
	for i := range candidates {
		c := &candidates[i]
		cost += c.LostWork + costPerVictim
		free = free.Plus(c.Needs)
		if Fits(free, needs) {
			return candidates[:i+1], cost, true
		}
	}
	return nil, 0, false
}

// Fits reports whether a task with the given needs fits into the free resources.
func Fits(free, needs placement.Resources) bool {
	return free.CPUs >= needs.CPUs-protocol.Epsilon && free.GPUs >= needs.GPUs-protocol.Epsilon && free.MemGB >= needs.MemGB-protocol.Epsilon
}
