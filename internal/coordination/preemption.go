package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// fetchMissesObjective reports whether a task of a critical job would start too late on a machine:
// fetching the part of its image that the machine lacks would alone take longer than an objective for
// the start of its class.
func (l *leader) fetchMissesObjective(j *job, m *machine) bool {
	if j.Priority != protocol.Critical || m.Spec.FetchGBPerSecond <= 0 {
		return false
	}
	fetch := time.Duration((1 - m.ImageShare(j.placementTask())) * j.ImageGB / m.Spec.FetchGBPerSecond * float64(time.Second))
	for i := range l.controller.cfg.Objectives {
		if o := &l.controller.cfg.Objectives[i]; o.Kind == "wait" && o.Class == j.Class && fetch > o.Within {
			return true
		}
	}
	return false
}

// preemptionDelay is how long a job within its team's quota waits for capacity before it preempts
// work of others: two fifths of quotaStartObjective. Tasks are short, so most of the capacity becomes
// free without preemption, and preempted work has to run again.
func (l *leader) preemptionDelay() time.Duration { return l.quotaStartObjective() * 2 / 5 }

// preemptionDelayOver reports whether a job has waited long enough to preempt any preemptible
// work.
func (l *leader) preemptionDelayOver(j *job) bool {
	return j.Priority == protocol.Critical || !j.submitted.Add(l.preemptionDelay()).After(l.controller.now.Round(0))
}

// mayPreempt reports whether a job may preempt other work now. Only critical jobs and jobs within
// their team's quota ever may. Until its preemption delay is over, a job within the quota may preempt
// only work that saves a checkpoint in time (checkpointsInTime); a timer requests a placement round at
// the end of the delay.
func (l *leader) mayPreempt(j *job) bool {
	if j.Priority == protocol.Critical {
		return true
	}
	if !j.withinQuota() {
		return false
	}
	if !l.preemptionDelayOver(j) {
		if !j.preemptionTimerSet {
			j.preemptionTimerSet = true
			l.controller.after(j.submitted.Add(l.preemptionDelay()).Sub(l.controller.now.Round(0))+time.Millisecond, l.requestPlacementIfLeading)
		}
		return l.hasCheckpointingVictims()
	}
	return true
}

// checkpointMargin is the time needed, in addition to saving a checkpoint, to stop an attempt and
// to start another one in its place.
const checkpointMargin = time.Second

// checkpointsInTime reports whether a job's tasks save checkpoints and, as victims, end within
// quotaStartObjective if they are stopped at once, but not if they are stopped only after
// preemptionDelay. Little work is lost with such tasks, so there is no reason to wait.
func (l *leader) checkpointsInTime(j *job) bool {
	objective, duration := l.quotaStartObjective(), j.CheckpointDuration+checkpointMargin
	return j.CheckpointInterval > 0 && duration <= objective && duration > objective-l.preemptionDelay()
}

// hasCheckpointingVictims reports whether any job with live attempts satisfies checkpointsInTime.
func (l *leader) hasCheckpointingVictims() bool {
	return slices.ContainsFunc(l.jobsByAge, func(j *job) bool { return j.liveAttempts > 0 && l.checkpointsInTime(j) })
}

// quotaStartObjective returns the objective for the start of jobs within their team's quota; 5 s
// if none is configured.
func (l *leader) quotaStartObjective() time.Duration {
	for i := range l.controller.cfg.Objectives {
		if o := &l.controller.cfg.Objectives[i]; o.Kind == "guarantee" && o.Within > 0 {
			return o.Within
		}
	}
	return 5 * time.Second
}

// preemptible reports whether an attempt may be preempted for job j. It may if the attempt's job has a
// lower priority than j. A job within its team's quota may also preempt attempts of another team that
// uses more than its own quota, except those of services and of jobs within that other quota. Attempts
// that are already being stopped, and those of j itself or of a higher tier, are never preempted.
func (l *leader) preemptible(a *attempt, j *job) bool {
	// A job of a higher tier is served before j, so the preempted task would only be placed on the
	// freed capacity again.
	if a.stopRequested || a.job == j || a.job.tier() < j.tier() {
		return false
	}
	if a.job.Priority < j.Priority {
		return true
	}
	return j.withinQuota() && a.job.Team != j.Team && !a.job.withinQuota() && a.job.Kind != protocol.Service && l.overQuota(a.job.Team)
}

// overQuota reports whether a team uses more than its quota, not counting attempts that are being
// stopped. If they counted, one round would preempt far more than the excess.
func (l *leader) overQuota(team string) bool {
	u, t := l.teamUsage[team], l.controller.teams[team]
	if u == nil || t == nil {
		return false
	}
	s := l.stoppingUsage[team]
	return u.cpus-s.cpus > t.GuaranteedCPUs+protocol.Epsilon || u.gpus-s.gpus > t.GuaranteedGPUs+protocol.Epsilon
}

// gpuCPUEquivalent is how many CPUs a GPU counts as when lost work is measured.
const gpuCPUEquivalent = 8

// lostWork returns the work that is lost if an attempt is stopped now, in CPU seconds
// (gpuCPUEquivalent for each GPU).
func (l *leader) lostWork(a *attempt) float64 {
	if a.state != protocol.Running {
		return 0
	}
	d := l.controller.now.Sub(a.stateSince)
	if a.job.CheckpointInterval > 0 {
		d = a.job.CheckpointDuration // only the time for saving a checkpoint is lost
	}
	return d.Seconds() * (a.job.CPUs + gpuCPUEquivalent*a.job.GPUs)
}

// preemptWithinTeamLimit preempts lower-priority work of the job's own team if the team's CPU limit
// keeps a critical job waiting: attempts of the lowest priority first, and of the latest job among
// equals.
func (l *leader) preemptWithinTeamLimit(j *job) {
	if j.Priority != protocol.Critical {
		return
	}
	need := float64(j.pendingTasks()) * j.CPUs
	need -= l.teamUsage[j.Team].cpusBelow(l.controller.teams[j.Team].MaxCPUs)
	need -= l.stoppingUsage[j.Team].cpus
	if need <= protocol.Epsilon {
		return
	}
	var victims []*attempt
	for _, m := range l.fleetList {
		for _, a := range m.sortedAttempts() {
			if a.job.Team == j.Team && a.job.Priority < j.Priority && !a.stopRequested {
				victims = append(victims, a)
			}
		}
	}
	slices.SortStableFunc(victims, func(a, b *attempt) int {
		if d := int(a.job.Priority) - int(b.job.Priority); d != 0 {
			return d
		}
		return b.job.submitted.Compare(a.job.submitted)
	})
	for _, a := range victims {
		if need <= protocol.Epsilon {
			return
		}
		need -= a.job.CPUs
		l.controller.log.Debug("attempt preempted under team limit", "job", a.job.ID, "task", a.taskIndex, "beneficiary", j.ID)
		l.stopAttempt(a, l.checkpointGrace(a))
	}
}

// cpusBelow returns how many CPUs are left below a limit.
func (u *usage) cpusBelow(cpus float64) float64 { return max(0, cpus-u.cpus) }
