package coordination

import (
	"encoding/json"
	"slices"
	"time"

	"brasskeel/internal/bookkeeping"
	"brasskeel/internal/protocol"
)

func (l *lead) load() {
	n := l.n
	n.storeList(bookkeeping.PrefixJobs, l.alive, func(items []protocol.Item, revision uint64, asked time.Time) {
		for _, it := range items {
			l.jobKey(it.Key, it.Value, false)
		}
		l.learned(asked)
		n.releaseHeld()
		n.storeList(bookkeeping.PrefixMachines, l.alive, func(items []protocol.Item, _ uint64, _ time.Time) {
			for _, it := range items {
				l.loadGroup(it)
			}
			n.storeList(bookkeeping.PrefixChunks, l.alive, func(items []protocol.Item, _ uint64, _ time.Time) {
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
	asked := l.n.now
	l.n.storeWatch(bookkeeping.PrefixJobs, after, l.n.jobsWatchWait(), func(o Outcome) {
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
				l.learned(asked)
				l.watchJobs(max(after, revision))
				return
			}
		}
		if o.Answered && o.Status == 410 {
			// Too much has changed since: read everything again.
			l.n.storeList(bookkeeping.PrefixJobs, l.alive, func(items []protocol.Item, revision uint64, asked time.Time) {
				for _, it := range items {
					l.jobKey(it.Key, it.Value, true)
				}
				l.learned(asked)
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
			// Its record took a change, too: where users submit many jobs a second, the
			// leader's own records leave them what the state service takes.
			l.journal.budget.Spend(l.n.now, 1)
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
		l.n.admission.setFinal(id, s, done) // who wrote it told the peers
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
