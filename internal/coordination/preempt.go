package coordination

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"
	"time"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

// makeRoom stops work that has to give way to a job, as far as that gives
// tasks of it a machine, and returns how many tasks still have none. The
// victims' room is free once their exit is reported; the job's tasks are
// placed then.
func (l *leader) makeRoom(j *job, left int) int {
	k := kindOf(j)
	k.early = !l.patient(j)
	s := l.searches[k]
	if s == nil {
		s = &search{savers: k.early}
		l.searches[k] = s
	}
	s.turn(l, j)
	for left > 0 && s.next(l, j) {
		left--
	}
	return left
}

// free stops attempts on a machine and promises the room to a job.
func (l *leader) free(m *machine, victims []*attempt, j *job) {
	for _, a := range victims {
		l.controller.log.Debug("preempted", "job", a.job.ID, "task", a.task, "machine", m.Name, "for", j.ID, "lost", l.wasted(a))
		l.stopAttempt(a, l.checkpointGrace(a))
	}
	m.Promise(j.Job)
}

// slowStart reports whether fetching the image on a machine alone would take a
// critical task past the time in which its users want it started.
func (l *leader) slowStart(j *job, m *machine) bool {
	if j.Priority != protocol.Critical || m.Spec.FetchRate <= 0 {
		return false
	}
	fetch := time.Duration((1 - m.ImageShare(j.wants())) * j.ImageGB / m.Spec.FetchRate * float64(time.Second))
	for i := range l.controller.cfg.Objectives {
		if o := &l.controller.cfg.Objectives[i]; o.Kind == "wait" && o.Class == j.Class && fetch > o.Within {
			return true
		}
	}
	return false
}

// patience is how long a job within its team's guarantee waits for room that
// frees by itself before work of others is stopped for it: a part of the time
// that users allow it. Tasks are short, so most of the room comes by itself,
// and what is stopped has to run again.
func (l *leader) patience() time.Duration { return l.guarantee() * 2 / 5 }

// patient reports whether a job has waited for as long as its patience lasts.
func (l *leader) patient(j *job) bool {
	return j.Priority == protocol.Critical || !j.submitted.Add(l.patience()).After(l.controller.now.Round(0))
}

// presses reports whether others may be stopped for a job now.
func (l *leader) presses(j *job) bool {
	if j.Priority == protocol.Critical {
		return true
	}
	if !j.within {
		return false
	}
	if !l.patient(j) {
		if !j.pressing {
			j.pressing = true
			l.controller.after(j.submitted.Add(l.patience()).Sub(l.controller.now.Round(0))+time.Millisecond, l.askPlaceAlive)
		}
		return l.quickSavers()
	}
	return true
}

// saveMargin is what it takes beyond saving to stop work and start other in its place.
const saveMargin = time.Second

// savesInTime reports whether work saves what it did, and ends soon enough for a job
// within its team's guarantee, if it is stopped at once, though not once that job's
// patience has ended. Little is lost with it.
func (l *leader) savesInTime(a *attempt) bool {
	g := l.guarantee()
	return a.job.Checkpoint > 0 && a.state == protocol.Running && a.job.Save+saveMargin <= g && a.job.Save+saveMargin > g-l.patience()
}

// quickSavers reports whether there may be such work.
func (l *leader) quickSavers() bool {
	g := l.guarantee()
	return slices.ContainsFunc(l.order, func(j *job) bool {
		return j.live > 0 && j.Checkpoint > 0 && j.Save+saveMargin <= g && j.Save+saveMargin > g-l.patience()
	})
}

// guarantee is the time in which users want work within a guarantee started.
func (l *leader) guarantee() time.Duration {
	for i := range l.controller.cfg.Objectives {
		if o := &l.controller.cfg.Objectives[i]; o.Kind == "guarantee" && o.Within > 0 {
			return o.Within
		}
	}
	return 5 * time.Second
}

func (l *leader) askPlaceAlive() {
	if l.alive() {
		l.askPlace()
	}
}

// mayStop tells whether an attempt gives way to a job: work of lower priority
// does, and so does what another team runs beyond its own guarantee when the
// job lies within its team's.
func (l *leader) mayStop(a *attempt, j *job) bool {
	// What is served before the job would only take its place again.
	if a.stopRequested || a.job == j || a.job.rank() < j.rank() {
		return false
	}
	if a.job.Priority < j.Priority {
		return true
	}
	return j.within && a.job.Team != j.Team && !a.job.within && a.job.Kind != protocol.Service && l.beyond(a.job.Team)
}

