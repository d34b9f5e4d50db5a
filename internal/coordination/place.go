package coordination

import (
	"math"
	"slices"
	"time"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// place gives machines to waiting tasks: per job in order, per task the
// highest score among the machines with room.
func (l *leader) place() {
	c := l.controller
	if l.phase != active || c.storeDown() || !c.now.Before(l.lease.validUntil) {
		return // new placements need the state service
	}
	l.markGuarantees()
	l.balance.beginRound()
	l.balance.land()
	order := l.waitingOrder()
	l.autoscaler.unmetDemand, l.autoscaler.demandIncomplete = l.autoscaler.unmetDemand[:0], false
	l.full, l.work = l.full[:0], len(l.fleetList)+len(order)
	clear(l.searches)
	least, leastMem := math.Inf(1), math.Inf(1)
	for _, j := range order {
		least, leastMem = min(least, j.CPUs), min(leastMem, j.MemGB)
	}
	l.opened, l.roomy, l.zones = l.opened[:0], l.roomy[:0], l.zones[:0]
	for _, m := range l.fleetList {
		m.Promised = placement.Resources{}
		if l.open(m) {
			l.opened = append(l.opened, m)
			if !slices.Contains(l.zones, m.Zone) {
				l.zones = append(l.zones, m.Zone)
			}
			if m.Taken.CPUs+least <= m.Spec.CPUs+protocol.Epsilon && m.Taken.MemGB+leastMem <= m.Spec.MemGB+protocol.Epsilon {
				l.roomy = append(l.roomy, m)
			}
		}
	}
	for _, j := range order {
		if j.turn(c.now.Round(0)) >= rankRest && c.late() {
			// Each start makes reports and records to come. A leader alone with thousands
			// of tasks of a few seconds lost its lease to them again and again.
			l.autoscaler.demandIncomplete = true
			break
		}
		left := j.toStart()
		if l.zoneOpen(j) {
			left = l.placeJob(j)
			if left > 0 && j.overdue(c.now.Round(0)) {
				l.reserve(j)
			}
		}
		if left > 0 && (l.journal.full() || l.work > l.allowance) {
			// The rest waits for records or for the next round, not for room: nothing
			// is stopped for it, and what it needs of the fleet shows once room is all
			// that it lacks.
			l.autoscaler.demandIncomplete = true
			break
		}
		if left > 0 && c.now.Before(j.notBefore) {
			continue
		}
		left = l.trial(j, left)
		if left > 0 && l.zoneOpen(j) && l.presses(j) {
			left = l.makeRoom(j, left)
		}
		if left > 0 && l.placeable(j) {
			l.autoscaler.unmetDemand = append(l.autoscaler.unmetDemand, demand{j, left})
		}
	}
	// A round that ended for its length is followed by one that may take longer, so
	// that those at its end get their turn whatever is before them.
	if l.work > l.allowance {
		l.allowance = min(2*l.allowance, 16*roundWork)
	} else if !l.autoscaler.demandIncomplete {
		l.allowance = roundWork
	}
	if l.autoscaler.demandIncomplete {
		l.controller.after(recordPause+c.lag/2, l.askPlaceAlive)
	} else if len(l.autoscaler.unmetDemand) > 0 {
		l.scheduleScaleOut()
	}
}

// reserve keeps the machine with most free room for one task of a job that is overdue.
// Where small tasks take each bit of room that frees, a large one never finds enough
// of it in one place, although its turn comes first.
func (l *leader) reserve(j *job) {
	var best *machine
	for _, m := range l.opened {
		if m.Promised == (placement.Resources{}) && m.Allows(j.Job) && j.zoneAllows(m.Zone) && m.Spec.Fits(j.Job) && !l.avoids(j, m) &&
			(best == nil || m.Spec.CPUs-m.Taken.CPUs > best.Spec.CPUs-best.Taken.CPUs) {
			best = m
		}
	}
	if best != nil {
		best.Promise(j.Job)
	}
}

// roundWork is how many machines a round may look at, over all jobs. Between rounds
// the leader renews its lease and answers workers and users.
const roundWork = 250_000

// recordPause is how soon a round that ended early is followed by another.
const recordPause = 50 * time.Millisecond

// zoneOpen reports whether a job's rules about zones leave any that has machines.
// Replicas that wait for ever for another zone would otherwise have every machine
// looked at for them in every round.
func (l *leader) zoneOpen(j *job) bool {
	return slices.ContainsFunc(l.zones, func(z string) bool { return (j.Zone == "" || j.Zone == z) && j.zoneAllows(z) })
}

// placeable reports whether any machine that can be rented would take one more
// task of the job: where machines can be had in one zone only, a job that may
// have half of its tasks there waits for ever, and nothing should wait with it.
func (l *leader) placeable(j *job) bool {
	for _, t := range l.controller.types {
		if !j.AllowsType(t.Name) || !t.Fits(j.Job) {
			continue
		}
		for _, z := range t.Zones {
			if (j.Zone == "" || j.Zone == z) && j.zoneAllows(z) {
				return true
			}
		}
	}
	return false
}

// toStart is the number of a job's tasks that wait for a machine.
func (j *job) toStart() int {
	if j.outcome != 0 {
		return 0
	}
	return len(j.waiting) + j.Tasks - j.next
}

// peekTask gives the next task to start, takeTask takes it out.
func (j *job) peekTask() int {
	for len(j.waiting) > 0 {
		i := j.waiting[0]
		if t := j.task(i); !t.done && t.live == nil {
			return i
		}
		j.waiting = j.waiting[1:]
	}
	return j.next
}

func (j *job) takeTask() {
	if len(j.waiting) > 0 {
		j.waiting = j.waiting[1:]
		return
	}
	j.next++
}

// tasksWithinQuota reports whether one more task of the job stays within its team's
// limit, which counts every attempt not proven gone.
func (l *leader) underLimit(j *job) bool {
	team, u := l.controller.teams[j.Team], l.teams[j.Team]
	if team == nil || u == nil {
		return false
	}
	return u.cpus+j.CPUs <= team.CPUsMax+protocol.Epsilon && u.gpus+j.GPUs <= team.GPUsMax+protocol.Epsilon
}

// zoneAllows applies the rules about a job's other tasks. They count wherever
// an attempt may still be.
func (j *job) zoneAllows(zone string) bool {
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
	if l.controller.now.Before(j.notBefore) {
		return j.toStart()
	}
	if j.Kind == protocol.Gang {
		return l.placeGang(j)
	}
	held := 0 // tasks that wait for room on machines with their image
	holders := search{holders: true}
	if !l.underLimit(j) {
		l.makeLimitRoom(j)
		return 0 // more machines wouldn't help
	}
	c := l.candidates(j)
	most := j.toStart()
	if j.turn(l.controller.now.Round(0)) < j.rank() {
		most = min(most, (j.Tasks+9)/10) // it begins; the rest waits in its own turn
	}
	most = l.trial(j, most)
	for placed := 0; placed < most && j.toStart() > held && !l.journal.full(); placed++ {
		if !l.underLimit(j) {
			l.makeLimitRoom(j)
			return 0 // more machines wouldn't help
		}
		i := j.peekTask()
		if i >= j.Tasks {
			return 0
		}
		m := l.best(&c, j)
		if m == nil {
			break
		}
		if c.Best().Above && !l.balance.yields(j) {
			// These have room, though above the ceiling: no machine is rented for them.
			held += min(j.toStart()-held, l.roomAbove(&c, j))
			break
		}
		if l.slowStart(j, m) && holders.turnNext(l, j) {
			held++
			continue
		}
		l.assign(j, i, m)
		m.Emptying = false // it is needed after all
		l.again(&c, j)
	}
	left := j.toStart() - held
	if u, t := l.teams[j.Team], l.controller.teams[j.Team]; j.CPUs > 0 && t != nil {
		left = min(left, int((t.CPUsMax-u.cpus)/j.CPUs+protocol.Epsilon))
	}
	return left
}

// placeGang places all tasks of a gang or none: a part of it would only hold
// room until its workers give up waiting for the rest.
func (l *leader) placeGang(j *job) int {
	need := j.toStart()
	if j.live > 0 {
		return 0 // what is left of the last try ends first
	}
	var chosen []*machine
	needs := placement.Needs(j.Job)
	u := l.teams[j.Team]
	c := l.candidates(j)
	for len(chosen) < need && l.underLimit(j) {
		m := l.best(&c, j)
		if m == nil {
			break
		}
		chosen = append(chosen, m)
		m.Taken = m.Taken.Plus(needs)
		u.cpus, u.gpus = u.cpus+j.CPUs, u.gpus+j.GPUs
		j.zones[m.Zone]++
		l.again(&c, j)
	}
	for _, m := range chosen {
		m.Taken = m.Taken.Minus(needs)
		u.cpus, u.gpus = u.cpus-j.CPUs, u.gpus-j.GPUs
		if j.zones[m.Zone]--; j.zones[m.Zone] == 0 {
			delete(j.zones, m.Zone)
		}
	}
	if len(chosen) < need {
		return need
	}
	for _, m := range chosen {
		l.assign(j, j.peekTask(), m)
		m.Emptying = false
	}
	return 0
}

func (l *leader) assign(j *job, i int, m *machine) {
	j.takeTask()
	l.start(j, i, m)
}

// start begins a new attempt at a task that waits no more.
func (l *leader) start(j *job, i int, m *machine) {
	t := j.task(i)
	t.attempt++
	a := &attempt{job: j, task: i, number: t.attempt, machine: m, placedAt: l.controller.now, stateSince: l.controller.now}
	l.attach(a)
	l.journal.start(a)
}
