package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/protocol"
)

// makeRoom stops work that has to give way to a job, as far as that gives
// tasks of it a machine, and returns how many tasks still have none. The
// victims' room is free once their exit is reported; the job's tasks are
// placed then.
func (l *lead) makeRoom(j *job, left int) int {
	// Room that earlier rounds are freeing costs nothing and is taken first, so
	// that no more is stopped than needed.
	for left > 0 {
		m, victims := l.cheapestRoom(j, false)
		if m == nil {
			return left
		}
		l.free(m, victims, j)
		left--
	}
	return 0
}

// free stops attempts on a machine and promises the room to a job.
func (l *lead) free(m *machine, victims []*attempt, j *job) {
	for _, a := range victims {
		l.n.log.Debug("preempted", "job", a.job.ID, "task", a.task, "machine", m.name, "for", j.ID, "lost", l.wasted(a))
		l.stopAttempt(a, l.saveGrace(a))
		l.noteStopped(a)
	}
	m.promise(j.Job)
}

// slowStart reports whether fetching the image on a machine alone would take a
// critical task past the time in which its users want it started.
func (l *lead) slowStart(j *job, m *machine) bool {
	if j.Priority != protocol.Critical || m.spec.FetchRate <= 0 {
		return false
	}
	fetch := time.Duration((1 - m.imageShare(j.Job)) * j.ImageGB / m.spec.FetchRate * float64(time.Second))
	for i := range l.n.cfg.Objectives {
		if o := &l.n.cfg.Objectives[i]; o.Kind == "wait" && o.Class == j.Class && fetch > o.Within {
			return true
		}
	}
	return false
}

// makeHolderRoom stops lower work on a machine that holds the image of a critical
// job. Where images are many, the machines that hold one are mostly full, and
// whoever has room would have to fetch it.
func (l *lead) makeHolderRoom(j *job) bool {
	m, victims := l.cheapestRoom(j, true)
	if m == nil {
		return false
	}
	l.free(m, victims, j)
	return true
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

// noteStopped counts what a round has stopped of a team's work.
func (l *lead) noteStopped(a *attempt) {
	s := l.stopped[a.job.Team]
	s.cpus += a.job.CPUs
	s.gpus += a.job.GPUs
	l.stopped[a.job.Team] = s
}

// countStopping finds what each team has stopping at the start of a round.
func (l *lead) countStopping() {
	clear(l.stopped)
	for _, m := range l.fleetList {
		for _, a := range m.attempts {
			if a.stop {
				l.noteStopped(a)
			}
		}
	}
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

// cheapestRoom finds the machine where stopping the least work makes room for
// one task of the job. With holders set, only machines that hold the job's image
// count, and only work that ends at once.
func (l *lead) cheapestRoom(j *job, holders bool) (*machine, []*attempt) {
	var best *machine
	var bestVictims []*attempt
	bestCost := 0.0
	for _, m := range l.opened {
		if !m.allowed(j.Job) || !j.zoneAllows(m.zone) || m.failures[j.ID] > 0 {
			continue
		}
		if holders && m.images.bytes(j.Image) < j.ImageGB {
			continue
		}
		cpus, gpus, mem := m.spec.CPUs-m.cpus, m.spec.GPUs-m.gpus, m.spec.MemGB-m.mem
		freed, freedMem := m.stopping()
		cpus += freed.cpus - m.promised.cpus
		gpus += freed.gpus - m.promised.gpus
		mem += freedMem - m.promisedMem
		fits := func() bool {
			return cpus >= j.CPUs-protocol.Epsilon && gpus >= j.GPUs-protocol.Epsilon && mem >= j.MemGB-protocol.Epsilon
		}
		var candidates, victims []*attempt
		for _, a := range m.sorted() {
			if l.mayStop(a, j) && !(holders && l.saveGrace(a) > 0) {
				candidates = append(candidates, a)
			}
		}
		slices.SortStableFunc(candidates, func(a, b *attempt) int {
			if d := int(a.job.Priority) - int(b.job.Priority); d != 0 {
				return d
			}
			// The latest job first: taking the least work first would hit the
			// tasks that were just restarted again and again.
			if d := b.job.submitted.Compare(a.job.submitted); d != 0 {
				return d
			}
			switch wa, wb := l.wasted(a), l.wasted(b); {
			case wa < wb:
				return -1
			case wa > wb:
				return 1
			}
			return 0
		})
		cost := 0.0
		for _, a := range candidates {
			if fits() {
				break
			}
			victims = append(victims, a)
			cost += l.wasted(a) + 1
			cpus += a.job.CPUs
			gpus += a.job.GPUs
			mem += a.job.MemGB
		}
		if !fits() {
			continue
		}
		if best == nil || cost < bestCost {
			best, bestVictims, bestCost = m, victims, cost
		}
	}
	return best, bestVictims
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
		l.noteStopped(a)
	}
}

// headUnder is what is left of a limit.
func (u *usage) headUnder(cpus float64) float64 { return max(0, cpus-u.cpus) }
