package placement

import (
	"container/heap"
	"slices"
	"strings"

	"brasskeel/internal/protocol"
)

// Candidate is a machine with room for a task, with the values by which it is ranked.
type Candidate struct {
	Machine       int32 // index in the list of machines with room; breaks ties, lower first
	AboveCeiling  bool  // the task would put the machine above a surge ceiling; ranks after all others
	Consolidating bool  // the machine is being consolidated; ranks after those that aren't
	Score         float64
	FreeCPUs      float64 // ranks machines of equal score, higher first
}

// before reports whether c ranks before o.
func (c *Candidate) before(o *Candidate) bool {
	switch {
	case c.AboveCeiling != o.AboveCeiling:
		return o.AboveCeiling
	case c.Consolidating != o.Consolidating:
		return o.Consolidating
	case c.Score != o.Score:
		return c.Score > o.Score
	case c.FreeCPUs != o.FreeCPUs:
		return c.FreeCPUs > o.FreeCPUs
	}
	return c.Machine < o.Machine
}

// Candidates are the machines that may take tasks of a job, as a priority queue. They are scored
// once per job, not once per task, because placing a task changes only the score of its machine.
type Candidates struct{ list candidateHeap }

// NewCandidates returns a priority queue of the candidates. It takes ownership of the list.
func NewCandidates(list []Candidate) Candidates {
	c := Candidates{list}
	heap.Init(&c.list)
	return c
}

// Best returns the candidate that ranks first, or nil when none is left.
func (c *Candidates) Best() *Candidate {
	if len(c.list) == 0 {
		return nil
	}
	return &c.list[0]
}

// All yields the candidates in no particular order.
func (c *Candidates) All(yield func(*Candidate) bool) {
	for i := range c.list {
		if !yield(&c.list[i]) {
			return
		}
	}
}

// DropBest removes the best candidate.
func (c *Candidates) DropBest() { heap.Pop(&c.list) }

// UpdateBest replaces the best candidate by updated and ranks it again.
func (c *Candidates) UpdateBest(updated Candidate) {
	c.list[0] = updated
	heap.Fix(&c.list, 0)
}

// candidateHeap implements heap.Interface, with the best candidate on top.
type candidateHeap []Candidate

func (h candidateHeap) Len() int           { return len(h) }
func (h candidateHeap) Less(i, k int) bool { return h[i].before(&h[k]) }
func (h candidateHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface. It isn't used: candidates are only added by NewCandidates.
func (h *candidateHeap) Push(x any) { *h = append(*h, x.(Candidate)) }

// Pop implements heap.Interface. It removes the last candidate and returns nil instead of it,
// which saves an allocation for the interface value.
func (h *candidateHeap) Pop() any {
	*h = (*h)[:len(*h)-1]
	return nil
}

// Shape holds the properties of a task that determine on which machines it can be placed: the
// resources that it needs and the machines that it may use.
type Shape struct {
	needs Resources
	zone  string
	spot  bool
	types []string
}

// ShapeOf returns the shape of a job's tasks.
func ShapeOf(j *protocol.Job) Shape { return Shape{Needs(j), j.Zone, j.AllowSpot, j.MachineTypes} }

// KnownNotToFit reports whether tasks of the shape can't fit because failed contains a shape with the
// same restrictions that needs no more of any resource. failed holds the shapes that found no room
// earlier in the placement round; during a round, free capacity only decreases.
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

// ShapeKey is a comparable form of Shape, for use as a map key.
type ShapeKey struct {
	needs       Resources
	zone, types string
	spot        bool
}

// ShapeKeyOf returns the key of the shape of a job's tasks.
func ShapeKeyOf(j *protocol.Job) ShapeKey {
	return ShapeKey{Needs(j), j.Zone, strings.Join(j.MachineTypes, " "), j.AllowSpot}
}
