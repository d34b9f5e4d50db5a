package coordination

import (
	"encoding/json"
	"slices"
	"time"

	"brasskeel/internal/bookkeeping"
	"brasskeel/internal/protocol"
)

// phase is how far a new leader has come.
type phase uint8

const (
	loading  phase = iota + 1 // reads the records
	settling                  // waits for every worker's report before placing
	active
)

// askAfter is how long a new leader lets workers come by themselves before it
// asks them. They find it when their next report is due, or later; those that an
// earlier leader without the state service still answers come only after its grace.
const (
	askAfter = 300 * time.Millisecond
	askTwice = 2 // times without an answer, and the leader waits no longer for it
)

// lead is what a leader keeps in memory. All of it is rebuilt from the state
// service and from reports by the next one.
type lead struct {
	n          *Node
	term       uint64
	version    uint64 // of the leader key; every write of ours demands it
	lease      uint64
	ttl        time.Duration // of the lease
	validUntil time.Time     // until when no one else can have been elected
	deaf       time.Time     // last time that silence of workers said nothing
	watched    time.Time     // when the machines were last looked at
	askFrom    int           // which of the machines to be asked comes next
	loadedAt   time.Time     // when the records were read
	muted      bool          // the grace beyond that is over, too
	elected    time.Time
	phase      phase
	settled    time.Time

	jobs      map[string]*job
	order     []*job // by submission
	teams     map[string]*usage
	bias      map[string]float64 // of estimates, by class
	stopped   map[string]usage   // of the teams' work, what was told to stop
	machines  map[string]*machine
	fleetList []*machine           // the same, in the order they became known
	gone      map[string]time.Time // machines proven gone, while lists may still show them
	journal   journal
	fleet     fleet

	preferred  string // zone last recorded as the better one for leaders
	placeAsked bool
	checkAsked bool
	opened     []*machine       // that took tasks at the start of the round
	roomy      []*machine       // of them, those with room for the smallest task that waits
	zones      []string         // of the opened machines
	ranked     []candidate      // reused by every job's turn
	full       []shape          // found no machine with room in this round
	searches   map[kind]*search // for work to stop, in this round
	yielding   []*attempt       // reused by every look at a machine's work
	work       int              // machines looked at in this round
	allowance  int              // how many it may look at
	reports    uint64           // taken, to tell which attempts the latest one holds
	imageIDs   map[string]int32
	stepDirect []*machine // machines with orders to send at the end of the step
}

// usage is what a team's attempts take, those not proven gone included.
type usage struct{ cpus, gpus float64 }

// job is an unfinished job.
type job struct {
	*protocol.Job
	submitted time.Time
	size      int // tasks per chunk
	chunks    []*chunk
	outcome   protocol.JobState // final state that is recorded; 0 while there is none
	finishing bool              // the outcome "done" is being written
	removed   bool              // its records are being removed

	doneCount int
	running   int
	live      int            // attempts not proven gone
	waiting   []int          // tasks to be started again
	next      int            // first task that was never started
	zones     map[string]int // live attempts and their zones
	judged    bool
	within    bool // its team's guarantee when it came
	errors    int  // since the last success
	failedOn  map[string]struct{}
	notBefore time.Time
	pressing  bool // its patience has a timer
	image     int32
}

// chunk is a run of a job's tasks that share a record.
type chunk struct {
	job      *job
	index    int
	tasks    []task
	version  uint64 // of its key; 0: no record yet
	known    bool   // version is sure
	dirty    bool
	lazy     bool // no one waits for it; write by due
	due      time.Time
	inFlight bool
	starts   []*attempt // placed since the last write
}

type task struct {
	attempt uint64 // the latest number used
	live    *attempt
	done    bool
	saved   bool // recorded as done
}

