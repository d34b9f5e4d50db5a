package coordination

import (
	"slices"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/coordination/queue"
	"brasskeel/internal/protocol"
)

// pendingTasks returns the number of a job's tasks that wait for a machine.
func (j *job) pendingTasks() int {
	if j.finalState != 0 {
		return 0
	}
	return len(j.retryQueue) + j.Tasks - j.firstUnstarted
}

// nextPendingTask returns the index of the next task to start, without removing it; j.Tasks if there
// is none. Tasks to retry come before those that were never started. It drops from the retry queue
// the tasks at its head that are done or live again.
func (j *job) nextPendingTask() int {
	for len(j.retryQueue) > 0 {
		i := j.retryQueue[0]
		if t := j.task(i); !t.done && t.live == nil {
			return i
		}
		j.retryQueue = j.retryQueue[1:]
	}
	return j.firstUnstarted
}

// popPendingTask removes the task that nextPendingTask returned.
func (j *job) popPendingTask() {
	if len(j.retryQueue) > 0 {
		j.retryQueue = j.retryQueue[1:]
		return
	}
	j.firstUnstarted++
}

// withinTeamLimit reports whether one more task of the job stays within its team's limit. Every
// attempt that is not proven terminated counts towards the limit.
func (l *leader) withinTeamLimit(j *job) bool {
	team, u := l.controller.teams[j.Team], l.teamUsage[j.Team]
	if team == nil || u == nil {
		return false
	}
	return u.cpus+j.CPUs <= team.MaxCPUs+protocol.Epsilon && u.gpus+j.GPUs <= team.MaxGPUs+protocol.Epsilon
}

// zoneAllowed reports whether the job's OneZone and Spread rules allow another task in a zone: all
// tasks in one zone, or at most half of them, rounded up, in any zone. Every attempt that isn't
// proven terminated counts in its zone.
func (j *job) zoneAllowed(zone string) bool {
	if j.OneZone {
		for z := range j.attemptsByZone {
			if z != zone {
				return false
			}
		}
	}
	if j.Spread && j.attemptsByZone[zone]+1 > (j.Tasks+1)/2 {
		return false
	}
	return true
}

// anyZoneAllowed reports whether the job may be placed in at least one zone that has machines
// accepting tasks. Without this check, every round would examine every machine for replicas that wait
// indefinitely for another zone.
func (l *leader) anyZoneAllowed(j *job) bool {
	return slices.ContainsFunc(l.round.zones, func(z string) bool { return (j.Zone == "" || j.Zone == z) && j.zoneAllowed(z) })
}

// provisionable reports whether one more task of the job could run on a machine of some type in some
// zone of that type. If machines are available in one zone only, a job that may have at most half of
// its tasks there (Spread) waits indefinitely. It must not count as unmet demand, which prevents
// consolidation.
func (l *leader) provisionable(j *job) bool {
	for _, t := range l.controller.types {
		if !j.AllowsType(t.Name) || !t.Fits(j.Job) {
			continue
		}
		for _, z := range t.Zones {
			if (j.Zone == "" || j.Zone == z) && j.zoneAllowed(z) {
				return true
			}
		}
	}
	return false
}

// placeJob places as many tasks of a job as possible and returns how many of the remaining tasks more
// machines would help to place; during the job's backoff all of them. tier is the tier in which the
// job is served in this round.
func (l *leader) placeJob(j *job, tier queue.Tier) int {
	if l.controller.now.Before(j.backoffUntil) {
		return j.pendingTasks()
	}
	if j.Kind == protocol.Gang {
		return l.placeGang(j)
	}
	if !l.withinTeamLimit(j) {
		l.preemptWithinTeamLimit(j)
		return 0 // more machines would not help
	}
	candidates := l.findCandidates(j)
	maxTasks := j.pendingTasks()
	if tier < j.tier() {
		// Of a starving job only a tenth of the tasks are placed in the higher tier. Once one of
		// them is live, the job isn't starving any longer, and the next round serves the others
		// in its regular tier.
		maxTasks = min(maxTasks, (j.Tasks+9)/10)
	}
	maxTasks = l.limitQuarantineTrials(j, maxTasks)
	var imageHolders *victimSearch
	held := 0 // tasks that wait for capacity which more machines would not provide
	for placed := 0; placed < maxTasks && j.pendingTasks() > held && !l.writer.saturated(); placed++ {
		if !l.withinTeamLimit(j) {
			l.preemptWithinTeamLimit(j)
			return 0 // more machines would not help
		}
		i := j.nextPendingTask()
		if i >= j.Tasks {
			return 0
		}
		m := l.bestMachine(&candidates, j)
		if m == nil {
			break
		}
		if candidates.Best().AboveCeiling && !l.rebalancer.mayExceedCeiling(j) {
			// The remaining candidates have capacity, but above the surge ceiling. The
			// tasks that fit there wait, and no machine is provisioned for them.
			held += min(j.pendingTasks()-held, l.taskCapacityAboveCeiling(&candidates, j))
			break
		}
		if l.fetchMissesObjective(j, m) && l.preemptOnImageHolder(&imageHolders, j) {
			held++
			continue
		}
		l.assign(j, i, m)
		l.rerankBest(&candidates, j)
	}
	return l.capAtTeamLimit(j, j.pendingTasks()-held)
}

