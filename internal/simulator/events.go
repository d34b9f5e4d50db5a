package simulator

import (
	"container/heap"
	"time"
)

// event is a function to run at a simulated time.
type event struct {
	at  time.Time
	seq uint64 // orders events of the same time
	run func() // nil if the event was cancelled
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// Advance advances the simulated clock by d and runs the events that are due.
func (c *Cluster) Advance(d time.Duration) { c.advanceTo(c.now.Add(d)) }

// advanceTo advances the simulated clock to end and runs the events that are due.
func (c *Cluster) advanceTo(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(*event)
		c.now = e.at
		if e.run != nil {
			e.run()
		}
	}
	c.now = end
}

// after schedules run to be called after a delay.
func (c *Cluster) after(d time.Duration, run func()) *event {
	c.lastEventSeq++
	e := &event{at: c.now.Add(max(d, 0)), seq: c.lastEventSeq, run: run}
	heap.Push(&c.events, e)
	return e
}
