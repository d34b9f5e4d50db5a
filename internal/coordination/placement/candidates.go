package placement

import (
	"container/heap"
	"slices"
	"strings"

	"brasskeel/internal/protocol"
)

// Candidate is a machine with room for a task and what ranks it.
type Candidate struct {
	Machine      int32 // its place in the list of those with room; the first goes first among equals
	AboveCeiling bool  // the task would put it above a ceiling: after all that stay below
	LastResort   bool  // it is being emptied: after all others
	Score        float64
	FreeCPUs     float64 // free CPUs, for those that score the same
}

// before reports whether a candidate goes before another one.
func (k *Candidate) before(o *Candidate) bool {
	switch {
	case k.AboveCeiling != o.AboveCeiling:
		return o.AboveCeiling
	case k.LastResort != o.LastResort:
		return o.LastResort
	case k.Score != o.Score:
		return k.Score > o.Score
	case k.FreeCPUs != o.FreeCPUs:
		return k.FreeCPUs > o.FreeCPUs
	}
	return k.Machine < o.Machine
}

// Candidates are the machines that may take tasks of a job, the best one first. They are
// scored once, not once per task: placing one changes the score of its own machine alone.
type Candidates struct{ list candidateHeap }

// NewCandidates orders candidates; the list is theirs from here on.
func NewCandidates(list []Candidate) Candidates {
	c := Candidates{list}
	heap.Init(&c.list)
	return c
}

// Best is the machine with the highest score; ties go to more free room. It is nil when none
// is left.
func (c *Candidates) Best() *Candidate {
	if len(c.list) == 0 {
		return nil
	}
	return &c.list[0]
}

// All yields the candidates in no order.
func (c *Candidates) All(yield func(*Candidate) bool) {
	for i := range c.list {
		if !yield(&c.list[i]) {
			return
		}
	}
}

// DropBest takes the best one out.
func (c *Candidates) DropBest() { heap.Pop(&c.list) }

// UpdateBest ranks the best one anew, after it was given a task.
func (c *Candidates) UpdateBest(k Candidate) {
	c.list[0] = k
	heap.Fix(&c.list, 0)
}

// candidateHeap are candidates as a heap (container/heap) with the best one on top.
type candidateHeap []Candidate

func (h candidateHeap) Len() int           { return len(h) }
func (h candidateHeap) Less(i, k int) bool { return h[i].before(&h[k]) }
func (h candidateHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push is there for heap.Interface alone: candidates are given at once.
func (h *candidateHeap) Push(x any) { *h = append(*h, x.(Candidate)) }

// Pop takes the last candidate out. It returns nothing, so that nothing is boxed.
func (h *candidateHeap) Pop() any {
	*h = (*h)[:len(*h)-1]
	return nil
}

// Shape is what decides where a task finds room: what it takes and what it may use.
type Shape struct {
	needs Resources
	zone  string
	spot  bool
	types []string
}

// ShapeOf is the shape of a job's tasks.
func ShapeOf(j *protocol.Job) Shape { return Shape{Needs(j), j.Zone, j.AllowSpot, j.MachineTypes} }

// KnownNotToFit reports whether one of the same kind, and no larger, has found nothing. During a
// round room is only used up.
func (s *Shape) KnownNotToFit(failed []Shape) bool {
	for i := range failed {
		f := &failed[i]
		if f.needs.CPUs <= s.needs.CPUs && f.needs.GPUs <= s.needs.GPUs && f.needs.MemGB <= s.needs.MemGB &&
			f.zone == s.zone && f.spot == s.spot && slices.Equal(f.types, s.types) {
			return true
		}
	}
	return false
}

// ShapeKey is a shape that can be looked up.
type ShapeKey struct {
	needs       Resources
	zone, types string
	spot        bool
}

// ShapeKeyOf is the key of the shape of a job's tasks.
func ShapeKeyOf(j *protocol.Job) ShapeKey {
	return ShapeKey{Needs(j), j.Zone, strings.Join(j.MachineTypes, " "), j.AllowSpot}
}