// attempt is one try at a task on a machine, until proven gone.
type attempt struct {
	job     *job
	task    int
	number  uint64
	machine *machine
	placed  time.Time

	recorded  bool // in the state service: its start may be sent
	inherited bool // recorded by an earlier leader; whether it was sent is unknown
	seen      bool // the worker reported it
	state     protocol.TaskState
	since     time.Time // start of the state

	// How its start went out. A start in a report's answer is executed before
	// the worker's next report or never; a direct one may be executed late.
	sentSession   uint64
	sentSeq       uint64 // of the report whose answer carried it
	direct        bool   // a direct start awaits its response
	directToken   uint64 // of an unanswered direct start; 0 when none
	directSession uint64 // that it named

	stop     bool
	grace    time.Duration
	stopSent time.Time

	place  int    // in its machine's list
	report uint64 // the last one that held it
}

type taskKey struct {
	job  string
	task int
}

func (n *Node) becomeLeader(term, version, lease uint64, ttl time.Duration, validUntil time.Time) {
	l := &lead{n: n, term: term, version: version, lease: lease, ttl: ttl, validUntil: validUntil, elected: n.now, phase: loading,
		jobs: map[string]*job{}, teams: map[string]*usage{}, stopped: map[string]usage{}, bias: map[string]float64{}, machines: map[string]*machine{},
		gone: map[string]time.Time{}, imageIDs: map[string]int32{}, searches: map[kind]*search{}, allowance: roundWork}
	for name := range n.teams {
		l.teams[name] = &usage{}
	}
	l.journal.init(l)
	l.fleet.init(l)
	n.lead = l
	n.log.Info("leading", "term", term)
	n.publish()
	l.renew()
	l.load()
	l.every(watchInterval, l.watchMachines)
	l.every(time.Second, l.fleetStep)
}

func (l *lead) alive() bool { return l.n.lead == l }

// every runs f each d while this leadership lasts.
func (l *lead) every(d time.Duration, f func()) {
	l.n.after(d, func() {
		if l.alive() {
			f()
			l.every(d, f)
		}
	})
}

// grace is how long a leader whose lease may have ended goes on answering
// reports, so that an outage of the state service doesn't end every task. A
// cancellation may meanwhile be accepted elsewhere, and its tasks end a worker
// lease after the last answer: lease, grace and worker lease together stay
// within the time a cancellation has.
func (l *lead) grace() time.Duration { return l.n.graceAfter(l.ttl) }

// graceAfter is the grace of a leader with a lease of the given time.
func (n *Node) graceAfter(lease time.Duration) time.Duration {
	c := n.cfg
	return max(0, c.CancelWithin-c.WorkerLease-drift(2*c.WorkerLease)-lease-2*time.Second)
}

// entitled reports whether this node may still answer workers.
func (l *lead) entitled() bool { return !l.n.now.After(l.validUntil.Add(l.grace())) }

// silentProof is when a machine that has been silent since the election has
// certainly ended its tasks: the leader before may have answered it until its
// own grace ended.
func (l *lead) silentProof(m *machine) time.Time {
	c := l.n.cfg
	last := l.elected.Add(l.n.graceAfter(l.n.op.LeaderLease())) // the longest that it may have been
	if !m.tookOver.IsZero() {
		// It has seen our token and takes no other's answer any more. Until then an
		// earlier leader's may have renewed its lease: a token that came with a
		// direct command says nothing of when that was.
		last = m.tookOver
	}
	last = latest(last, m.answered)
	return last.Add(c.WorkerLease + drift(c.WorkerLease) + proofMargin)
}

func (l *lead) token() uint64 { return l.term << 16 }

func (l *lead) load() {
	n := l.n
	n.storeList(bookkeeping.PrefixJobs, l.alive, func(items []protocol.Item, revision uint64) {
		for _, it := range items {
			l.jobKey(it.Key, it.Value, false)
		}
		n.storeList(bookkeeping.PrefixMachines, l.alive, func(items []protocol.Item, _ uint64) {
			for _, it := range items {
				l.loadGroup(it)
			}
			n.storeList(bookkeeping.PrefixChunks, l.alive, func(items []protocol.Item, _ uint64) {
				for _, it := range items {
					l.loadChunk(it)
				}
				l.loaded()
			})
		})
		l.watchJobs(revision)
	})
}

