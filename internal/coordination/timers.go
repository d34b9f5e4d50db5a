package coordination

import (
	"container/heap"
	"time"
)

// NextTick returns the time at which Tick is due; zero if no timer is set.
func (c *Controller) NextTick() time.Time {
	if len(c.timers) == 0 {
		return time.Time{}
	}
	return c.timers[0].at
}

// timer runs a function at a given time.
type timer struct {
	at  time.Time
	seq uint64 // orders timers with equal times: the one set first runs first
	run func() // nil once cancelled
}

// timerHeap is a heap of timers, the earliest first. It implements heap.Interface.
type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(*timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

// runDueTimers runs all timers that are due, including those that other timers set for the
// current time.
func (c *Controller) runDueTimers() {
	for len(c.timers) > 0 && !c.timers[0].at.After(c.now) {
		t := heap.Pop(&c.timers).(*timer)
		if t.run != nil {
			t.run()
		}
	}
}

// after runs f once d has passed. Setting the timer's run to nil cancels it.
func (c *Controller) after(d time.Duration, f func()) *timer {
	c.lastTimerSeq++
	t := &timer{at: c.now.Add(d), seq: c.lastTimerSeq, run: f}
	heap.Push(&c.timers, t)
	return t
}

// every runs f at intervals of d for the lifetime of the process.
func (c *Controller) every(d time.Duration, f func()) {
	c.after(d, func() { f(); c.every(d, f) })
}

// jitter returns a random duration in [0, d).
func (c *Controller) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(c.rng.Int64N(int64(d)))
}

// processorLoad measures how much of its CPU share this process uses.
type processorLoad struct {
	used  time.Duration // processor time since the process started
	at    time.Time     // when used was measured
	share float64       // part of the CPU share used between the last two measurements; 1: all of it
}

// ObserveProcessorTime records the processor time that this process has used since it started.
// If it is never called, the load counts as zero.
func (c *Controller) ObserveProcessorTime(now time.Time, used time.Duration) {
	p := &c.processorLoad
	if elapsed := now.Sub(p.at); !p.at.IsZero() && elapsed > 0 && c.cfg.CPUShare > 0 {
		p.share = float64(used-p.used) / (float64(elapsed) * c.cfg.CPUShare)
	}
	p.used, p.at = used, now
}
