package coordination

import (
	"container/heap"
	"time"
)

// NextTick is when Tick is due; zero when nothing is planned.
func (c *Controller) NextTick() time.Time {
	if len(c.timers) == 0 {
		return time.Time{}
	}
	return c.timers[0].at
}

// timer is a function that runs in a step of its own.
type timer struct {
	at  time.Time
	seq uint64 // of those for the same time, the first that was set runs first
	run func() // nil once it is cancelled
}

// timerHeap holds the timers, the next one first (heap.Interface).
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

// runDueTimers runs the timers whose time has come, those included that they set for now.
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

// every runs f each d for the life of the process.
func (c *Controller) every(d time.Duration, f func()) {
	c.after(d, func() { f(); c.every(d, f) })
}

// jitter is a random duration below d.
func (c *Controller) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(c.rng.Int64N(int64(d)))
}

// processorLoad is how much of its share of the processor this process uses.
type processorLoad struct {
	used  time.Duration // processor time since the process began
	at    time.Time     // when used was measured
	share float64       // used between the last two measurements, 1 for all of it
}

// ObserveProcessorTime takes how much processor time this process has used since it began. Without
// calls the share counts as zero.
func (c *Controller) ObserveProcessorTime(now time.Time, used time.Duration) {
	p := &c.processorLoad
	if elapsed := now.Sub(p.at); !p.at.IsZero() && elapsed > 0 && c.cfg.CPUShare > 0 {
		p.share = float64(used-p.used) / (float64(elapsed) * c.cfg.CPUShare)
	}
	p.used, p.at = used, now
}
