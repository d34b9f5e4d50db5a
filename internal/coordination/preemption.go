package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// fetchMissesObjective reports whether fetching the image on a machine alone would take a
// critical task past the time in which its users want it started.
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

// preemptionDelay is how long a job within its team's quota waits for room that
// frees by itself before work of others is stopped for it: a part of the time
// that users allow it. Tasks are short, so most of the room comes by itself,
// and what is stopped has to run again.
func (l *leader) preemptionDelay() time.Duration { return l.quotaStartObjective() * 2 / 5 }

// preemptionDelayOver reports whether a job has waited for long enough to preempt any work that
// has to give way to it.
func (l *leader) preemptionDelayOver(j *job) bool {
	return j.Priority == protocol.Critical || !j.submitted.Add(l.preemptionDelay()).After(l.controller.now.Round(0))
}

// mayPreempt reports whether other work may be stopped for a job now. A job within its team's
// quota gets a timer for the end of its delay; until then it preempts only work that saves a
// checkpoint in time.
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

// checkpointMargin is what it takes, besides saving a checkpoint, to stop work and start other
// work in its place.
const checkpointMargin = time.Second

// checkpointsInTime reports whether a job's tasks save a checkpoint, and end soon enough for a
// job within its team's quota if they are stopped at once, though not once that job's delay is
// over. Little is lost with them.
func (l *leader) checkpointsInTime(j *job) bool {
	objective, duration := l.quotaStartObjective(), j.CheckpointDuration+checkpointMargin
	return j.CheckpointInterval > 0 && duration <= objective && duration > objective-l.preemptionDelay()
}

// hasCheckpointingVictims reports whether there may be such work.
func (l *leader) hasCheckpointingVictims() bool {
	return slices.ContainsFunc(l.jobsByAge, func(j *job) bool { return j.liveAttempts > 0 && l.checkpointsInTime(j) })
}

// quotaStartObjective is the time in which users want work within a quota started.
func (l *leader) quotaStartObjective() time.Duration {
	for i := range l.controller.cfg.Objectives {
		if o := &l.controller.cfg.Objectives[i]; o.Kind == "guarantee" && o.Within > 0 {
			return o.Within
		}
	}
	return 5 * time.Second
}

// preemptible reports whether an attempt has to give way to a job: work of lower priority does,
// and so does what another team runs beyond its own quota when the job lies within its team's.
func (l *leader) preemptible(a *attempt, j *job) bool {
	// What is served before the job would only take its place again.
	if a.stopRequested || a.job == j || a.job.tier() < j.tier() {
		return false
	}
	if a.job.Priority < j.Priority {
		return true
	}
	return j.withinQuota() && a.job.Team != j.Team && !a.job.withinQuota() && a.job.Kind != protocol.Service && l.overQuota(a.job.Team)
}

// overQuota reports whether a team runs more than its quota, even once what
// was told to stop is gone. Without counting that, one round would stop far
// more than what is beyond.
func (l *leader) overQuota(team string) bool {
	u, t := l.teamUsage[team], l.controller.teams[team]
	if u == nil || t == nil {
		return false
	}
	s := l.stoppingUsage[team]
	return u.cpus-s.cpus > t.CPUs+protocol.Epsilon || u.gpus-s.gpus > t.GPUs+protocol.Epsilon
}

// gpuCPUEquivalent is how many CPUs a GPU counts as.
const gpuCPUEquivalent = 8

// lostWork is the work lost when an attempt is stopped now, in seconds of CPUs.
func (l *leader) lostWork(a *attempt) float64 {
	if a.state != protocol.Running {
		return 0
	}
	d := l.controller.now.Sub(a.stateSince)
	if a.job.CheckpointInterval > 0 {
		d = a.job.CheckpointDuration // it saves, and only that time is lost
	}
	return d.Seconds() * (a.job.CPUs + gpuCPUEquivalent*a.job.GPUs)
}

// preemptWithinTeamLimit stops work of the job's own team where the team's limit is
// what keeps a critical job waiting.
func (l *leader) preemptWithinTeamLimit(j *job) {
	if j.Priority != protocol.Critical {
		return
	}
	need := float64(j.pendingTasks()) * j.CPUs
	need -= l.teamUsage[j.Team].headroom(l.controller.teams[j.Team].CPUsMax)
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

// headroom is how many CPUs are left of a limit.
func (u *usage) headroom(cpus float64) float64 { return max(0, cpus-u.cpus) }
