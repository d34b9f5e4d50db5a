package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/coordination/queue"
	"brasskeel/internal/protocol"
)

// checkQuotas decides once for each new job whether it is within its team's quota: whether it
// fits into the quota together with the team's earlier unfinished jobs. A job that exceeds the
// quota on arrival stays outside it. Admitting the jobs of a backlog one by one as earlier ones
// end would preempt other teams' work again and again, although the quota is guaranteed only
// while all unfinished jobs of the team fit into it.
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
		remaining := float64(j.Tasks - j.doneTasks)
		s.cpus += remaining * j.CPUs
		s.gpus += remaining * j.GPUs
		if j.quota != quotaUnchecked {
			continue
		}
		j.quota = quotaExceeded
		if s.cpus <= team.GuaranteedCPUs+protocol.Epsilon && s.gpus <= team.GuaranteedGPUs+protocol.Epsilon {
			j.quota = quotaWithin
		}
	}
}

// queueInfo returns the properties of a job that determine its place in the queue. wall is the
// current wall-clock time, without a monotonic clock reading.
func (j *job) queueInfo(wall time.Time) queue.JobInfo {
	return queue.JobInfo{Priority: j.Priority, WithinQuota: j.withinQuota(), Started: j.liveAttempts > 0 || j.doneTasks > 0, Waited: wall.Sub(j.submitted)}
}

// tier returns a job's tier without ageing.
func (j *job) tier() queue.Tier {
	return queue.JobInfo{Priority: j.Priority, WithinQuota: j.withinQuota()}.Tier()
}

// remainingWork returns the work of a job that isn't done. Its Deadlines are valid until the next
// call: for a job with a deadline, the deadline and half as much time again, so that a job that will be
// much too late weighs more than one that is a little late; for other jobs, the objectives for the
// completion of their class.
func (l *leader) remainingWork(j *job, wall time.Time) queue.RemainingWork {
	l.round.deadlines = l.round.deadlines[:0]
	if j.HasDeadline {
		l.round.deadlines = append(l.round.deadlines, j.Deadline, j.Deadline*3/2)
	} else {
		for i := range l.controller.cfg.Objectives {
			if o := &l.controller.cfg.Objectives[i]; o.Kind == "finished" && o.Class == j.Class {
				l.round.deadlines = append(l.round.deadlines, o.Within)
			}
		}
	}
	return queue.RemainingWork{Tasks: j.Tasks - j.doneTasks, CPUs: j.CPUs, Waited: wall.Sub(j.submitted), Deadlines: l.round.deadlines,
		Runtime: time.Duration(float64(j.EstimatedRuntime) * l.corrections.Factor(j.Class))}
}

// observeRunTime updates the estimate correction of a completed task's class and the speed of its
// machine with the task's run time. It skips attempts that were placed under an earlier leader: when
// they started to run isn't known.
func (l *leader) observeRunTime(a *attempt) {
	if a.state != protocol.Running || a.delivery.Inherited || a.job.EstimatedRuntime <= 0 {
		return
	}
	run := l.controller.now.Sub(a.stateSince)
	l.rebalancer.attemptCompleted(a, run)
	l.corrections.Observe(a.job.Class, run, a.job.EstimatedRuntime)
}

// queueOrder returns the jobs with pending tasks in the order in which they are served. The
// returned slice is valid until the next call.
func (l *leader) queueOrder() []queue.Entry[*job] {
	wall := l.controller.now.Round(0)
	entries := slices.Grow(l.round.queue[:0], len(l.jobsByAge))
	for _, j := range l.jobsByAge {
		if j.pendingTasks() > 0 {
			info, work := j.queueInfo(wall), l.remainingWork(j, wall)
			entries = append(entries, queue.Entry[*job]{Job: j, Tier: info.AgedTier(), Priority: info.AgedPriority(), Weight: work.Weight()})
		}
	}
	queue.Sort(entries)
	l.round.queue = entries
	return entries
}
