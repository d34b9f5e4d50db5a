package coordination

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// makeRoom stops work that has to give way to a job, as far as that gives
// tasks of it a machine, and returns how many tasks still have none. The
// victims' room is free once their exit is reported; the job's tasks are
// placed then.
func (l *lead) makeRoom(j *job, left int) int {
	var s search
	for left > 0 && s.next(l, j) {
		left--
	}
	return left
}

// free stops attempts on a machine and promises the room to a job.
func (l *lead) free(m *machine, victims []*attempt, j *job) {
	for _, a := range victims {
		l.n.log.Debug("preempted", "job", a.job.ID, "task", a.task, "machine", m.name, "for", j.ID, "lost", l.wasted(a))
		l.stopAttempt(a, l.saveGrace(a))
	}
	m.promise(j.Job)
}

// slowStart reports whether fetching the image on a machine alone would take a
// critical task past the time in which its users want it started.
func (l *lead) slowStart(j *job, m *machine) bool {
	if j.Priority != protocol.Critical || m.spec.FetchRate <= 0 {
		return false
	}
	fetch := time.Duration((1 - m.imageShare(j)) * j.ImageGB / m.spec.FetchRate * float64(time.Second))
	for i := range l.n.cfg.Objectives {
		if o := &l.n.cfg.Objectives[i]; o.Kind == "wait" && o.Class == j.Class && fetch > o.Within {
			return true
		}
	}
	return false
}

// patience is how long a job within its team's guarantee waits for room that
// frees by itself before work of others is stopped for it: a part of the time
// that users allow it. Tasks are short, so most of the room comes by itself,
// and what is stopped has to run again.
func (l *lead) patience() time.Duration {
	for i := range l.n.cfg.Objectives {
		if o := &l.n.cfg.Objectives[i]; o.Kind == "guarantee" && o.Within > 0 {
			return o.Within * 2 / 5
		}
	}
	return 2 * time.Second
}

// presses reports whether others may be stopped for a job now.
func (l *lead) presses(j *job) bool {
	if j.Priority == protocol.Critical {
		return true
	}
	if !j.within {
		return false
	}
	if wait := j.submitted.Add(l.patience()).Sub(l.n.now.Round(0)); wait > 0 {
		if !j.pressing {
			j.pressing = true
			l.n.after(wait+time.Millisecond, l.askPlaceAlive)
		}
		return false
	}
	return true
}

func (l *lead) askPlaceAlive() {
	if l.alive() {
		l.askPlace()
	}
}

