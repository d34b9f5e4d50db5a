// Package queue decides in which order pending jobs are served: by tier, then by priority,
// both with the wait considered (ageing), then by the work that is left.
//
// It is pure: values in, values out. It reads no clock, keeps no jobs, and never decides what
// is placed where or what is preempted.
package queue

import (
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// Tier is a class of service. All pending jobs of a tier are served before those of the next.
type Tier uint8

// The tiers, the first served one first.
const (
	Critical    Tier = iota // of critical priority
	Starving                // has waited for its first task for too long
	WithinQuota             // came within its team's quota
	BestEffort              // all others
)

// StarvingAfter is how long a job may wait for its first task before it goes ahead of all but
// critical ones. Without it a stream of small jobs that fills the cluster keeps large ones
// from ever beginning.
const StarvingAfter = 170 * time.Second

// AgeingStep is the wait that raises a job's priority among pending ones by one. Without it a
// stream of more urgent jobs keeps low ones from ever beginning.
const AgeingStep = 6 * time.Minute

// JobInfo is what a job's place in the queue follows from, besides the work that is left.
type JobInfo struct {
	Priority    protocol.Priority
	WithinQuota bool
	Started     bool          // a task of it is done, or has an attempt that may run
	Waited      time.Duration // since it was submitted; below zero while clocks disagree
}

// Tier is the job's tier, the wait aside. Preemption goes by this one: what may be stopped for
// a job doesn't change by its wait.
func (s JobInfo) Tier() Tier {
	switch {
	case s.Priority == protocol.Critical:
		return Critical
	case s.WithinQuota:
		return WithinQuota
	}
	return BestEffort
}

// AgedTier is the job's tier, the wait for a first task considered.
func (s JobInfo) AgedTier() Tier {
	if t := s.Tier(); t < BestEffort || !s.Starving() {
		return t
	}
	return Starving
}

// Starving reports whether the job has waited for its first task for too long.
func (s JobInfo) Starving() bool { return !s.Started && s.Waited >= StarvingAfter }

// AgedPriority is the priority that waiting has brought the job, below critical.
func (s JobInfo) AgedPriority() int {
	if s.Priority == protocol.Critical {
		return int(protocol.Critical)
	}
	return min(int(protocol.Urgent), int(s.Priority)+int(max(s.Waited, 0)/AgeingStep))
}

// RemainingWork is the work of a job that is left.
type RemainingWork struct {
	Tasks   int           // not done
	Runtime time.Duration // of one task, by the corrected estimate
	CPUs    float64       // of one task
	Waited  time.Duration // since the job was submitted
	// Deadlines are the times since submission in which users want the job finished.
	Deadlines []time.Duration
}

// missedDeadlinePenalty is how many times its work a deadline out of reach adds to a job.
const missedDeadlinePenalty = 4

// Weight says how a job compares with others of the same tier and priority: the smallest goes
// first. It is the work left, since what counts is how many jobs are in time: by deadline alone
// a backlog makes every job a little late. A deadline that can't be met any more makes it count
// several times as much, so that the job gives way without being last: the one task that is
// left of it may be small. Waiting makes it count less, so that no job waits for ever.
//
// Owners' estimates are often wrong by half, so a deadline is given up only when half of the
// estimate is too long for it.
func (b *RemainingWork) Weight() float64 {
	runtime := max(b.Runtime, time.Second)
	waited := max(b.Waited, 0)
	missed := 0
	for _, deadline := range b.Deadlines {
		if waited+runtime/2 >= deadline {
			missed++
		}
	}
	work := runtime.Seconds() * float64(b.Tasks) * max(b.CPUs, 0.1)
	return work * float64(1+missedDeadlinePenalty*missed) / (1 + waited.Minutes()/10)
}

// Entry is a pending job with what it is ordered by.
type Entry[J any] struct {
	Job      J
	Tier     Tier    // aged
	Priority int     // aged; higher first
	Weight   float64 // lower first
}

// Sort puts entries into the order of service. Equal ones stay as they are.
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
