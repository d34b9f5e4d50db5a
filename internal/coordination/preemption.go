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

// preemptFor stops work that has to give way to a job, as far as that gives
// tasks of it a machine, and returns how many tasks still have none. The
// victims' room is free once their exit is reported; the job's tasks are
// placed then.
func (l *leader) preemptFor(j *job, left int) int {
	k := victimSearchKeyOf(j)
	k.checkpointingOnly = !l.preemptionDelayOver(j)
	s := l.victimSearches[k]
	if s == nil {
		s = &victimSearch{checkpointingOnly: k.checkpointingOnly}
		l.victimSearches[k] = s
	}
	s.beginJob(l, j)
	for left > 0 && s.preemptNext(l, j) {
		left--
	}
	return left
}

// preempt stops attempts on a machine and promises the room to a job.
func (l *leader) preempt(m *machine, victims []*attempt, j *job) {
	for _, a := range victims {
		l.controller.log.Debug("attempt preempted", "job", a.job.ID, "task", a.task, "machine", m.Name, "beneficiary", j.ID, "lost_work", l.lostWork(a))
		l.stopAttempt(a, l.checkpointGrace(a))
	}
	m.Reserve(j.Job)
}

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

// preemptionDelay is how long a job within its team's guarantee waits for room that
// frees by itself before work of others is stopped for it: a part of the time
// that users allow it. Tasks are short, so most of the room comes by itself,
// and what is stopped has to run again.
func (l *leader) preemptionDelay() time.Duration { return l.quotaStartObjective() * 2 / 5 }

// preemptionDelayOver reports whether a job has waited for as long as its patience lasts.
func (l *leader) preemptionDelayOver(j *job) bool {
	return j.Priority == protocol.Critical || !j.submitted.Add(l.preemptionDelay()).After(l.controller.now.Round(0))
}