func (l *lead) loaded() {
	n := l.n
	l.phase, l.loadedAt = settling, n.now
	// The longest interval between reports, and the second that a worker takes
	// to try the next node.
	wait := n.cfg.ReportInterval*5/4 + 1200*time.Millisecond
	if len(l.machines) == 0 {
		wait = n.cfg.ReportInterval / 2
	}
	l.settled = l.elected.Add(wait)
	for _, m := range l.fleetList {
		if !m.recorded { // it reported while the records were read
			l.journal.putMachine(m)
		}
	}
	live := 0
	for _, j := range l.order {
		live += j.live
		l.jobProgressed(j)
	}
	n.log.Info("records loaded", "term", l.term, "jobs", len(l.order), "machines", len(l.machines), "attempts", live)
	l.listMachines() // it has the addresses of those that are to be asked
	n.after(l.settled.Sub(n.now), l.activate)
}

// activate ends the wait for reports.
func (l *lead) activate() {
	if !l.alive() || l.phase != settling {
		return
	}
	l.phase = active
	l.settled = l.n.now
	l.n.log.Info("placing", "term", l.term, "after", l.n.now.Sub(l.elected))
	l.fleetStep()
	l.askPlace()
}

// enoughHeard reports whether all but a few of the machines that should have told
// their tasks and images have, or were asked and didn't answer, or aren't in the
// cloud's list, so that they can't be asked. Among hundreds of machines a few are
// always gone, and a part of a large fleet is taken out at once: placing goes on
// without those that weren't heard, as they are skipped, and what they ran counts.
func (l *lead) enoughHeard() bool {
	if len(l.fleetList) == 0 {
		return false
	}
	listed := l.fleet.listed // where the cloud is away, addresses come with reports alone
	missing, known := 0, 0
	for _, m := range l.fleetList {
		// One that only a lagging list tells of may be gone already.
		booted := m.inherited && (m.spec == nil || l.n.now.Sub(m.rented) > 2*m.spec.Boot)
		heard := m.reconciled && !m.reached.IsZero()
		if len(m.attempts) == 0 && !booted {
			continue
		}
		known++
		if !heard && m.probeFails < askTwice && !(listed && m.addr == "") {
			missing++
		}
	}
	return missing*mayMiss <= known
}

// mayMiss is the part of the machines that a new leader doesn't wait for, as a
// divisor.
const mayMiss = 5

func (l *lead) watchJobs(after uint64) {
	l.n.storeWatch(bookkeeping.PrefixJobs, after, func(o Outcome) {
		if !l.alive() {
			return
		}
		if o.Answered && o.Status == 200 {
			if events, revision, err := protocol.ParseEvents(o.Body); err == nil {
				for _, ev := range events {
					if !ev.Deleted {
						l.jobKey(ev.Key, ev.Value, true)
					}
				}
				l.watchJobs(max(after, revision))
				return
			}
		}
		if o.Answered && o.Status == 410 {
			// Too much has changed since: read everything again.
			l.n.storeList(bookkeeping.PrefixJobs, l.alive, func(items []protocol.Item, revision uint64) {
				for _, it := range items {
					l.jobKey(it.Key, it.Value, true)
				}
				l.watchJobs(revision)
			})
			return
		}
		l.n.after(200*time.Millisecond, func() {
			if l.alive() {
				l.watchJobs(after)
			}
		})
	})
}

// jobKey takes a record under PrefixJobs.
func (l *lead) jobKey(key string, value json.RawMessage, live bool) {
	if id, ok := cutPrefix(key, bookkeeping.PrefixActive); ok {
		var r bookkeeping.Job
		if err := json.Unmarshal(value, &r); err != nil || r.Spec == nil || r.Chunk <= 0 || r.Spec.Tasks <= 0 {
			l.n.log.Error("unreadable job record", "job", id, "err", err)
			return
		}
		l.addJob(&r)
		if live {
			l.askPlace()
		}
		return
	}
	if id, ok := cutPrefix(key, bookkeeping.PrefixOutcome); ok {
		s, done, err := bookkeeping.DecodeOutcome(value)
		if err != nil {
			l.n.log.Error("unreadable outcome", "job", id, "err", err)
			return
		}
		l.n.admission.setFinal(id, s, done)
		if j := l.jobs[id]; j != nil {
			l.jobOver(j, s)
		}
	}
}