// preemptOnImageHolder makes room for one task on a machine that caches its image, by preempting
// attempts that end at once, and reports whether that was possible. *search is created on first use.
func (l *leader) preemptOnImageHolder(search **victimSearch, j *job) bool {
	if *search == nil {
		*search = &victimSearch{rules: immediateVictims}
		l.beginVictimSearch(*search, j)
	}
	return l.preemptNext(*search, j)
}

// capAtTeamLimit returns how many of the given number of tasks may be started within the CPU limit
// of the job's team.
func (l *leader) capAtTeamLimit(j *job, tasks int) int {
	if u, t := l.teamUsage[j.Team], l.controller.teams[j.Team]; j.CPUs > 0 && t != nil {
		return min(tasks, int((t.MaxCPUs-u.cpus)/j.CPUs+protocol.Epsilon))
	}
	return tasks
}

// placeGang places all tasks of a gang or none: the tasks of a partial gang would only occupy
// resources until their workers time out waiting for the others. It returns how many of the remaining
// tasks more machines would help to place.
func (l *leader) placeGang(j *job) int {
	need := j.pendingTasks()
	if j.liveAttempts > 0 {
		return 0 // the attempts of the gang's previous start have to terminate first
	}
	chosen := l.chooseForGang(j, need)
	if len(chosen) < need {
		return need
	}
	for _, m := range chosen {
		l.assign(j, j.nextPendingTask(), m)
	}
	return 0
}

// chooseForGang chooses a machine for each task of a gang, or for as many tasks as machines and the
// team's limit allow.
// Resources of the chosen machines are allocated while the next ones are chosen, and released
// before it returns.
func (l *leader) chooseForGang(j *job, need int) []*machine {
	var chosen []*machine
	needs := placement.Needs(j.Job)
	u := l.teamUsage[j.Team]
	candidates := l.findCandidates(j)
	for len(chosen) < need && l.withinTeamLimit(j) {
		m := l.bestMachine(&candidates, j)
		if m == nil {
			break
		}
		chosen = append(chosen, m)
		m.Allocated = m.Allocated.Plus(needs)
		u.cpus, u.gpus = u.cpus+j.CPUs, u.gpus+j.GPUs
		j.attemptsByZone[m.Zone]++
		l.rerankBest(&candidates, j)
	}
	for _, m := range chosen {
		m.Allocated = m.Allocated.Minus(needs)
		u.cpus, u.gpus = u.cpus-j.CPUs, u.gpus-j.GPUs
		if j.attemptsByZone[m.Zone]--; j.attemptsByZone[m.Zone] == 0 {
			delete(j.attemptsByZone, m.Zone)
		}
	}
	return chosen
}

// assign starts task i, the job's next pending one, on a machine and ends the machine's
// consolidation.
func (l *leader) assign(j *job, i int, m *machine) {
	j.popPendingTask()
	l.startAttempt(j, i, m)
	m.Consolidating = false
}

// startAttempt creates a new attempt of a task that the caller has removed from the pending
// ones, and queues the record of its start.
func (l *leader) startAttempt(j *job, i int, m *machine) {
	t := j.task(i)
	t.lastAttemptNumber++
	a := &attempt{job: j, taskIndex: i, number: t.lastAttemptNumber, machine: m, placedAt: l.controller.now, stateSince: l.controller.now}
	l.attach(a)
	l.writer.recordStart(a)
}
