package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// markGuarantees finds the jobs within their team's guarantee: those that fit
// into it together with the team's earlier unfinished jobs when they come. A
// job that came beyond it stays so: to let each of a backlog in as the ones
// before it end would stop other teams' work again and again, although the
// guarantee holds only while all of the team's unfinished jobs fit.
func (l *leader) markGuarantees() {
	sums := map[string]*usage{}
	for _, j := range l.order {
		if j.outcome != 0 {
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
		left := float64(j.Tasks - j.doneCount)
		s.cpus += left * j.CPUs
		s.gpus += left * j.GPUs
		if !j.judged {
			j.judged = true
			j.within = s.cpus <= team.CPUs+protocol.Epsilon && s.gpus <= team.GPUs+protocol.Epsilon
		}
	}
}

// weight says how a job compares with others of the same standing; the
// smallest goes first. It is the work left, since what counts is how many jobs
// are in time: by deadline alone a backlog makes every job a little late. A goal
// that can't be met any more makes it count several times as much, so that the
// job gives way without being last: the one task that is left of it may be
// small. Waiting makes it count less, so that no job waits for ever.
//
// Owners' estimates are often wrong by half, so a goal is given up only when
// half of the estimate is too long for it.
func (l *leader) weight(j *job, wall time.Time) float64 {
	est := max(time.Duration(float64(j.Estimate)*l.biasOf(j.Class)), time.Second)
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
	work := est.Seconds() * float64(j.Tasks-j.doneCount) * max(j.CPUs, 0.1)
	return work * float64(1+missedGoal*missed) / (1 + age.Minutes()/10)
}

// missedGoal is how many times its work a goal out of reach adds to a job.
const missedGoal = 4

// biasOf is how long tasks of a class run, as a multiple of their estimates:
// on some days those are mostly too high or too low.
func (l *leader) biasOf(class string) float64 {
	if b, ok := l.bias[class]; ok {
		return b
	}
	return 1
}

// learn takes a completed task's run time into its class's bias.
func (l *leader) learn(a *attempt) {
	if a.state != protocol.Running || a.inherited || a.job.Estimate <= 0 {
		return
	}
	run := l.controller.now.Sub(a.stateSince)
	l.balance.completed(a, run)
	ratio := float64(run) / float64(a.job.Estimate)
	l.bias[a.job.Class] = l.biasOf(a.job.Class)*0.95 + min(max(ratio, 0.2), 5)*0.05
}

// waitingOrder lists the jobs with waiting tasks in the order they are served:
// critical ones, then those within their team's guarantee, then by priority,
// then by weight.
func (l *leader) waitingOrder() []*job {
	var list []*job
	wall := l.controller.now.Round(0)
	weights := map[*job]float64{}
	for _, j := range l.order {
		if j.toStart() > 0 {
			list = append(list, j)
			weights[j] = l.weight(j, wall)
		}
	}
	slices.SortStableFunc(list, func(a, b *job) int {
		if d := a.turn(wall) - b.turn(wall); d != 0 {
			return d
		}
		if d := b.aged(wall) - a.aged(wall); d != 0 {
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

// rank is a job's standing in the order of service; 1 is that of jobs overdue.
func (j *job) rank() int {
	switch {
	case j.Priority == protocol.Critical:
		return 0
	case j.within:
		return 2
	}
	return rankRest
}

// rankRest is the rank of all that is neither critical nor within a guarantee.
const rankRest = 3

// overdueAfter is how long a job may wait for its first task before it goes ahead
// of all but critical ones, and agingStep the wait that raises its priority among
// those that wait by one. Without either a stream of small jobs, or of more urgent
// ones, that fills the cluster kept large and low ones from ever beginning. What
// may be stopped for a job doesn't change by its wait.
const (
	overdueAfter = 170 * time.Second
	agingStep    = 6 * time.Minute
)

// turn is the job's rank, the wait for a first task considered.
func (j *job) turn(wall time.Time) int {
	if r := j.rank(); r < rankRest || !j.overdue(wall) {
		return r
	}
	return 1
}

// overdue reports whether a job has waited for its first task for too long.
func (j *job) overdue(wall time.Time) bool {
	return j.live == 0 && j.doneCount == 0 && wall.Sub(j.submitted) >= overdueAfter
}

// aged is the priority that waiting has brought a job, below critical.
func (j *job) aged(wall time.Time) int {
	if j.Priority == protocol.Critical {
		return int(protocol.Critical)
	}
	return min(int(protocol.Urgent), int(j.Priority)+int(max(wall.Sub(j.submitted), 0)/agingStep))
}