func cutPrefix(s, prefix string) (string, bool) {
	if len(s) > len(prefix) && s[:len(prefix)] == prefix {
		return s[len(prefix):], true
	}
	return "", false
}

func (l *lead) addJob(r *bookkeeping.Job) {
	if l.jobs[r.Spec.ID] != nil {
		return
	}
	j := &job{Job: r.Spec, submitted: time.UnixMilli(r.Submitted), size: r.Chunk, zones: map[string]int{},
		failedOn: map[string]struct{}{}, image: l.imageID(r.Spec.Image)}
	j.chunks = make([]*chunk, (j.Tasks+j.size-1)/j.size)
	l.jobs[j.ID] = j
	if !j.Spot && j.Kind == protocol.Service {
		l.fleet.fixedNeed = max(l.fleet.fixedNeed, j.CPUs*float64(j.Tasks))
	}
	at := len(l.order)
	for at > 0 && l.order[at-1].submitted.After(j.submitted) {
		at--
	}
	l.order = slices.Insert(l.order, at, j)
	if f, ok := l.n.admission.finals[j.ID]; ok {
		l.jobOver(j, f.state)
	}
}

// chunk gives the chunk that holds a task, made on first use: a job may have
// a hundred thousand tasks of which few run at a time.
func (j *job) chunk(index int) *chunk {
	i := index / j.size
	c := j.chunks[i]
	if c == nil {
		c = &chunk{job: j, index: i, known: true, tasks: make([]task, min(j.size, j.Tasks-i*j.size))}
		j.chunks[i] = c
	}
	return c
}

func (j *job) task(i int) *task { return &j.chunk(i).tasks[i%j.size] }

func (l *lead) loadChunk(it protocol.Item) {
	id, index, ok := bookkeeping.ParseChunkKey(it.Key)
	j := l.jobs[id]
	if !ok || j == nil || index >= len(j.chunks) {
		// Left behind by a job that is over: its removal was cut short.
		l.journal.remove(it.Key)
		return
	}
	var r bookkeeping.Chunk
	if err := json.Unmarshal(it.Value, &r); err != nil {
		l.n.log.Error("unreadable chunk record", "job", id, "chunk", index, "err", err)
		return
	}
	c := j.chunk(index * j.size)
	c.version = it.Version
	done, err := r.IsDone(len(c.tasks))
	if err != nil {
		l.n.log.Error("unreadable chunk record", "job", id, "chunk", index, "err", err)
		return
	}
	base := index * j.size
	for i, d := range done {
		if d {
			c.tasks[i].done, c.tasks[i].saved = true, true
			j.doneCount++
		}
	}
	for _, t := range r.Tasks {
		if t.Offset < 0 || t.Offset >= len(c.tasks) {
			continue
		}
		tk := &c.tasks[t.Offset]
		tk.attempt = t.Attempt
		if t.Machine == "" || tk.done {
			continue
		}
		m := l.machines[t.Machine]
		if m == nil {
			// Recorded on a machine whose own record is gone: records are
			// removed only after the machine is.
			continue
		}
		a := &attempt{job: j, task: base + t.Offset, number: t.Attempt, machine: m, placed: l.n.now,
			recorded: true, inherited: true, since: l.n.now}
		// Outcomes are read before chunks: a job that was cancelled just
		// before the leadership changed still has attempts to be stopped.
		a.stop = j.outcome != 0
		l.attach(a)
	}
	// Tasks up to the last touched chunk that aren't live or done start again.
	end := min(j.Tasks, base+len(c.tasks))
	for i := j.next; i < end; i++ {
		if t := j.task(i); !t.done && t.live == nil {
			j.waiting = append(j.waiting, i)
		}
	}
	j.next = max(j.next, end)
}

