package balance

import (
	"time"

	"brasskeel/internal/coordination/placement"
)

// CeilingPolicy says how placing a task of a surging team on a machine would leave it.
type CeilingPolicy struct {
	Settings
	Now  time.Time
	Team Team
	Task placement.Task
}

// Exceeds reports whether one more task would put a machine above the ceiling. A machine
// without work of the team may always take one task.
func (j *CeilingPolicy) Exceeds(m *placement.Machine, l *Load) bool {
	r, tasks := l.TeamUsage(j.Team)
	r = r.Plus(m.Incoming) // running work of a surging team is on its way here
	if tasks > 0 && DominantShare(r.Plus(placement.Needs(j.Task.Job)), placement.Capacity(m.Spec)) > j.CeilingShare+shareEpsilon {
		return true
	}
	if m.ImageShare(j.Task) >= 1 {
		return false
	}
	// What it would fetch itself doesn't count: no machine could ever take a larger image.
	queued := l.Fetches.Backlog(j.Now, m.Spec.FetchGBPerSecond)
	return queued > j.MaxFetchBacklog
}

// shareEpsilon absorbs what adding parts of machines leaves behind.
const shareEpsilon = 1e-9

// Penalty is what the score of a machine loses, given the image term's weight.
func (j *CeilingPolicy) Penalty(m *placement.Machine, l *Load, imageWeight float64) float64 {
	if j.LoadPenalty <= 0 {
		return 0
	}
	r, _ := l.TeamUsage(j.Team)
	heat := DominantShare(r, placement.Capacity(m.Spec)) / j.CeilingShare
	cost := j.LoadPenalty.Seconds() * (heat + max(0, l.Speed.Slowdown()-1))
	if m.ImageShare(j.Task) < 1 {
		cost += l.Fetches.Backlog(j.Now, m.Spec.FetchGBPerSecond).Seconds()
	}
	return cost * j.scorePerFetchSecond(m.Spec.FetchGBPerSecond, imageWeight)
}

// scorePerFetchSecond is what a second of fetching the task's image is worth in score: all of it is
// worth the image term's weight.
func (j *CeilingPolicy) scorePerFetchSecond(rate, imageWeight float64) float64 {
	whole := 0.0
	if rate > 0 {
		whole = j.Task.ImageGB / rate
	}
	return max(imageWeight, 0) / max(whole, minFetchSeconds)
}

// minFetchSeconds is the shortest fetch in seconds that a second's worth is derived from.
const minFetchSeconds = 1