// beyond reports whether a team runs more than its guarantee, even once what
// was told to stop is gone. Without counting that, one round would stop far
// more than what is beyond.
func (l *leader) beyond(team string) bool {
	u, t := l.teams[team], l.controller.teams[team]
	if u == nil || t == nil {
		return false
	}
	s := l.stopped[team]
	return u.cpus-s.cpus > t.CPUs+protocol.Epsilon || u.gpus-s.gpus > t.GPUs+protocol.Epsilon
}

// wasted is the work lost when an attempt is stopped now, in seconds of its
// resources.
func (l *leader) wasted(a *attempt) float64 {
	if a.state != protocol.Running {
		return 0
	}
	d := l.controller.now.Sub(a.stateSince)
	if a.job.Checkpoint > 0 {
		d = a.job.Save // it saves, and only that time is lost
	}
	return d.Seconds() * (a.job.CPUs + 8*a.job.GPUs)
}

// search finds, one task after the other, the machine where stopping the least work
// makes room for it. Room that earlier rounds are freeing costs nothing and so is
// taken first. All machines are looked at once for all jobs of a kind, which share
// the search during a round; after that only the one that was chosen last changes.
// Looking at all of them for every task, or every job, kept the leader of a large
// fleet away from its lease for seconds.
type search struct {
	begun   bool
	holders bool // only machines that hold the image, and only work that ends at once
	savers  bool // only work that saves in time
	options []option
	aside   []option // not for the job whose turn it is
	failed  []option // without room for the smallest task so far
	least   usage    // that task
	leastGB float64
}

// option is a machine where a task would have room once some work is stopped.
type option struct {
	machine *machine
	cost    float64
	order   int32 // among those of equal cost
}

// kind is what jobs have in common that may stop the same work on the same machines.
type kind struct {
	zone, types string
	spot        bool
	priority    protocol.Priority
	rank        int
	team        string // whose guarantee is asked for
	early       bool   // before its patience has ended
}

func kindOf(j *job) kind {
	k := kind{zone: j.Zone, types: strings.Join(j.Types, " "), spot: j.Spot, priority: j.Priority, rank: j.rank()}
	if j.within {
		k.team = j.Team
	}
	return k
}

// turn makes the search one for a job's tasks.
func (s *search) turn(l *leader, j *job) {
	s.options = append(s.options, s.aside...)
	s.aside = s.aside[:0]
	switch {
	case !s.begun:
		s.begun = true
		l.work += len(l.opened)
		s.failed = make([]option, 0, len(l.opened))
		for i, m := range l.opened {
			if m.Allows(j.Job) && !(s.holders && m.Images.Bytes(j.image) < j.ImageGB) {
				s.failed = append(s.failed, option{m, 0, int32(i)})
			}
		}
	case j.CPUs >= s.least.cpus && j.GPUs >= s.least.gpus && j.MemGB >= s.leastGB:
		// What had no room for a smaller task has none for this one: during a round
		// room is only used up.
		heap.Init(s)
		return
	}
	s.least, s.leastGB = usage{j.CPUs, j.GPUs}, j.MemGB
	failed := s.failed[:0]
	for _, o := range s.failed {
		cost, _, ok := l.roomFor(j, o.machine, s)
		if !ok {
			failed = append(failed, o)
			continue
		}
		o.cost = cost
		s.options = append(s.options, o)
	}
	s.failed = failed
	heap.Init(s)
}

// turnNext is next for a search that serves one job alone.
func (s *search) turnNext(l *leader, j *job) bool {
	if !s.begun {
		s.turn(l, j)
	}
	return s.next(l, j)
}

// next stops work for one more task of the job and promises it the room, if there
// is any.
func (s *search) next(l *leader, j *job) bool {
	for len(s.options) > 0 {
		o := s.options[0]
		if !j.zoneAllows(o.machine.Zone) || o.machine.failuresByJob[j.ID] > 0 {
			s.aside = append(s.aside, o)
			heap.Pop(s)
			continue
		}
		cost, victims, ok := l.roomFor(j, o.machine, s)
		if !ok {
			s.failed = append(s.failed, o)
			heap.Pop(s)
			continue
		}
		if cost > o.cost { // it was found for a smaller task, or what was to give way has ended
			s.options[0].cost = cost
			heap.Fix(s, 0)
			continue
		}
		l.free(o.machine, victims, j)
		// What it costs next is at least nothing; it is looked at again when its
		// turn comes.
		if cost == 0 {
			return true
		}
		if cost, _, ok := l.roomFor(j, o.machine, s); ok {
			s.options[0].cost = cost
			heap.Fix(s, 0)
		} else {
			s.failed = append(s.failed, o)
			heap.Pop(s)
		}
		return true
	}
	return false
}