// mayStop tells whether an attempt gives way to a job: work of lower priority
// does, and so does what another team runs beyond its own guarantee when the
// job lies within its team's.
func (l *lead) mayStop(a *attempt, j *job) bool {
	// What is served before the job would only take its place again.
	if a.stop || a.job == j || a.job.rank() < j.rank() {
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
func (l *lead) beyond(team string) bool {
	u, t := l.teams[team], l.n.teams[team]
	if u == nil || t == nil {
		return false
	}
	s := l.stopped[team]
	return u.cpus-s.cpus > t.CPUs+protocol.Epsilon || u.gpus-s.gpus > t.GPUs+protocol.Epsilon
}

// wasted is the work lost when an attempt is stopped now, in seconds of its
// resources.
func (l *lead) wasted(a *attempt) float64 {
	if a.state != protocol.Running {
		return 0
	}
	d := l.n.now.Sub(a.since)
	if a.job.Checkpoint > 0 {
		d = a.job.Save // it saves, and only that time is lost
	}
	return d.Seconds() * (a.job.CPUs + 8*a.job.GPUs)
}

// search finds, one task of a job after the other, the machine where stopping the
// least work makes room for it. Room that earlier rounds are freeing costs nothing
// and so is taken first. All machines are looked at once for the job; after that
// only the one that was chosen last changes. Looking at all of them for every task
// kept the leader of a large fleet away from its lease for seconds.
type search struct {
	begun   bool
	holders bool // only machines that hold the image, and only work that ends at once
	options []option
}

// option is a machine where a job's task would have room once some work is stopped.
type option struct {
	machine *machine
	cost    float64
	order   int32 // among those of equal cost
}

// next stops work for one more task of the job and promises it the room, if there
// is any.
func (s *search) next(l *lead, j *job) bool {
	if !s.begun {
		s.begun = true
		s.begin(l, j)
	}
	for len(s.options) > 0 {
		o := &s.options[0]
		cost, victims, ok := l.roomFor(j, o.machine, s.holders)
		if !ok {
			heap.Pop(s)
			continue
		}
		if cost > o.cost { // since something of it gave way to others
			o.cost = cost
			heap.Fix(s, 0)
			continue
		}
		l.free(o.machine, victims, j)
		if cost, _, ok := l.roomFor(j, o.machine, s.holders); ok {
			o.cost = cost
			heap.Fix(s, 0)
		} else {
			heap.Pop(s)
		}
		return true
	}
	return false
}

// begin looks at every machine.
func (s *search) begin(l *lead, j *job) {
	shape := l.shapeOf(j)
	shape.priority, shape.rank = j.Priority, j.rank()
	if j.within {
		shape.team = j.Team
	}
	if shape.hopeless(l.stuck) {
		return
	}
	// Where no other team runs more than its guarantee, only lower work gives way.
	borrowed := false
	if j.within {
		for name := range l.teams {
			borrowed = borrowed || name != j.Team && l.beyond(name)
		}
	}
	l.work += len(l.opened)
	s.options = l.options[:0]
	found := false
	for i, m := range l.opened {
		room := m.spec.CPUs - m.cpus + m.ending.cpus - m.promised.cpus
		if !borrowed {
			// What has ended counts twice here, which only makes for a closer look.
			for p := protocol.Priority(0); p < j.Priority; p++ {
				room += m.kept[p]
			}
		} else {
			room = m.spec.CPUs - m.promised.cpus
		}
		if room < j.CPUs-protocol.Epsilon || !m.allowed(j.Job) {
			continue
		}
		if s.holders && m.images.bytes(j.image) < j.ImageGB {
			continue
		}
		l.work += 10
		cost, _, ok := l.roomFor(j, m, s.holders)
		if !ok {
			continue
		}
		found = true
		if j.zoneAllows(m.zone) && m.failures[j.ID] == 0 {
			s.options = append(s.options, option{m, cost, int32(i)})
		}
	}
	l.options = s.options
	if !found && !s.holders {
		l.stuck = append(l.stuck, shape)
	}
	heap.Init(s)
}

// roomFor reports whether stopping some work on a machine makes room for one task
// of a job, what that would cost, and which work it is. The list is good until the
// next call.
func (l *lead) roomFor(j *job, m *machine, holders bool) (cost float64, victims []*attempt, ok bool) {
	cpus := m.spec.CPUs - m.cpus + m.ending.cpus - m.promised.cpus
	gpus := m.spec.GPUs - m.gpus + m.ending.gpus - m.promised.gpus
	mem := m.spec.MemGB - m.mem + m.endingMem - m.promisedMem
	fits := func() bool {
		return cpus >= j.CPUs-protocol.Epsilon && gpus >= j.GPUs-protocol.Epsilon && mem >= j.MemGB-protocol.Epsilon
	}
	if fits() {
		return 0, nil, true
	}
	l.yielding = l.yielding[:0]
	freed := usage{}
	for _, a := range m.list {
		if l.mayStop(a, j) && !(holders && l.saveGrace(a) > 0) {
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
func (l *lead) makeLimitRoom(j *job) {
	if j.Priority != protocol.Critical {
		return
	}
	need := float64(j.toStart()) * j.CPUs
	need -= l.teams[j.Team].headUnder(l.n.teams[j.Team].CPUsMax)
	need -= l.stopped[j.Team].cpus
	if need <= protocol.Epsilon {
		return
	}
	var candidates []*attempt
	for _, m := range l.fleetList {
		for _, a := range m.sorted() {
			if a.job.Team == j.Team && a.job.Priority < j.Priority && !a.stop &&
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
		l.n.log.Debug("preempted under the team's limit", "job", a.job.ID, "task", a.task, "for", j.ID)
		l.stopAttempt(a, l.saveGrace(a))
	}
}

// headUnder is what is left of a limit.
func (u *usage) headUnder(cpus float64) float64 { return max(0, cpus-u.cpus) }
