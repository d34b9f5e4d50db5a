package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// place gives machines to waiting tasks: per job in order, per task the
// highest score among the machines with room.
func (l *lead) place() {
	n := l.n
	if l.phase != active || n.storeDown() || !n.now.Before(l.validUntil) {
		return // new placements need the state service
	}
	l.markGuarantees()
	order := l.waitingOrder()
	l.fleet.unmet = l.fleet.unmet[:0]
	l.countStopping()
	l.roomiest, l.opened = 0, l.opened[:0]
	for _, m := range l.fleetList {
		m.promised, m.promisedMem = usage{}, 0
		if l.open(m) {
			l.roomiest = max(l.roomiest, m.spec.CPUs-m.cpus)
			l.opened = append(l.opened, m)
		}
	}
	for _, j := range order {
		left := l.placeJob(j)
		if left > 0 && n.now.Before(j.notBefore) {
			continue
		}
		if left > 0 && l.presses(j) {
			left = l.makeRoom(j, left)
		}
		if left > 0 && l.placeable(j) {
			l.fleet.unmet = append(l.fleet.unmet, demand{j, left})
		}
	}
	if len(l.fleet.unmet) > 0 {
		l.fleetSoon()
	}
}

// placeable reports whether any machine that can be rented would take one more
// task of the job: where machines can be had in one zone only, a job that may
// have half of its tasks there waits for ever, and nothing should wait with it.
func (l *lead) placeable(j *job) bool {
	for _, t := range l.n.types {
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

// markGuarantees finds the jobs within their team's guarantee: those that fit
// into it together with the team's earlier unfinished jobs when they come. A
// job that came beyond it stays so: to let each of a backlog in as the ones
// before it end would stop other teams' work again and again, although the
// guarantee holds only while all of the team's unfinished jobs fit.
func (l *lead) markGuarantees() {
	sums := map[string]*usage{}
	for _, j := range l.order {
		if j.outcome != 0 {
			continue
		}
		team := l.n.teams[j.Team]
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
func (l *lead) weight(j *job, wall time.Time) float64 {
	est := max(time.Duration(float64(j.Estimate)*l.biasOf(j.Class)), time.Second)
	var goals []time.Duration
	if j.HasDeadline {
		goals = append(goals, j.Deadline, j.Deadline*3/2)
	} else {
		for i := range l.n.cfg.Objectives {
			if o := &l.n.cfg.Objectives[i]; o.Kind == "finished" && o.Class == j.Class {
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
func (l *lead) biasOf(class string) float64 {
	if b, ok := l.bias[class]; ok {
		return b
	}
	return 1
}

// learn takes a completed task's run time into its class's bias.
func (l *lead) learn(a *attempt) {
	if a.state != protocol.Running || a.inherited || a.job.Estimate <= 0 {
		return
	}
	ratio := float64(l.n.now.Sub(a.since)) / float64(a.job.Estimate)
	l.bias[a.job.Class] = l.biasOf(a.job.Class)*0.95 + min(max(ratio, 0.2), 5)*0.05
}

// waitingOrder lists the jobs with waiting tasks in the order they are served:
// critical ones, then those within their team's guarantee, then by priority,
// then by weight.
func (l *lead) waitingOrder() []*job {
	var list []*job
	wall := l.n.now.Round(0)
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

// rank is a job's standing in the order of service.
func (j *job) rank() int {
	switch {
	case j.Priority == protocol.Critical:
		return 0
	case j.within:
		return 1
	}
	return 2
}

// overdueAfter is how long a job may wait for its first task before it goes ahead
// of all but critical ones, and agingStep the wait that raises its priority among
// those that wait by one. Without either a stream of small jobs, or of more urgent
// ones, that fills the cluster kept large and low ones from ever beginning. What
// may be stopped for a job doesn't change by its wait.
const (
	overdueAfter = 100 * time.Second
	agingStep    = 150 * time.Second
)

// turn is the job's rank, the wait for a first task considered.
func (j *job) turn(wall time.Time) int {
	if r := j.rank(); r < 2 || j.live > 0 || j.doneCount > 0 || wall.Sub(j.submitted) < overdueAfter {
		return r
	}
	return 1
}

// aged is the priority that waiting has brought a job, below critical.
func (j *job) aged(wall time.Time) int {
	if j.Priority == protocol.Critical {
		return int(protocol.Critical)
	}
	return min(int(protocol.Urgent), int(j.Priority)+int(max(wall.Sub(j.submitted), 0)/agingStep))
}

// underLimit reports whether one more task of the job stays within its team's
// limit, which counts every attempt not proven gone.
func (l *lead) underLimit(j *job) bool {
	team, u := l.n.teams[j.Team], l.teams[j.Team]
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

// open reports whether a machine takes new tasks: it has reported to this
// leader and been reached by it, is not on its way out, and isn't silent.
func (l *lead) open(m *machine) bool {
	return m.up && !m.reached.IsZero() && m.recorded && m.spec != nil && !m.draining && !m.releasing && m.noticeAt.IsZero() && m.probeFails == 0 &&
		l.n.now.Sub(m.heard) <= l.suspectAfter()
}

// placeJob places what it can of a job and returns how many tasks are left.
func (l *lead) placeJob(j *job) int {
	if l.n.now.Before(j.notBefore) {
		return j.toStart()
	}
	if j.Kind == protocol.Gang {
		return l.placeGang(j)
	}
	held := 0 // tasks that wait for room on machines with their image
	c := l.candidates(j)
	for j.toStart() > held && l.journal.unsaved < maxUnrecorded {
		if !l.underLimit(j) {
			l.makeLimitRoom(j)
			return 0 // more machines wouldn't help
		}
		i := j.peekTask()
		if i >= j.Tasks {
			return 0
		}
		k := c.best(j)
		if k < 0 {
			break
		}
		m := c.list[k].machine
		if l.slowStart(j, m) && l.makeHolderRoom(j) {
			held++
			continue
		}
		l.assign(j, i, m)
		m.emptying = false // it is needed after all
		c.again(l, j, k)
	}
	left := j.toStart() - held
	if u, t := l.teams[j.Team], l.n.teams[j.Team]; j.CPUs > 0 {
		left = min(left, int((t.CPUsMax-u.cpus)/j.CPUs+protocol.Epsilon))
	}
	return left
}

// placeGang places all tasks of a gang or none: a part of it would only hold
// room until its workers give up waiting for the rest.
func (l *lead) placeGang(j *job) int {
	need := j.toStart()
	if j.live > 0 {
		return 0 // what is left of the last try ends first
	}
	var chosen []*machine
	u := l.teams[j.Team]
	c := l.candidates(j)
	for len(chosen) < need && l.underLimit(j) {
		k := c.best(j)
		if k < 0 {
			break
		}
		m := c.list[k].machine
		chosen = append(chosen, m)
		m.cpus, m.gpus, m.mem = m.cpus+j.CPUs, m.gpus+j.GPUs, m.mem+j.MemGB
		u.cpus, u.gpus = u.cpus+j.CPUs, u.gpus+j.GPUs
		j.zones[m.zone]++
		c.again(l, j, k)
	}
	for _, m := range chosen {
		m.cpus, m.gpus, m.mem = m.cpus-j.CPUs, m.gpus-j.GPUs, m.mem-j.MemGB
		u.cpus, u.gpus = u.cpus-j.CPUs, u.gpus-j.GPUs
		if j.zones[m.zone]--; j.zones[m.zone] == 0 {
			delete(j.zones, m.zone)
		}
	}
	if len(chosen) < need {
		return need
	}
	for _, m := range chosen {
		l.assign(j, j.peekTask(), m)
		m.emptying = false
	}
	return 0
}

func (l *lead) assign(j *job, i int, m *machine) {
	j.takeTask()
	t := j.task(i)
	t.attempt++
	a := &attempt{job: j, task: i, number: t.attempt, machine: m, placed: l.n.now, since: l.n.now}
	l.attach(a)
	l.journal.start(a)
}

// candidate is a machine with room for a task and what ranks it.
type candidate struct {
	machine     *machine
	score, room float64
	emptying    bool
}

// candidates are the machines that may take tasks of a job. They are scored once,
// not once per task: placing one changes the score of its own machine alone.
type candidates struct{ list []candidate }

// candidates finds the machines that a job's tasks may be placed on now.
func (l *lead) candidates(j *job) candidates {
	l.ranked = l.ranked[:0]
	// In a full fleet, or while enough waits to be recorded, no machine needs to be
	// looked at.
	if j.CPUs <= l.roomiest+protocol.Epsilon && l.journal.unsaved < maxUnrecorded {
		for _, m := range l.opened {
			if l.takes(m, j) {
				l.ranked = append(l.ranked, l.rank(m, j))
			}
		}
	}
	return candidates{l.ranked}
}

// takes reports whether an open machine may take one more task of a job, zones
// aside.
func (l *lead) takes(m *machine, j *job) bool {
	return m.hasRoom(j.Job) && m.allowed(j.Job) && !(m.failures[j.ID] > 0 && len(j.failedOn) < 3)
}

func (l *lead) rank(m *machine, j *job) candidate {
	return candidate{m, l.score(m, j), m.spec.CPUs - m.cpus, m.emptying}
}

// best is the index of the machine with the highest score, -1 without any; ties go
// to more free room. Machines that are being emptied come only after all others.
func (c *candidates) best(j *job) int {
	best := -1
	for i := range c.list {
		k := &c.list[i]
		if !j.zoneAllows(k.machine.zone) {
			continue
		}
		if best < 0 || k.before(&c.list[best]) {
			best = i
		}
	}
	return best
}

func (k *candidate) before(o *candidate) bool {
	if k.emptying != o.emptying {
		return o.emptying
	}
	return k.score > o.score+protocol.Epsilon || k.score > o.score-protocol.Epsilon && k.room > o.room
}

// again looks anew at a machine that was given a task.
func (c *candidates) again(l *lead, j *job, i int) {
	if m := c.list[i].machine; l.takes(m, j) {
		c.list[i] = l.rank(m, j)
		return
	}
	last := len(c.list) - 1
	c.list[i] = c.list[last]
	c.list = c.list[:last]
}