// machineWithRoom reports whether stopping some work on a machine makes room for one task
// of a job, what that would cost, and which work it is. The list is good until the
// next call.
func (l *leader) roomFor(j *job, m *machine, s *search) (cost float64, victims []*attempt, ok bool) {
	l.work++
	free := placement.Capacity(m.Spec).Minus(m.Taken).Plus(m.Ending).Minus(m.Promised).Minus(m.Held)
	cpus, gpus, mem := free.CPUs, free.GPUs, free.MemGB
	fits := func() bool {
		return cpus >= j.CPUs-protocol.Epsilon && gpus >= j.GPUs-protocol.Epsilon && mem >= j.MemGB-protocol.Epsilon
	}
	if fits() {
		return 0, nil, true
	}
	// What may give way at the most: lower work, or what other teams have borrowed.
	if !j.within {
		most := cpus
		for p := protocol.Priority(0); p < j.Priority; p++ {
			most += m.cpusByPriority[p]
		}
		if most < j.CPUs-protocol.Epsilon {
			return 0, nil, false
		}
	}
	l.work += 10
	l.yielding = l.yielding[:0]
	freed := usage{}
	for _, a := range m.attemptList {
		if l.mayStop(a, j) && !(s.holders && l.checkpointGrace(a) > 0) && !(s.savers && !l.savesInTime(a)) {
			l.yielding = append(l.yielding, a)
			freed.cpus += a.job.CPUs
		}
	}
	if cpus+freed.cpus < j.CPUs-protocol.Epsilon {
		return 0, nil, false
	}
	slices.SortFunc(l.yielding, func(a, b *attempt) int {
		if d := int(a.job.Priority) - int(b.job.Priority); d != 0 {
			return d
		}
		// The latest job first: taking the least work first would hit the
		// tasks that were just restarted again and again.
		if d := b.job.submitted.Compare(a.job.submitted); d != 0 {
			return d
		}
		if d := cmp.Compare(l.wasted(a), l.wasted(b)); d != 0 {
			return d
		}
		return compareAttempts(a, b)
	})
	for i, a := range l.yielding {
		cost += l.wasted(a) + 1
		cpus += a.job.CPUs
		gpus += a.job.GPUs
		mem += a.job.MemGB
		if fits() {
			return cost, l.yielding[:i+1], true
		}
	}
	return 0, nil, false
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (s *search) Len() int { return len(s.options) }
func (s *search) Less(i, k int) bool {
	a, b := &s.options[i], &s.options[k]
	return a.cost < b.cost || a.cost == b.cost && a.order < b.order
}
func (s *search) Swap(i, k int) { s.options[i], s.options[k] = s.options[k], s.options[i] }
func (s *search) Push(x any)    { s.options = append(s.options, x.(option)) }
func (s *search) Pop() any {
	s.options = s.options[:len(s.options)-1]
	return nil
}

// makeLimitRoom stops work of the job's own team where the team's limit is
// what keeps a critical job waiting.
func (l *leader) makeLimitRoom(j *job) {
	if j.Priority != protocol.Critical {
		return
	}
	need := float64(j.toStart()) * j.CPUs
	need -= l.teams[j.Team].headUnder(l.controller.teams[j.Team].CPUsMax)
	need -= l.stopped[j.Team].cpus
	if need <= protocol.Epsilon {
		return
	}
	var candidates []*attempt
	for _, m := range l.fleetList {
		for _, a := range m.sortedAttempts() {
			if a.job.Team == j.Team && a.job.Priority < j.Priority && !a.stopRequested &&
				(j.Priority == protocol.Critical || a.job.Checkpoint > 0) {
				candidates = append(candidates, a)
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b *attempt) int {
		if d := int(a.job.Priority) - int(b.job.Priority); d != 0 {
			return d
		}
		return b.job.submitted.Compare(a.job.submitted)
	})
	for _, a := range candidates {
		if need <= protocol.Epsilon {
			return
		}
		need -= a.job.CPUs
		l.controller.log.Debug("preempted under the team's limit", "job", a.job.ID, "task", a.task, "for", j.ID)
		l.stopAttempt(a, l.checkpointGrace(a))
	}
}

// headUnder is what is left of a limit.
func (u *usage) headUnder(cpus float64) float64 { return max(0, cpus-u.cpus) }
