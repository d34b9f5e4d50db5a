package preemption

import (
	"container/heap"

	"brasskeel/internal/coordination/placement"
)

// Machines provides a search with the properties of machines, for the current job.
type Machines[M any] interface {
	// Excluded reports whether the current job can't use a machine that other jobs may use.
	Excluded(machine M) bool
	// Cost returns the cost of making room for one more task of the job on a machine; ok is
	// false if preempting all preemptible work there doesn't make enough room.
	Cost(machine M) (cost float64, ok bool)
	// Preempt makes the room whose cost the last call of Cost returned, and reserves it for the
	// job.
	Preempt(machine M)
}

// Search finds, for one task after the other, the machine where making room costs least. Capacity
// that is already being freed costs nothing and is therefore used first. Jobs that may preempt the
// same work share a search during a placement round. To examine a machine is to call Machines.Cost for
// it. The first job examines all machines; after that, PreemptNext examines only the option of the
// lowest cost, and the next ones only if that one can't be used or costs more by now. BeginJob examines
// the exhausted machines again if the job needs less of some resource than examinedNeeds. Examining all
// machines for every task, or for every job, kept the leader of a large fleet from renewing its lease
// for seconds.
//
// Each machine that was added is in exactly one of three lists: options, which had room at a cost that
// may have increased since it was computed; skipped, which the current job can't use; or exhausted,
// which weren't examined yet or had no room when they were examined last. During a round, free
// capacity only decreases, so a machine without room for one task has none for larger ones. A machine
// that was exhausted for a task larger than examinedNeeds may still have room for smaller tasks, but
// isn't examined for them unless they need less of some resource than examinedNeeds.
type Search[M any] struct {
	options       optionHeap[M]
	skipped       []option[M]
	exhausted     []option[M]
	examinedNeeds placement.Resources // needs of the job for which BeginJob last examined the exhausted machines
	started       bool                // examinedNeeds is set
}

// option is a machine in a search.
type option[M any] struct {
	machine M
	cost    float64
	order   int32 // breaks ties between machines of equal cost, lower first
}

// Add adds a machine to a search that hasn't started. Among machines of equal cost, the one with the
// lowest order is chosen. capacity is the expected number of machines. Added machines count as
// exhausted until BeginJob examines them.
func (s *Search[M]) Add(machine M, order, capacity int) {
	if s.exhausted == nil {
		s.exhausted = make([]option[M], 0, capacity)
	}
	s.exhausted = append(s.exhausted, option[M]{machine: machine, order: int32(order)})
}

// Started reports whether BeginJob was called.
func (s *Search[M]) Started() bool { return s.started }

// BeginJob makes a job the current one. needs are the resources that each of its tasks needs. If that
// is less of some resource than examinedNeeds, the exhausted machines are examined again.
func (s *Search[M]) BeginJob(machines Machines[M], needs placement.Resources) {
	s.options = append(s.options, s.skipped...)
	s.skipped = s.skipped[:0]
	if !s.started || needs.CPUs < s.examinedNeeds.CPUs || needs.GPUs < s.examinedNeeds.GPUs || needs.MemGB < s.examinedNeeds.MemGB {
		s.started, s.examinedNeeds = true, needs
		s.retryExhausted(machines)
	}
	heap.Init(&s.options)
}

// retryExhausted examines the exhausted machines, and makes those that have room options.
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

// PreemptNext makes room for one more task of the current job, and reports whether that was
// possible.
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
		if cost > o.cost { // o.cost was for a smaller task, or an attempt to be preempted has ended
			s.update(cost)
			continue
		}
		machines.Preempt(o.machine)
		// The cost of the next task can't be lower than 0, so the machine may stay at the top of
		// the heap. That cost is computed when PreemptNext examines the machine again.
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

// update changes the cost of the option at the top of the heap.
func (s *Search[M]) update(cost float64) {
	s.options[0].cost = cost
	heap.Fix(&s.options, 0)
}

// exhaust moves the option at the top of the heap to the exhausted machines.
func (s *Search[M]) exhaust() {
	s.exhausted = append(s.exhausted, s.options[0])
	heap.Pop(&s.options)
}

// optionHeap implements heap.Interface, with the option of the lowest cost on top.
type optionHeap[M any] []option[M]

func (h optionHeap[M]) Len() int { return len(h) }
func (h optionHeap[M]) Less(i, k int) bool {
	a, b := &h[i], &h[k]
	return a.cost < b.cost || a.cost == b.cost && a.order < b.order
}
func (h optionHeap[M]) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface. It isn't used: options are appended and then ordered by
// heap.Init.
func (h *optionHeap[M]) Push(x any) { *h = append(*h, x.(option[M])) }

// Pop implements heap.Interface. It removes the last option and returns nil instead of it, which
// saves an allocation for the interface value.
func (h *optionHeap[M]) Pop() any {
	*h = (*h)[:len(*h)-1]
	return nil
}
