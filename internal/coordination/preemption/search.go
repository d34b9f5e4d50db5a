package preemption

import (
	"container/heap"

	"brasskeel/internal/coordination/placement"
)

// Machines is what a search asks about machines, for the job whose turn it is.
type Machines[M any] interface {
	// Excluded reports whether the job can't use a machine, though other jobs may.
	Excluded(machine M) bool
	// Cost is what making room for one more task of the job on a machine costs; false where
	// no work that gives way makes enough of it.
	Cost(machine M) (cost float64, ok bool)
	// Preempt makes the room that the last call of Cost was asked for, and keeps it for the
	// job.
	Preempt(machine M)
}

// Search finds, one task after the other, the machine where making room costs least. Room that
// earlier rounds are freeing costs nothing and so is taken first. All machines are looked at
// once for all jobs that may preempt the same work, which share the search during a round of
// placement; after that only the one that was chosen last changes. Looking at all of them for
// every task, or every job, kept the leader of a large fleet away from its lease for seconds.
//
// Each machine that was added is in exactly one of three places: among the options, which have
// room for the job's tasks at a cost that was right when it was found and may have risen since;
// skipped, as the present job can't use it; or exhausted, without room for the smallest task
// that was asked for so far. During a round room is only used up, so that what is exhausted
// for a task stays so for larger ones.
type Search[M any] struct {
	options   optionHeap[M]
	skipped   []option[M]
	exhausted []option[M]
	smallest  placement.Resources // task that was asked for so far
	started   bool                // smallest is known
}

// option is a machine in a search.
type option[M any] struct {
	machine M
	cost    float64
	order   int32 // among those of equal cost
}

// Add adds a machine before the first job's turn. Those of equal cost are taken in the order
// in which they were added. most is how many there will be.
func (s *Search[M]) Add(machine M, order, most int) {
	if s.exhausted == nil {
		s.exhausted = make([]option[M], 0, most)
	}
	s.exhausted = append(s.exhausted, option[M]{machine: machine, order: int32(order)})
}

// Started reports whether the search has had a job's turn.
func (s *Search[M]) Started() bool { return s.started }

// BeginJob begins the turn of a job whose tasks have some needs.
func (s *Search[M]) BeginJob(machines Machines[M], needs placement.Resources) {
	s.options = append(s.options, s.skipped...)
	s.skipped = s.skipped[:0]
	if !s.started || needs.CPUs < s.smallest.CPUs || needs.GPUs < s.smallest.GPUs || needs.MemGB < s.smallest.MemGB {
		s.started, s.smallest = true, needs
		s.retryExhausted(machines)
	}
	heap.Init(&s.options)
}

// retryExhausted looks again at machines without room, for a task that isn't larger in every
// respect.
func (s *Search[M]) retryExhausted(machines Machines[M]) {
	left := s.exhausted[:0]
	for _, o := range s.exhausted {
		cost, ok := machines.Cost(o.machine)
		if !ok {
			left = append(left, o)
			continue
		}
		o.cost = cost
		s.options = append(s.options, o)
	}
	s.exhausted = left
}

// PreemptNext makes room for one more task of the job whose turn it is, and reports whether there was
// any to be made.
func (s *Search[M]) PreemptNext(machines Machines[M]) bool {
	for len(s.options) > 0 {
		o := s.options[0]
		if machines.Excluded(o.machine) {
			s.skipped = append(s.skipped, o)
			heap.Pop(&s.options)
			continue
		}
		cost, ok := machines.Cost(o.machine)
		if !ok {
			s.exhaust()
			continue
		}
		if cost > o.cost { // it was found for a smaller task, or what was to give way has ended
			s.update(cost)
			continue
		}
		machines.Preempt(o.machine)
		// What it costs next is at least nothing; it is looked at again when its turn comes.
		if cost == 0 {
			return true
		}
		if cost, ok := machines.Cost(o.machine); ok {
			s.update(cost)
		} else {
			s.exhaust()
		}
		return true
	}
	return false
}

// update gives the best option another cost.
func (s *Search[M]) update(cost float64) {
	s.options[0].cost = cost
	heap.Fix(&s.options, 0)
}

// exhaust takes the best option out of the options: it has no room.
func (s *Search[M]) exhaust() {
	s.exhausted = append(s.exhausted, s.options[0])
	heap.Pop(&s.options)
}

// optionHeap are a heap (container/heap) with the option that costs least on top.
type optionHeap[M any] []option[M]

func (h optionHeap[M]) Len() int { return len(h) }
func (h optionHeap[M]) Less(i, k int) bool {
	a, b := &h[i], &h[k]
	return a.cost < b.cost || a.cost == b.cost && a.order < b.order
}
func (h optionHeap[M]) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push is there for heap.Interface alone: options are appended, then ordered at once.
func (h *optionHeap[M]) Push(x any) { *h = append(*h, x.(option[M])) }

// Pop takes the last option out. It returns nothing, so that nothing is boxed.
func (h *optionHeap[M]) Pop() any {
	*h = (*h)[:len(*h)-1]
	return nil
}
