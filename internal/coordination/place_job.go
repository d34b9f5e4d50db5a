package coordination

import (
	"slices"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/coordination/queue"
	"brasskeel/internal/protocol"
)

// pendingTasks is the number of a job's tasks that wait for a machine.
func (j *job) pendingTasks() int {
	if j.finalState != 0 {
		return 0
	}
	return len(j.retryQueue) + j.Tasks - j.firstUnstarted
}

// nextPendingTask gives the next task to start, popPendingTask takes it out.
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

func (j *job) popPendingTask() {
	if len(j.retryQueue) > 0 {
		j.retryQueue = j.retryQueue[1:]
		return
	}
	j.firstUnstarted++
}

// tasksWithinQuota reports whether one more task of the job stays within its team's
// limit, which counts every attempt not proven gone.
func (l *leader) withinTeamLimit(j *job) bool {
	team, u := l.controller.teams[j.Team], l.teamUsage[j.Team]
	if team == nil || u == nil {
		return false
	}
	return u.cpus+j.CPUs <= team.CPUsMax+protocol.Epsilon && u.gpus+j.GPUs <= team.GPUsMax+protocol.Epsilon
}

// zoneAllowed applies the rules about a job's other tasks. They count wherever
// an attempt may still be.
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

// anyZoneAllowed reports whether a job's rules about zones leave any that has machines.
// Replicas that wait for ever for another zone would otherwise have every machine
// looked at for them in every round.
func (l *leader) anyZoneAllowed(j *job) bool {
	return slices.ContainsFunc(l.round.zones, func(z string) bool { return (j.Zone == "" || j.Zone == z) && j.zoneAllowed(z) })
}

// provisionable reports whether any machine that can be rented would take one more
// task of the job: where machines can be had in one zone only, a job that may
// have half of its tasks there waits for ever, and nothing should wait with it.
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

// placeJob places what it can of a job and returns how many tasks are left that more machines
// would help. tier is the one in which it is served.
func (l *leader) placeJob(j *job, tier queue.Tier) int {
	if l.controller.now.Before(j.backoffUntil) {
		return j.pendingTasks()
	}
	if j.Kind == protocol.Gang {
		return l.placeGang(j)
	}
	if !l.withinTeamLimit(j) {
		l.preemptWithinTeamLimit(j)
		return 0 // more machines wouldn't help
	}
	candidates := l.findCandidates(j)
	most := j.pendingTasks()
	if tier < j.tier() {
		most = min(most, (j.Tasks+9)/10) // it begins; the rest waits in its own turn
	}
	most = l.limitQuarantineTrials(j, most)
	var imageHolders *victimSearch
	held := 0 // tasks that wait for room that isn't to be had by more machines
	for placed := 0; placed < most && j.pendingTasks() > held && !l.writer.saturated(); placed++ {
		if !l.withinTeamLimit(j) {
			l.preemptWithinTeamLimit(j)
			return 0 // more machines wouldn't help
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
			// These have room, though above the ceiling: no machine is rented for them.
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

// preemptOnImageHolder makes room for one task on a machine that holds its image, by stopping
// work that ends at once. The search is made on first use.
func (l *leader) preemptOnImageHolder(search **victimSearch, j *job) bool {
	if *search == nil {
		*search = &victimSearch{rules: immediateVictims}
		l.beginVictimSearch(*search, j)
	}
	return l.preemptNext(*search, j)
}

// capAtTeamLimit is how many of some tasks of a job its team's limit lets start.
func (l *leader) capAtTeamLimit(j *job, tasks int) int {
	if u, t := l.teamUsage[j.Team], l.controller.teams[j.Team]; j.CPUs > 0 && t != nil {
		return min(tasks, int((t.CPUsMax-u.cpus)/j.CPUs+protocol.Epsilon))
	}
	return tasks
}

// placeGang places all tasks of a gang or none: a part of it would only hold room until its
// workers give up waiting for the rest. It returns how many tasks are left that more machines
// would help.
func (l *leader) placeGang(j *job) int {
	need := j.pendingTasks()
	if j.liveAttempts > 0 {
		return 0 // what is left of the last try ends first
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

// chooseForGang chooses a machine for each task of a gang, as far as there are any. Each is
// taken for its task while the next ones are chosen.
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

// assign starts a job's next pending task on a machine, which is needed from now on.
func (l *leader) assign(j *job, i int, m *machine) {
	j.popPendingTask()
	l.startAttempt(j, i, m)
	m.Consolidating = false
}

// startAttempt begins a new attempt at a task that is pending no more.
func (l *leader) startAttempt(j *job, i int, m *machine) {
	t := j.task(i)
	t.lastAttemptNumber++
	a := &attempt{job: j, taskIndex: i, number: t.lastAttemptNumber, machine: m, placedAt: l.controller.now, stateSince: l.controller.now}
	l.attach(a)
	l.writer.recordStart(a)
}
