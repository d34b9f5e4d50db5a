package coordination

import (
	"math"
	"slices"
	"time"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// runPlacementRound gives machines to waiting tasks: per job in order, per task the
// highest score among the machines with room.
func (l *leader) runPlacementRound() {
	c := l.controller
	if l.phase != phaseActive || c.storeDown() || !c.now.Before(l.lease.ValidUntil) {
		return // new placements need the state service
	}
	l.checkQuotas()
	l.rebalancer.beginRound()
	l.rebalancer.completeMigrations()
	order := l.queueOrder()
	l.autoscaler.unmetDemand, l.autoscaler.demandIncomplete = l.autoscaler.unmetDemand[:0], false
	l.unplaceable, l.examined = l.unplaceable[:0], len(l.fleetList)+len(order)
	clear(l.victimSearches)
	least, leastMem := math.Inf(1), math.Inf(1)
	for _, j := range order {
		least, leastMem = min(least, j.CPUs), min(leastMem, j.MemoryGB)
	}
	l.accepting, l.withRoom, l.acceptingZones = l.accepting[:0], l.withRoom[:0], l.acceptingZones[:0]
	for _, m := range l.fleetList {
		m.Reserved = placement.Resources{}
		if l.acceptsTasks(m) {
			l.accepting = append(l.accepting, m)
			if !slices.Contains(l.acceptingZones, m.Zone) {
				l.acceptingZones = append(l.acceptingZones, m.Zone)
			}
			if m.Allocated.CPUs+least <= m.Spec.CPUs+protocol.Epsilon && m.Allocated.MemGB+leastMem <= m.Spec.MemoryGB+protocol.Epsilon {
				l.withRoom = append(l.withRoom, m)
			}
		}
	}
	for _, j := range order {
		if j.agedTier(c.now.Round(0)) >= tierBestEffort && c.overload.Overloaded() {
			// Each start makes reports and records to come. A leader alone with thousands
			// of tasks of a few seconds lost its lease to them again and again.
			l.autoscaler.demandIncomplete = true
			break
		}
		left := j.pendingTasks()
		if l.anyZoneAllowed(j) {
			left = l.placeJob(j)
			if left > 0 && j.starving(c.now.Round(0)) {
				l.reserveMachine(j)
			}
		}
		if left > 0 && (l.journal.full() || l.examined > l.examineLimit) {
			// The rest waits for records or for the next round, not for room: nothing
			// is stopped for it, and what it needs of the fleet shows once room is all
			// that it lacks.
			l.autoscaler.demandIncomplete = true
			break
		}
		if left > 0 && c.now.Before(j.backoffUntil) {
			continue
		}
		left = l.limitTrials(j, left)
		if left > 0 && l.anyZoneAllowed(j) && l.mayPreempt(j) {
			left = l.preemptFor(j, left)
		}
		if left > 0 && l.provisionable(j) {
			l.autoscaler.unmetDemand = append(l.autoscaler.unmetDemand, demand{j, left})
		}
	}
	// A round that ended for its length is followed by one that may take longer, so
	// that those at its end get their turn whatever is before them.
	if l.examined > l.examineLimit {
		l.examineLimit = min(2*l.examineLimit, 16*baseExamineLimit)
	} else if !l.autoscaler.demandIncomplete {
		l.examineLimit = baseExamineLimit
	}
	if l.autoscaler.demandIncomplete {
		l.controller.after(interruptedRoundPause+c.overload.Lag()/2, l.requestPlacementIfLeading)
	} else if len(l.autoscaler.unmetDemand) > 0 {
		l.scheduleScaleOut()
	}
}

// reserveMachine keeps the machine with most free room for one task of a job that is overdue.
// Where small tasks take each bit of room that frees, a large one never finds enough
// of it in one place, although its turn comes first.
func (l *leader) reserveMachine(j *job) {
	var best *machine
	for _, m := range l.accepting {
		if m.Reserved == (placement.Resources{}) && m.Allows(j.Job) && j.zoneAllowed(m.Zone) && m.Spec.Fits(j.Job) && !l.avoidsMachine(j, m) &&
			(best == nil || m.Spec.CPUs-m.Allocated.CPUs > best.Spec.CPUs-best.Allocated.CPUs) {
			best = m
		}
	}
	if best != nil {
		best.Reserve(j.Job)
	}
}

// baseExamineLimit is how many machines a round may look at, over all jobs. Between rounds
// the leader renews its lease and answers workers and users.
const baseExamineLimit = 250_000

// interruptedRoundPause is how soon a round that ended early is followed by another.
const interruptedRoundPause = 50 * time.Millisecond

// anyZoneAllowed reports whether a job's rules about zones leave any that has machines.
// Replicas that wait for ever for another zone would otherwise have every machine
// looked at for them in every round.
func (l *leader) anyZoneAllowed(j *job) bool {
	return slices.ContainsFunc(l.acceptingZones, func(z string) bool { return (j.Zone == "" || j.Zone == z) && j.zoneAllowed(z) })
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
func (l *leader) withinLimit(j *job) bool {
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
		for z := range j.zones {
			if z != zone {
				return false
			}
		}
	}
	if j.Spread && j.zones[zone]+1 > (j.Tasks+1)/2 {
		return false
	}
	return true
}

// placeJob places what it can of a job and returns how many tasks are left.
func (l *leader) placeJob(j *job) int {
	if l.controller.now.Before(j.backoffUntil) {
		return j.pendingTasks()
	}
	if j.Kind == protocol.Gang {
		return l.placeGang(j)
	}
	held := 0 // tasks that wait for room on machines with their image
	holders := victimSearch{imageHoldersOnly: true}
	if !l.withinLimit(j) {
		l.preemptWithinLimit(j)
		return 0 // more machines wouldn't help
	}
	c := l.findCandidates(j)
	most := j.pendingTasks()
	if j.agedTier(l.controller.now.Round(0)) < j.queueTier() {
		most = min(most, (j.Tasks+9)/10) // it begins; the rest waits in its own turn
	}
	most = l.limitTrials(j, most)
	for placed := 0; placed < most && j.pendingTasks() > held && !l.journal.full(); placed++ {
		if !l.withinLimit(j) {
			l.preemptWithinLimit(j)
			return 0 // more machines wouldn't help
		}
		i := j.nextPendingTask()
		if i >= j.Tasks {
			return 0
		}
		m := l.bestMachine(&c, j)
		if m == nil {
			break
		}
		if c.Best().AboveCeiling && !l.rebalancer.mayExceedCeiling(j) {
			// These have room, though above the ceiling: no machine is rented for them.
			held += min(j.pendingTasks()-held, l.roomAboveCeiling(&c, j))
			break
		}
		if l.fetchMissesObjective(j, m) && holders.nextForSingleJob(l, j) {
			held++
			continue
		}
		l.assign(j, i, m)
		m.Consolidating = false // it is needed after all
		l.rerankBest(&c, j)
	}
	left := j.pendingTasks() - held
	if u, t := l.teamUsage[j.Team], l.controller.teams[j.Team]; j.CPUs > 0 && t != nil {
		left = min(left, int((t.CPUsMax-u.cpus)/j.CPUs+protocol.Epsilon))
	}
	return left
}

// placeGang places all tasks of a gang or none: a part of it would only hold
// room until its workers give up waiting for the rest.
func (l *leader) placeGang(j *job) int {
	need := j.pendingTasks()
	if j.liveAttempts > 0 {
		return 0 // what is left of the last try ends first
	}
	var chosen []*machine
	needs := placement.Needs(j.Job)
	u := l.teamUsage[j.Team]
	c := l.findCandidates(j)
	for len(chosen) < need && l.withinLimit(j) {
		m := l.bestMachine(&c, j)
		if m == nil {
			break
		}
		chosen = append(chosen, m)
		m.Allocated = m.Allocated.Plus(needs)
		u.cpus, u.gpus = u.cpus+j.CPUs, u.gpus+j.GPUs
		j.zones[m.Zone]++
		l.rerankBest(&c, j)
	}
	for _, m := range chosen {
		m.Allocated = m.Allocated.Minus(needs)
		u.cpus, u.gpus = u.cpus-j.CPUs, u.gpus-j.GPUs
		if j.zones[m.Zone]--; j.zones[m.Zone] == 0 {
			delete(j.zones, m.Zone)
		}
	}
	if len(chosen) < need {
		return need
	}
	for _, m := range chosen {
		l.assign(j, j.nextPendingTask(), m)
		m.Consolidating = false
	}
	return 0
}

func (l *leader) assign(j *job, i int, m *machine) {
	j.popPendingTask()
	l.startAttempt(j, i, m)
}

// startAttempt begins a new attempt at a task that waits no more.
func (l *leader) startAttempt(j *job, i int, m *machine) {
	t := j.task(i)
	t.attempt++
	a := &attempt{job: j, task: i, number: t.attempt, machine: m, placedAt: l.controller.now, stateSince: l.controller.now}
	l.attach(a)
	l.journal.start(a)
}