// mayPreempt reports whether others may be stopped for a job now.
func (l *leader) mayPreempt(j *job) bool {
	if j.Priority == protocol.Critical {
		return true
	}
	if !j.withinQuota {
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

// checkpointMargin is what it takes beyond saving to stop work and start other in its place.
const checkpointMargin = time.Second

// checkpointsInTime reports whether work saves what it did, and ends soon enough for a job
// within its team's guarantee, if it is stopped at once, though not once that job's
// patience has ended. Little is lost with it.
func (l *leader) checkpointsInTime(a *attempt) bool {
	g := l.quotaStartObjective()
	return a.job.CheckpointInterval > 0 && a.state == protocol.Running && a.job.CheckpointDuration+checkpointMargin <= g && a.job.CheckpointDuration+checkpointMargin > g-l.preemptionDelay()
}

// hasCheckpointingVictims reports whether there may be such work.
func (l *leader) hasCheckpointingVictims() bool {
	g := l.quotaStartObjective()
	return slices.ContainsFunc(l.jobsByAge, func(j *job) bool {
		return j.liveAttempts > 0 && j.CheckpointInterval > 0 && j.CheckpointDuration+checkpointMargin <= g && j.CheckpointDuration+checkpointMargin > g-l.preemptionDelay()
	})
}

// quotaStartObjective is the time in which users want work within a guarantee started.
func (l *leader) quotaStartObjective() time.Duration {
	for i := range l.controller.cfg.Objectives {
		if o := &l.controller.cfg.Objectives[i]; o.Kind == "guarantee" && o.Within > 0 {
			return o.Within
		}
	}
	return 5 * time.Second
}

func (l *leader) requestPlacementIfLeading() {
	if l.alive() {
		l.requestPlacement()
	}
}

// preemptible tells whether an attempt gives way to a job: work of lower priority
// does, and so does what another team runs beyond its own guarantee when the
// job lies within its team's.
func (l *leader) preemptible(a *attempt, j *job) bool {
	// What is served before the job would only take its place again.
	if a.stopRequested || a.job == j || a.job.queueTier() < j.queueTier() {
		return false
	}
	if a.job.Priority < j.Priority {
		return true
	}
	return j.withinQuota && a.job.Team != j.Team && !a.job.withinQuota && a.job.Kind != protocol.Service && l.overQuota(a.job.Team)
}

// overQuota reports whether a team runs more than its guarantee, even once what
// was told to stop is gone. Without counting that, one round would stop far
// more than what is beyond.
func (l *leader) overQuota(team string) bool {
	u, t := l.teamUsage[team], l.controller.teams[team]
	if u == nil || t == nil {
		return false
	}
	s := l.stopping[team]
	return u.cpus-s.cpus > t.CPUs+protocol.Epsilon || u.gpus-s.gpus > t.GPUs+protocol.Epsilon
}

// lostWork is the work lost when an attempt is stopped now, in seconds of its
// resources.
func (l *leader) lostWork(a *attempt) float64 {
	if a.state != protocol.Running {
		return 0
	}
	d := l.controller.now.Sub(a.stateSince)
	if a.job.CheckpointInterval > 0 {
		d = a.job.CheckpointDuration // it saves, and only that time is lost
	}
	return d.Seconds() * (a.job.CPUs + 8*a.job.GPUs)
}

// victimSearch finds, one task after the other, the machine where stopping the least work
// makes room for it. Room that earlier rounds are freeing costs nothing and so is
// taken first. All machines are looked at once for all jobs of a kind, which share
// the search during a round; after that only the one that was chosen last changes.
// Looking at all of them for every task, or every job, kept the leader of a large
// fleet away from its lease for seconds.
type victimSearch struct {
	initialized       bool
	imageHoldersOnly  bool // only machines that hold the image, and only work that ends at once
	checkpointingOnly bool // only work that saves in time
	options           []preemptionOption
	skipped           []preemptionOption // not for the job whose turn it is
	exhausted         []preemptionOption // without room for the smallest task so far
	smallest          usage              // that task
	smallestMemGB     float64
}

// preemptionOption is a machine where a task would have room once some work is stopped.
type preemptionOption struct {
	machine *machine
	cost    float64
	order   int32 // among those of equal cost
}

// victimSearchKey is what jobs have in common that may stop the same work on the same machines.
type victimSearchKey struct {
	zone, types       string
	spot              bool
	priority          protocol.Priority
	tier              int
	team              string // whose guarantee is asked for
	checkpointingOnly bool   // before its patience has ended
}

func victimSearchKeyOf(j *job) victimSearchKey {
	k := victimSearchKey{zone: j.Zone, types: strings.Join(j.MachineTypes, " "), spot: j.AllowSpot, priority: j.Priority, tier: j.queueTier()}
	if j.withinQuota {
		k.team = j.Team
	}
	return k
}

// beginJob makes the search one for a job's tasks.
func (s *victimSearch) beginJob(l *leader, j *job) {
	s.options = append(s.options, s.skipped...)
	s.skipped = s.skipped[:0]
	switch {
	case !s.initialized:
		s.initialized = true
		l.examined += len(l.accepting)
		s.exhausted = make([]preemptionOption, 0, len(l.accepting))
		for i, m := range l.accepting {
			if m.Allows(j.Job) && !(s.imageHoldersOnly && m.Images.CachedGB(j.imageID) < j.ImageGB) {
				s.exhausted = append(s.exhausted, preemptionOption{m, 0, int32(i)})
			}
		}
	case j.CPUs >= s.smallest.cpus && j.GPUs >= s.smallest.gpus && j.MemoryGB >= s.smallestMemGB:
		// What had no room for a smaller task has none for this one: during a round
		// room is only used up.
		heap.Init(s)
		return
	}
	s.smallest, s.smallestMemGB = usage{j.CPUs, j.GPUs}, j.MemoryGB
	failed := s.exhausted[:0]
	for _, o := range s.exhausted {
		cost, _, ok := l.findVictims(j, o.machine, s)
		if !ok {
			failed = append(failed, o)
			continue
		}
		o.cost = cost
		s.options = append(s.options, o)
	}
	s.exhausted = failed
	heap.Init(s)
}

// nextForSingleJob is next for a search that serves one job alone.
func (s *victimSearch) nextForSingleJob(l *leader, j *job) bool {
	if !s.initialized {
		s.beginJob(l, j)
	}
	return s.preemptNext(l, j)
}

// preemptNext stops work for one more task of the job and promises it the room, if there
// is any.
func (s *victimSearch) preemptNext(l *leader, j *job) bool {
	for len(s.options) > 0 {
		o := s.options[0]
		if !j.zoneAllowed(o.machine.Zone) || o.machine.failuresByJob[j.ID] > 0 {
			s.skipped = append(s.skipped, o)
			heap.Pop(s)
			continue
		}
		cost, victims, ok := l.findVictims(j, o.machine, s)
		if !ok {
			s.exhausted = append(s.exhausted, o)
			heap.Pop(s)
			continue
		}
		if cost > o.cost { // it was found for a smaller task, or what was to give way has ended
			s.options[0].cost = cost
			heap.Fix(s, 0)
			continue
		}
		l.preempt(o.machine, victims, j)
		// What it costs next is at least nothing; it is looked at again when its
		// turn comes.
		if cost == 0 {
			return true
		}
		if cost, _, ok := l.findVictims(j, o.machine, s); ok {
			s.options[0].cost = cost
			heap.Fix(s, 0)
		} else {
			s.exhausted = append(s.exhausted, o)
			heap.Pop(s)
		}
		return true
	}
	return false
}

// machineWithRoom reports whether stopping some work on a machine makes room for one task
// of a job, what that would cost, and which work it is. The list is good until the
// next call.
func (l *leader) findVictims(j *job, m *machine, s *victimSearch) (cost float64, victims []*attempt, ok bool) {
	l.examined++
	free := placement.Capacity(m.Spec).Minus(m.Allocated).Plus(m.Terminating).Minus(m.Reserved).Minus(m.Incoming)
	cpus, gpus, mem := free.CPUs, free.GPUs, free.MemGB
	fits := func() bool {
		return cpus >= j.CPUs-protocol.Epsilon && gpus >= j.GPUs-protocol.Epsilon && mem >= j.MemoryGB-protocol.Epsilon
	}
	if fits() {
		return 0, nil, true
	}
	// What may give way at the most: lower work, or what other teams have borrowed.
	if !j.withinQuota {
		most := cpus
		for p := protocol.Priority(0); p < j.Priority; p++ {
			most += m.cpusByPriority[p]
		}
		if most < j.CPUs-protocol.Epsilon {
			return 0, nil, false
		}
	}
	l.examined += 10
	l.victimBuffer = l.victimBuffer[:0]
	freed := usage{}
	for _, a := range m.attemptList {
		if l.preemptible(a, j) && !(s.imageHoldersOnly && l.checkpointGrace(a) > 0) && !(s.checkpointingOnly && !l.checkpointsInTime(a)) {
			l.victimBuffer = append(l.victimBuffer, a)
			freed.cpus += a.job.CPUs
		}
	}
	if cpus+freed.cpus < j.CPUs-protocol.Epsilon {
		return 0, nil, false
	}
	slices.SortFunc(l.victimBuffer, func(a, b *attempt) int {
		if d := int(a.job.Priority) - int(b.job.Priority); d != 0 {
			return d
		}
		// The latest job first: taking the least work first would hit the
		// tasks that were just restarted again and again.
		if d := b.job.submitted.Compare(a.job.submitted); d != 0 {
			return d
		}
		if d := cmp.Compare(l.lostWork(a), l.lostWork(b)); d != 0 {
			return d
		}
		return compareAttempts(a, b)
	})
	for i, a := range l.victimBuffer {
		cost += l.lostWork(a) + 1
		cpus += a.job.CPUs
		gpus += a.job.GPUs
		mem += a.job.MemoryGB
		if fits() {
			return cost, l.victimBuffer[:i+1], true
		}
	}
	return 0, nil, false
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (s *victimSearch) Len() int { return len(s.options) }
func (s *victimSearch) Less(i, k int) bool {
	a, b := &s.options[i], &s.options[k]
	return a.cost < b.cost || a.cost == b.cost && a.order < b.order
}
func (s *victimSearch) Swap(i, k int) { s.options[i], s.options[k] = s.options[k], s.options[i] }
func (s *victimSearch) Push(x any)    { s.options = append(s.options, x.(preemptionOption)) }
func (s *victimSearch) Pop() any {
	s.options = s.options[:len(s.options)-1]
	return nil
}

// preemptWithinLimit stops work of the job's own team where the team's limit is
// what keeps a critical job waiting.
func (l *leader) preemptWithinLimit(j *job) {
	if j.Priority != protocol.Critical {
		return
	}
	need := float64(j.pendingTasks()) * j.CPUs
	need -= l.teamUsage[j.Team].headroom(l.controller.teams[j.Team].CPUsMax)
	need -= l.stopping[j.Team].cpus
	if need <= protocol.Epsilon {
		return
	}
	var candidates []*attempt
	for _, m := range l.fleetList {
		for _, a := range m.sortedAttempts() {
			if a.job.Team == j.Team && a.job.Priority < j.Priority && !a.stopRequested &&
				(j.Priority == protocol.Critical || a.job.CheckpointInterval > 0) {
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
		l.controller.log.Debug("attempt preempted under team limit", "job", a.job.ID, "task", a.task, "beneficiary", j.ID)
		l.stopAttempt(a, l.checkpointGrace(a))
	}
}

// headroom is what is left of a limit.
func (u *usage) headroom(cpus float64) float64 { return max(0, cpus-u.cpus) }
