package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// checkQuotas finds the jobs within their team's guarantee: those that fit
// into it together with the team's earlier unfinished jobs when they come. A
// job that came beyond it stays so: to let each of a backlog in as the ones
// before it end would stop other teams' work again and again, although the
// guarantee holds only while all of the team's unfinished jobs fit.
func (l *leader) checkQuotas() {
	sums := map[string]*usage{}
	for _, j := range l.jobsByAge {
		if j.finalState != 0 {
			continue
		}
		team := l.controller.teams[j.Team]
		if team == nil {
			continue
		}
		s := sums[j.Team]
		if s == nil {
			s = &usage{}
			sums[j.Team] = s
		}
		left := float64(j.Tasks - j.doneTasks)
		s.cpus += left * j.CPUs
		s.gpus += left * j.GPUs
		if !j.quotaChecked {
			j.quotaChecked = true
			j.withinQuota = s.cpus <= team.CPUs+protocol.Epsilon && s.gpus <= team.GPUs+protocol.Epsilon
		}
	}
}

// queueWeight says how a job compares with others of the same standing; the
// smallest goes first. It is the work left, since what counts is how many jobs
// are in time: by deadline alone a backlog makes every job a little late. A goal
// that can't be met any more makes it count several times as much, so that the
// job gives way without being last: the one task that is left of it may be
// small. Waiting makes it count less, so that no job waits for ever.
//
// Owners' estimates are often wrong by half, so a goal is given up only when
// half of the estimate is too long for it.
func (l *leader) queueWeight(j *job, wall time.Time) float64 {
	est := max(time.Duration(float64(j.EstimatedRuntime)*l.correctionOf(j.Class)), time.Second)
	var goals []time.Duration
	if j.HasDeadline {
		goals = append(goals, j.Deadline, j.Deadline*3/2)
	} else {
		for i := range l.controller.cfg.Objectives {
			if o := &l.controller.cfg.Objectives[i]; o.Kind == "finished" && o.Class == j.Class {
				goals = append(goals, o.Within)
			}
		}
	}
	age := max(wall.Sub(j.submitted), 0)
	missed := 0
	for _, goal := range goals {
		if age+est/2 >= goal {
			missed++
		}
	}
	work := est.Seconds() * float64(j.Tasks-j.doneTasks) * max(j.CPUs, 0.1)
	return work * float64(1+missedObjectivePenalty*missed) / (1 + age.Minutes()/10)
}

// missedObjectivePenalty is how many times its work a goal out of reach adds to a job.
const missedObjectivePenalty = 4

// correctionOf is how long tasks of a class run, as a multiple of their estimates:
// on some days those are mostly too high or too low.
func (l *leader) correctionOf(class string) float64 {
	if b, ok := l.estimateCorrection[class]; ok {
		return b
	}
	return 1
}

// observeRunTime takes a completed task's run time into its class's bias.
func (l *leader) observeRunTime(a *attempt) {
	if a.state != protocol.Running || a.inherited || a.job.EstimatedRuntime <= 0 {
		return
	}
	run := l.controller.now.Sub(a.stateSince)
	l.rebalancer.attemptCompleted(a, run)
	ratio := float64(run) / float64(a.job.EstimatedRuntime)
	l.estimateCorrection[a.job.Class] = l.correctionOf(a.job.Class)*0.95 + min(max(ratio, 0.2), 5)*0.05
}

// queueOrder lists the jobs with waiting tasks in the order they are served:
// critical ones, then those within their team's guarantee, then by priority,
// then by weight.
func (l *leader) queueOrder() []*job {
	var list []*job
	wall := l.controller.now.Round(0)
	weights := map[*job]float64{}
	for _, j := range l.jobsByAge {
		if j.pendingTasks() > 0 {
			list = append(list, j)
			weights[j] = l.queueWeight(j, wall)
		}
	}
	slices.SortStableFunc(list, func(a, b *job) int {
		if d := a.agedTier(wall) - b.agedTier(wall); d != 0 {
			return d
		}
		if d := b.agedPriority(wall) - a.agedPriority(wall); d != 0 {
			return d
		}
		switch wa, wb := weights[a], weights[b]; {
		case wa < wb:
			return -1
		case wa > wb:
			return 1
		}
		return 0
	})
	return list
}

// queueTier is a job's standing in the order of service; 1 is that of jobs overdue.
func (j *job) queueTier() int {
	switch {
	case j.Priority == protocol.Critical:
		return 0
	case j.withinQuota:
		return 2
	}
	return tierBestEffort
}

// tierBestEffort is the rank of all that is neither critical nor within a guarantee.
const tierBestEffort = 3

// starvingAfter is how long a job may wait for its first task before it goes ahead
// of all but critical ones, and ageingStep the wait that raises its priority among
// those that wait by one. Without either a stream of small jobs, or of more urgent
// ones, that fills the cluster kept large and low ones from ever beginning. What
// may be stopped for a job doesn't change by its wait.
const (
	starvingAfter = 170 * time.Second
	ageingStep    = 6 * time.Minute
)

// agedTier is the job's rank, the wait for a first task considered.
func (j *job) agedTier(wall time.Time) int {
	if r := j.queueTier(); r < tierBestEffort || !j.starving(wall) {
		return r
	}
	return 1
}

// starving reports whether a job has waited for its first task for too long.
func (j *job) starving(wall time.Time) bool {
	return j.liveAttempts == 0 && j.doneTasks == 0 && wall.Sub(j.submitted) >= starvingAfter
}

// agedPriority is the priority that waiting has brought a job, below critical.
func (j *job) agedPriority(wall time.Time) int {
	if j.Priority == protocol.Critical {
		return int(protocol.Critical)
	}
	return min(int(protocol.Urgent), int(j.Priority)+int(max(wall.Sub(j.submitted), 0)/ageingStep))
}
