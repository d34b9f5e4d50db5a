package balance

import (
	"time"

	"brasskeel/internal/coordination/placement"
)

// CeilingPolicy applies the ceiling to the placement of a task of a surging team.
type CeilingPolicy struct {
	Settings
	Now  time.Time
	Team Team
	Task placement.Task
}

// Exceeds reports whether one more task would put a machine above the ceiling: the team would use more
// than CeilingShare of it, or the task's image isn't cached and the fetch backlog is longer than
// MaxFetchBacklog. CeilingShare doesn't apply to the team's first task on a machine: a task that needs
// more than that share would count as above the ceiling even on an empty machine.
func (p *CeilingPolicy) Exceeds(m *placement.Machine, l *Load) bool {
	r, tasks := l.TeamUsage(p.Team)
	r = r.Plus(m.Incoming) // tasks of any surging team that are being migrated to the machine
	if tasks > 0 && DominantShare(r.Plus(placement.Needs(p.Task.Job)), placement.Capacity(m.Spec)) > p.CeilingShare+shareEpsilon {
		return true
	}
	if m.ImageShare(p.Task) >= 1 {
		return false
	}
	// The task's own fetch doesn't count. If it did, no machine could ever take a task whose image
	// takes longer to fetch than MaxFetchBacklog.
	queued := l.Fetches.Backlog(p.Now, m.Spec.FetchGBPerSecond)
	return queued > p.MaxFetchBacklog
}

// shareEpsilon absorbs rounding errors in sums of resources.
const shareEpsilon = 1e-9

// Penalty returns by how much the score of a machine is reduced: for the share of it that the team's
// tasks use, relative to the ceiling, for its slowdown, and for its fetch backlog if the image isn't
// cached. It is 0 if LoadPenalty is 0. imageWeight is the weight of the image term of the score.
func (p *CeilingPolicy) Penalty(m *placement.Machine, l *Load, imageWeight float64) float64 {
	if p.LoadPenalty <= 0 {
		return 0
	}
	r, _ := l.TeamUsage(p.Team)
	load := DominantShare(r, placement.Capacity(m.Spec)) / p.CeilingShare
	cost := p.LoadPenalty.Seconds() * (load + max(0, l.Speed.Slowdown()-1))
	if m.ImageShare(p.Task) < 1 {
		cost += l.Fetches.Backlog(p.Now, m.Spec.FetchGBPerSecond).Seconds()
	}
	return cost * p.scorePerFetchSecond(m.Spec.FetchGBPerSecond, imageWeight)
}

// scorePerFetchSecond converts seconds of fetching into score: fetching the whole image of the task
// corresponds to the weight of the image term. rate is the machine's fetch rate, in GB per second.
func (p *CeilingPolicy) scorePerFetchSecond(rate, imageWeight float64) float64 {
	fetchSeconds := 0.0
	if rate > 0 {
		fetchSeconds = p.Task.ImageGB / rate
	}
	return max(imageWeight, 0) / max(fetchSeconds, minFetchSeconds)
}

// minFetchSeconds is the shortest fetch time from which scorePerFetchSecond is derived. It bounds the
// result for small images and for machines whose fetch rate is unknown.
const minFetchSeconds = 1