// attach makes an attempt count: for its machine, its team's limit and its
// job's zones, until detach.
func (l *lead) attach(a *attempt) {
	j, m := a.job, a.machine
	j.task(a.task).live = a
	j.live++
	j.zones[m.zone]++
	m.attempts[taskKey{j.ID, a.task}] = a
	a.place = len(m.list)
	m.list = append(m.list, a)
	m.wanted.add(j.image, 1)
	m.cpus += j.CPUs
	if !j.Spot {
		m.fixed += j.CPUs
	}
	m.kept[j.Priority] += j.CPUs
	if a.stop {
		l.noteStop(a, 1)
	}
	if j.Kind == protocol.Service {
		m.services += j.CPUs
		m.replicas++
	}
	m.gpus += j.GPUs
	m.mem += j.MemGB
	u := l.teams[j.Team]
	if u == nil {
		u = &usage{}
		l.teams[j.Team] = u
	}
	u.cpus += j.CPUs
	u.gpus += j.GPUs
}

// detach ends an attempt's account. It must be called only on proof that the
// attempt is gone and can't start any more.
func (l *lead) detach(a *attempt, why string) {
	j, m := a.job, a.machine
	t := j.task(a.task)
	if t.live != a {
		return
	}
	l.n.log.Debug("attempt gone", "job", j.ID, "task", a.task, "attempt", a.number, "machine", m.name, "why", why)
	l.setState(a, 0)
	t.live = nil
	j.live--
	if j.zones[m.zone]--; j.zones[m.zone] == 0 {
		delete(j.zones, m.zone)
	}
	delete(m.attempts, taskKey{j.ID, a.task})
	last := m.list[len(m.list)-1]
	m.list[a.place], last.place = last, a.place
	m.list[len(m.list)-1] = nil
	m.list = m.list[:len(m.list)-1]
	m.wanted.add(j.image, -1)
	if a.stop {
		l.noteStop(a, -1)
	}
	m.cpus -= j.CPUs
	m.kept[j.Priority] -= j.CPUs
	if !j.Spot {
		m.fixed -= j.CPUs
	}
	if j.Kind == protocol.Service {
		m.services -= j.CPUs
		m.replicas--
	}
	m.gpus -= j.GPUs
	m.mem -= j.MemGB
	if len(m.attempts) == 0 {
		m.cpus, m.gpus, m.mem, m.services, m.fixed = 0, 0, 0, 0, 0 // no rounding left behind
		m.kept, m.ending, m.endingMem = [protocol.Critical + 1]float64{}, usage{}, 0
		m.emptySince = l.n.now
	}
	u := l.teams[j.Team]
	u.cpus -= j.CPUs
	u.gpus -= j.GPUs
	if j.outcome == 0 && !t.done {
		j.waiting = append(j.waiting, a.task)
	}
	if j.outcome == 0 {
		l.journal.touchLazy(j.chunk(a.task))
	}
	l.jobProgressed(j)
	l.askPlace()
}

// setState notes an attempt's reported state.
func (l *lead) setState(a *attempt, s protocol.TaskState) {
	if a.state == s {
		return
	}
	if a.state == protocol.Running {
		a.job.running--
	}
	if s == protocol.Running {
		a.job.running++
		if !a.inherited {
			l.n.log.Debug("task runs", "job", a.job.ID, "task", a.task, "attempt", a.number, "machine", a.machine.name,
				"within", a.job.within, "placed", l.n.now.Sub(a.placed), "age", l.n.now.Round(0).Sub(a.job.submitted))
		}
	}
	a.state, a.since = s, l.n.now
}

// taskDone notes that a task has completed, whichever attempt did it.
func (l *lead) taskDone(j *job, i int) {
	t := j.task(i)
	if t.done || j.Kind == protocol.Service {
		return
	}
	t.done = true
	j.doneCount++
	j.errors = 0
	if t.live != nil {
		l.stopAttempt(t.live, 0)
	} else if k := slices.Index(j.waiting, i); k >= 0 {
		j.waiting = slices.Delete(j.waiting, k, k+1)
	}
	l.journal.touchLazy(j.chunk(i))
	l.jobProgressed(j)
}

