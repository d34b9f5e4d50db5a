package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"brasskeel/internal/protocol"
)

// Candidate is a machine with room for a task and what ranks it.
type Candidate[M any] struct {
	Machine M
	Above   bool // the task would put it above a ceiling: after all that stay below
	Last    bool // it is being emptied: after all others
	Score   float64
	Room    float64 // free CPUs, for those that score the same
	Order   int32   // among those that score the same and have the same room
}

func (k *Candidate[M]) compare(o *Candidate[M]) int {
	return cmp.Or(compareBool(k.Above, o.Above), compareBool(k.Last, o.Last),
		cmp.Compare(o.Score, k.Score), cmp.Compare(o.Room, k.Room), cmp.Compare(k.Order, o.Order))
}

// compareBool has false first.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Candidates are the machines that may take tasks of a job, the best one first. They are
// scored once, not once per task: placing one changes the score of its own machine alone.
type Candidates[M any] struct{ list []Candidate[M] }

// NewCandidates orders candidates; the list is theirs from here on.
func NewCandidates[M any](list []Candidate[M]) Candidates[M] {
	c := Candidates[M]{list}
	heap.Init(&c)
	return c
}

// Best is the machine with the highest score; ties go to more free room. It is nil when none
// is left.
func (c *Candidates[M]) Best() *Candidate[M] {
	if len(c.list) == 0 {
		return nil
	}
	return &c.list[0]
}

// Drop takes the best one out.
func (c *Candidates[M]) Drop() { heap.Pop(c) }

// Rank ranks the best one anew, after it was given a task.
func (c *Candidates[M]) Rank(k Candidate[M]) {
	c.list[0] = k
	heap.Fix(c, 0)
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (c *Candidates[M]) Len() int           { return len(c.list) }
func (c *Candidates[M]) Less(i, k int) bool { return c.list[i].compare(&c.list[k]) < 0 }
func (c *Candidates[M]) Swap(i, k int)      { c.list[i], c.list[k] = c.list[k], c.list[i] }
func (c *Candidates[M]) Push(x any)         { c.list = append(c.list, x.(Candidate[M])) }
func (c *Candidates[M]) Pop() any {
	last := len(c.list) - 1
	c.list = c.list[:last]
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
func ShapeOf(j *protocol.Job) Shape { return Shape{Needs(j), j.Zone, j.Spot, j.Types} }

// Hopeless reports whether one of the same kind, and no larger, has found nothing. During a
// round room is only used up.
func (s *Shape) Hopeless(failed []Shape) bool {
	for i := range failed {
		f := &failed[i]
		if f.needs.CPUs <= s.needs.CPUs && f.needs.GPUs <= s.needs.GPUs && f.needs.MemGB <= s.needs.MemGB &&
			f.zone == s.zone && f.spot == s.spot && slices.Equal(f.types, s.types) {
			return true
		}
	}
	return false
}
