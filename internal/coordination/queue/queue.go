// Package queue decides in which order pending jobs are served: by tier, then by priority, both
// adjusted for the time that a job has waited (ageing), then by the remaining work (weight).
//
// It consists of pure functions. It reads no clock, keeps no jobs, and never decides what is
// placed where or what is preempted.
package queue

import (
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// Tier is a class of service. All pending jobs of a tier are served before those of the next.
type Tier uint8

// The tiers, in the order of service.
const (
	Critical    Tier = iota // jobs of critical priority
	Starving                // jobs that have waited too long for their first task to start
	WithinQuota             // jobs that were within their team's quota on arrival
	BestEffort              // all other jobs
)

// StarvingAfter is how long a job may wait for its first task to start. After that, a job of the tier
// BestEffort is served before all jobs except critical and other starving ones; a job of another tier
// keeps it. Without StarvingAfter, a continuous stream of small jobs that fills the cluster would keep
// large jobs from ever starting.
const StarvingAfter = 170 * time.Second

// AgeingStep is the waiting time that raises the priority of a pending job by one. Without ageing, a
// continuous stream of more urgent jobs would keep jobs of low priority from ever starting.
const AgeingStep = 6 * time.Minute

// JobInfo holds the properties of a job that determine its place in the queue, other than its
// remaining work.
type JobInfo struct {
	Priority    protocol.Priority
	WithinQuota bool
	Started     bool          // a task is done, or an attempt may be running
	Waited      time.Duration // since the job was submitted; negative if clocks disagree
}

// Tier returns the job's tier without ageing; it is never Starving. Preemption uses it, because what a
// job may preempt doesn't depend on how long the job has waited.
func (info JobInfo) Tier() Tier {
	switch {
	case info.Priority == protocol.Critical:
		return Critical
	case info.WithinQuota:
		return WithinQuota
	}
	return BestEffort
}

// AgedTier returns the job's tier with ageing: a job of the tier BestEffort becomes Starving if it has
// waited too long for its first task.
func (info JobInfo) AgedTier() Tier {
	if t := info.Tier(); t < BestEffort || !info.Starving() {
		return t
	}
	return Starving
}

// Starving reports whether the job has waited too long for its first task to start.
func (info JobInfo) Starving() bool { return !info.Started && info.Waited >= StarvingAfter }

// AgedPriority returns the job's priority, raised by one for each AgeingStep of waiting. Ageing
// never makes a job critical.
func (info JobInfo) AgedPriority() int {
	if info.Priority == protocol.Critical {
		return int(protocol.Critical)
	}
	return min(int(protocol.Urgent), int(info.Priority)+int(max(info.Waited, 0)/AgeingStep))
}

// RemainingWork is the work of a job that isn't done yet.
type RemainingWork struct {
	Tasks   int           // tasks that aren't done
	Runtime time.Duration // of one task, by the corrected estimate
	CPUs    float64       // of one task
	Waited  time.Duration // since the job was submitted
	// Deadlines are the times, counted from submission, by which users want the job finished.
	Deadlines []time.Duration
}

// missedDeadlinePenalty is how many times the work of a job is added to its weight for each
// deadline that can't be met.
const missedDeadlinePenalty = 4

// Weight orders jobs of the same tier and priority: the job of the lowest weight is served first.
// It is based on the remaining work, because the aim is to finish as many jobs as possible in time.
// If jobs were ordered by deadline alone, every job of a backlog would be a little late. Each deadline
// that can no longer be met increases the weight several times, so that most other jobs come first,
// but not all of them: the only remaining task of the late job may be small. Waiting reduces the
// weight, so that no job waits forever.
//
// Users' estimates are often wrong by half, so a deadline counts as missed only if a task that started
// now and ran for half of the estimated run time would not end before it.
func (w *RemainingWork) Weight() float64 {
	runtime := max(w.Runtime, time.Second)
	waited := max(w.Waited, 0)
	missed := 0
	for _, deadline := range w.Deadlines {
		if waited+runtime/2 >= deadline {
			missed++
		}
	}
	work := runtime.Seconds() * float64(w.Tasks) * max(w.CPUs, 0.1)
	return work * float64(1+missedDeadlinePenalty*missed) / (1 + waited.Minutes()/10)
}

// Entry is a pending job with the values by which it is sorted.
type Entry[J any] struct {
	Job      J
	Tier     Tier    // with ageing
	Priority int     // with ageing; higher first
	Weight   float64 // lower first
}

// Sort sorts entries into the order of service. The sort is stable.
func Sort[J any](entries []Entry[J]) {
	slices.SortStableFunc(entries, func(a, b Entry[J]) int {
		if a.Tier != b.Tier {
			return int(a.Tier) - int(b.Tier)
		}
		if a.Priority != b.Priority {
			return b.Priority - a.Priority
		}
		switch {
		case a.Weight < b.Weight:
			return -1
		case a.Weight > b.Weight:
			return 1
		}
		return 0
	})
}