// jobProgressed writes the outcome of a complete job and removes the records
// of one that is over and has no attempt left.
func (l *lead) jobProgressed(j *job) {
	if l.phase == loading {
		return
	}
	if j.outcome == 0 && !j.finishing && j.Kind != protocol.Service && j.doneCount == j.Tasks {
		j.finishing = true
		l.journal.finish(j)
	}
	if j.outcome != 0 && j.live == 0 && !j.removed {
		j.removed = true
		l.journal.removeJob(j)
	}
}

// jobOver notes a recorded outcome. No task of the job starts any more, and
// those that run are stopped.
func (l *lead) jobOver(j *job, s protocol.JobState) {
	if j.outcome != 0 {
		return
	}
	j.outcome = s
	l.n.log.Info("job over", "job", j.ID, "cancelled", s == protocol.Cancelled, "done", j.doneCount, "live", j.live)
	j.waiting = nil
	j.next = j.Tasks
	for _, c := range j.chunks {
		if c == nil {
			continue
		}
		for i := range c.tasks {
			if a := c.tasks[i].live; a != nil {
				l.stopAttempt(a, 0)
			}
		}
	}
	l.jobProgressed(j)
	l.askPlace()
}

// forgetJob drops a job whose records are removed.
func (l *lead) forgetJob(j *job) {
	delete(l.jobs, j.ID)
	if i := slices.Index(l.order, j); i >= 0 {
		l.order = slices.Delete(l.order, i, i+1)
	}
}

// stopAttempt wants an attempt ended. One whose start never left is gone at
// once.
func (l *lead) stopAttempt(a *attempt, grace time.Duration) {
	if a.stop && a.grace <= grace {
		return
	}
	if !a.stop {
		a.stop = true
		l.noteStop(a, 1)
	}
	a.grace, a.stopSent = grace, time.Time{}
	if l.neverSent(a) && !l.beingRecorded(a) {
		l.detach(a, "never sent")
		return
	}
	l.directSoon(a.machine)
}

func (l *lead) neverSent(a *attempt) bool {
	return !a.inherited && !a.seen && a.sentSession == 0 && !a.direct && a.directToken == 0
}

// beingRecorded reports whether a write that holds the attempt may be under
// way; it is dealt with when that ends.
func (l *lead) beingRecorded(a *attempt) bool {
	return !a.recorded && a.job.chunk(a.task).inFlight
}

// noteStop counts an attempt among those that were told to end, or takes it out.
// Whoever looks for room needs the sums of a machine or a team, for every job and
// task: found anew each time they cost a leader with thousands of waiting tasks
// seconds at a time, more than its lease.
func (l *lead) noteStop(a *attempt, by int) {
	j, m, sign := a.job, a.machine, float64(by)
	m.stops += by
	m.ending.cpus += sign * j.CPUs
	m.ending.gpus += sign * j.GPUs
	m.endingMem += sign * j.MemGB
	s := l.stopped[j.Team]
	s.cpus += sign * j.CPUs
	s.gpus += sign * j.GPUs
	l.stopped[j.Team] = s
}

// roundPause is the pause after a round of placement for each machine that it
// looked at.
const roundPause = 150 * time.Nanosecond

// askPlace wants the placement to run soon. A short delay lets what happens
// together be placed together.
func (l *lead) askPlace() {
	if l.placeAsked || l.phase != active {
		return
	}
	l.placeAsked = true
	// The dearer the last round was, the longer until the next, so that rounds take
	// no more than about half of a small share of a processor.
	delay := 8*time.Millisecond + time.Duration(len(l.order))*20*time.Microsecond + time.Duration(l.work)*roundPause
	if l.n.behind() {
		delay += l.n.lag / 2
	}
	l.n.after(delay, func() {
		if l.alive() {
			l.placeAsked = false
			l.place()
		}
	})
}

// settleStep runs at the end of each step: it sends what the step left to be
// written and ordered.
func (l *lead) settleStep() {
	l.journal.flush()
	for i := 0; i < len(l.stepDirect); i++ {
		m := l.stepDirect[i]
		m.directAsked = false
		l.sendDirect(m)
	}
	l.stepDirect = l.stepDirect[:0]
}

func (l *lead) directSoon(m *machine) {
	if !m.directAsked {
		m.directAsked = true
		l.stepDirect = append(l.stepDirect, m)
	}
}
