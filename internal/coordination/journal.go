package coordination

import (
	"encoding/json"
	"slices"
	"time"

	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// lazyDelay is how long a record that nobody waits for may stay unwritten, so
// that several changes share one write.
const lazyDelay = 700 * time.Millisecond

// full reports whether so much waits to be recorded that nothing more is placed:
// what would be placed now should be chosen among what there is once its record's
// turn comes. A record holds what was placed of a chunk of a job's tasks, so the
// bound is the records of about half a second, a few transactions at the least.
func (g *journal) full() bool {
	c := g.l.controller.cfg
	if g.unsaved >= g.maxUnsaved() {
		g.l.controller.limits.Reached(limits.UnrecordedPlacements)
		return true
	}
	return len(g.urgent) >= max(4*c.TxnOps, int(c.StateWriteRPS/2))
}

// journal writes the leader's records, one transaction at a time so that they
// apply in order. Every transaction is conditional on the leader key's
// version, so one that is applied late, after another leader was elected,
// fails; and every record on its own version, so one that is applied after we
// gave it up can't overwrite a newer one.
type journal struct {
	l       *leader
	budget  *records.Budget
	urgent  []*chunk
	lazy    []*chunk
	ends    []*job   // to be recorded as done
	puts    []*group // records of machines to be written
	changed []*group // those to be written again some time
	groups  uint64   // made by this leader
	extra   []protocol.Op
	removes []string // keys
	after   []afterRemoval
	busy    bool
	pause   time.Time
	wake    *timer
	unsaved int

	chunkTasks int // tasks in a full chunk record
}

// afterRemoval drops a job once the removal of its last key is applied.
type afterRemoval struct {
	key string
	job *job
}

func (g *journal) init(l *leader) {
	g.l = l
	g.chunkTasks = records.ChunkSize(l.controller.cfg.ValueBytes)
	w := l.controller.cfg.StateWriteRPS
	g.budget = records.NewBudget(w*0.75, w*0.6, l.controller.now)
}

// touch wants a chunk written soon.
func (g *journal) touch(chunk *chunk) {
	if !chunk.dirty || chunk.lazy {
		chunk.dirty, chunk.lazy = true, false
		g.urgent = append(g.urgent, chunk)
	}
}

// touchLazy wants a chunk written some time.
func (g *journal) touchLazy(chunk *chunk) {
	if !chunk.dirty {
		chunk.dirty, chunk.lazy, chunk.due = true, true, g.l.controller.now.Add(lazyDelay)
		g.lazy = append(g.lazy, chunk)
	}
}

// start wants a placement recorded; its start is sent after that.
func (g *journal) start(a *attempt) {
	chunk := a.job.chunk(a.task)
	chunk.starts = append(chunk.starts, a)
	g.unsaved++
	g.touch(chunk)
}

func (g *journal) finish(j *job)     { g.ends = append(g.ends, j) }
func (g *journal) remove(key string) { g.removes = append(g.removes, key) }

// removeJob removes a job's records, the job's own last: by it a later leader
// finds the others.
func (g *journal) removeJob(j *job) {
	for _, chunk := range j.chunks {
		if chunk != nil && (chunk.version > 0 || chunk.inFlight || !chunk.known) {
			g.remove(records.KeyChunk(j.ID, chunk.index))
		}
	}
	key := records.KeyActive(j.ID)
	g.remove(key)
	g.after = append(g.after, afterRemoval{key, j})
}

// batch is what one transaction holds.
type batch struct {
	txn     protocol.Txn
	bytes   int
	chunks  []*chunk
	starts  [][]*attempt // per chunk
	marks   [][]*attempt // per chunk
	saved   [][]*task    // per chunk
	ends    []*job
	puts    []*group
	extra   []protocol.Op
	removes []string
}

func (b *batch) op(op protocol.Op) {
	b.txn.Ops = append(b.txn.Ops, op)
	b.bytes += len(op.Put) + len(op.Delete) + len(op.Value) + 60
}

func (b *batch) when(key string, version uint64) {
	for _, condition := range b.txn.Conditions {
		if condition.Key == key {
			return
		}
	}
	b.txn.Conditions = append(b.txn.Conditions, protocol.Condition{Key: key, Version: version})
	b.bytes += len(key) + 50
}

// flush sends the next transaction if there is something to write, none is
// under way, and the budget allows.
func (g *journal) flush() {
	l, c := g.l, g.l.controller
	if g.busy || !l.alive() || l.phase == phaseLoading {
		return
	}
	if c.now.Before(g.pause) {
		g.wakeIn(g.pause.Sub(c.now))
		return
	}
	lazyDue := time.Duration(-1)
	if len(g.lazy) > 0 {
		lazyDue = max(0, g.lazy[0].due.Sub(c.now))
	}
	if len(g.changed) > 0 {
		if due := max(0, g.changed[0].due.Sub(c.now)); lazyDue < 0 || due < lazyDue {
			lazyDue = due
		}
	}
	if len(g.urgent)+len(g.ends)+len(g.puts)+len(g.extra)+len(g.removes) == 0 && lazyDue != 0 {
		if lazyDue > 0 {
			g.wakeIn(lazyDue)
		}
		return
	}
	room := min(c.cfg.TxnOps, int(g.budget.Available(c.now)))
	if room < 1 {
		g.wakeIn(g.budget.Wait(c.now, 1) + time.Millisecond)
		return
	}
	b := &batch{}
	b.when(records.KeyLeader, l.version)
	fits := func() bool { return len(b.txn.Ops) < room && b.bytes < 48<<10 }
	for len(g.ends) > 0 && fits() {
		j := g.ends[0]
		g.ends = g.ends[1:]
		if j.finalState != 0 {
			continue
		}
		b.ends = append(b.ends, j)
		b.when(records.KeyOutcome(j.ID), 0)
		b.op(protocol.Op{Put: records.KeyOutcome(j.ID), Value: records.EncodeOutcome(protocol.Done, j.Tasks)})
	}
	for fits() {
		k := g.nextGroup()
		if k == nil {
			break
		}
		b.puts = append(b.puts, k)
		b.op(protocol.Op{Put: k.key, Value: k.record()})
	}
	if len(g.urgent) > 1 {
		slices.SortStableFunc(g.urgent, func(a, b *chunk) int { return int(b.job.Priority) - int(a.job.Priority) })
	}
	for len(g.urgent) > 0 && fits() {
		chunk := g.urgent[0]
		g.urgent = g.urgent[1:]
		g.add(b, chunk)
	}
	for len(g.lazy) > 0 && fits() {
		chunk := g.lazy[0]
		g.lazy = g.lazy[1:]
		if chunk.lazy { // else it became urgent and is in the other list
			g.add(b, chunk)
		}
	}
	for len(g.extra) > 0 && fits() {
		b.extra = append(b.extra, g.extra[0])
		b.op(g.extra[0])
		g.extra = g.extra[1:]
	}
	for len(g.removes) > 0 && fits() {
		b.removes = append(b.removes, g.removes[0])
		b.op(protocol.Op{Delete: g.removes[0]})
		g.removes = g.removes[1:]
	}
	if len(b.txn.Ops) == 0 {
		return
	}
	g.busy = true
	g.budget.Spend(c.now, float64(len(b.txn.Ops)))
	c.storeTxn(&b.txn, func(r txnResult, revision uint64, failed []string) {
		if !l.alive() {
			return
		}
		g.busy = false
		g.settle(b, r, revision, failed)
	})
}

// add puts a chunk's record into a batch. Placements that were given up by now
// are dropped here, before anything of them is recorded or sent.
func (g *journal) add(b *batch, chunk *chunk) {
	l := g.l
	j := chunk.job
	chunk.dirty, chunk.lazy = false, false
	starts, marks := chunk.starts, chunk.migrating
	chunk.starts, chunk.migrating = nil, nil
	g.unsaved -= len(starts)
	keep := starts[:0]
	for _, a := range starts {
		if j.task(a.task).live != a {
			continue
		}
		if a.stopRequested || j.finalState != 0 {
			l.detach(a, "given up before it was recorded")
			continue
		}
		keep = append(keep, a)
	}
	chunk.dirty, chunk.lazy = false, false // detach may have asked for a lazy write
	if j.removed || j.finalState != 0 {
		return
	}
	if j.finishing && len(keep) == 0 {
		return // the outcome says it all
	}
	chunk.inFlight = true
	b.chunks = append(b.chunks, chunk)
	b.starts = append(b.starts, keep)
	b.marks = append(b.marks, marks)
	var saved []*task
	r := records.Chunk{}
	done := make([]bool, len(chunk.tasks))
	for i := range chunk.tasks {
		t := &chunk.tasks[i]
		done[i] = t.done
		if t.done {
			if !t.saved {
				saved = append(saved, t)
			}
			continue
		}
		if t.attempt > 0 {
			tr := records.TaskRecord{Offset: i, Attempt: t.attempt}
			if t.live != nil {
				tr.Machine = t.live.machine.Name
			}
			r.Tasks = append(r.Tasks, tr)
		}
	}
	r.SetDone(done)
	chunk.encodeMigrated(&r)
	b.saved = append(b.saved, saved)
	key := records.KeyChunk(j.ID, chunk.index)
	b.when(key, chunk.version)
	// A start is never recorded, and so never sent, once the job is over.
	b.when(records.KeyOutcome(j.ID), 0)
	b.op(protocol.Op{Put: key, Value: records.Encode(r)})
}

// settle acts on what came of a transaction.
func (g *journal) settle(b *batch, r txnResult, revision uint64, failed []string) {
	l, c := g.l, g.l.controller
	switch r {
	case txnApplied:
		for i, chunk := range b.chunks {
			chunk.version, chunk.known, chunk.inFlight = revision, true, false
			for _, t := range b.saved[i] {
				l.resultSaved(t)
			}
			for _, a := range b.starts[i] {
				if chunk.job.task(a.task).live != a {
					continue
				}
				a.recorded = true
				if a.stopRequested {
					l.detach(a, "given up before it was sent")
					continue
				}
				l.orderSoon(a)
			}
			for _, a := range b.marks[i] {
				l.rebalancer.migrationRecorded(a)
			}
		}
		for _, k := range b.puts {
			l.groupWritten(k)
		}
		for _, j := range b.ends {
			c.admission.learnOutcome(j.ID, protocol.Done, j.Tasks)
			l.endJob(j, protocol.Done)
		}
		for _, key := range b.removes {
			for i, w := range g.after {
				if w.key == key {
					g.after = slices.Delete(g.after, i, i+1)
					l.forgetJob(w.job)
					break
				}
			}
		}
		return
	case txnFailed:
		if slices.Contains(failed, records.KeyLeader) {
			c.election.StepDown("the leader key has changed")
			return
		}
		g.requeue(b, func(chunk *chunk) bool { return slices.Contains(failed, records.KeyChunk(chunk.job.ID, chunk.index)) })
		for _, key := range failed {
			if id, ok := cutPrefix(key, records.PrefixOutcome); ok {
				g.readOutcome(id)
			}
		}
	case txnRefused:
		g.pause = c.now.Add(150*time.Millisecond + c.jitter(100*time.Millisecond))
		g.requeue(b, nil)
	default:
		// It may have been applied or may yet be: read what each record is
		// now. If the transaction comes later after all, its conditions fail
		// as soon as the records were written again.
		c.log.Info("a transaction got no answer", "ops", len(b.txn.Ops))
		g.requeue(b, func(*chunk) bool { return true })
	}
}

// resultSaved notes that a task's result is recorded.
func (l *leader) resultSaved(t *task) {
	t.saved = true
	if t.exit != nil && l.shards != nil {
		l.shards.forgetExit(*t.exit)
	}
	t.exit = nil
}

// requeue puts what a batch held back to be written, and reads the versions of
// the records that reread picks first.
func (g *journal) requeue(b *batch, reread func(*chunk) bool) {
	var unsure []*chunk
	for i, chunk := range b.chunks {
		for _, a := range b.starts[i] {
			if chunk.job.task(a.task).live == a {
				chunk.starts = append(chunk.starts, a)
				g.unsaved++
			}
		}
		chunk.migrating = append(chunk.migrating, b.marks[i]...)
		if reread != nil && reread(chunk) {
			chunk.known = false
			unsure = append(unsure, chunk)
			continue
		}
		chunk.inFlight = false
		g.touch(chunk)
	}
	g.ends = append(b.ends, g.ends...)
	g.puts = append(b.puts, g.puts...)
	g.extra = append(b.extra, g.extra...)
	g.removes = append(b.removes, g.removes...)
	if len(unsure) == 0 {
		return
	}
	g.busy = true
	left := len(unsure)
	for _, chunk := range unsure {
		g.readVersion(chunk, func() {
			if left--; left == 0 {
				g.busy = false
			}
			chunk.inFlight = false
			g.touch(chunk)
		})
	}
}

// readVersion learns a chunk record's version, however often it must ask.
func (g *journal) readVersion(chunk *chunk, done func()) {
	l, c := g.l, g.l.controller
	c.storeGet(records.KeyChunk(chunk.job.ID, chunk.index), func(it protocol.KeyValue, found, ok bool) {
		if !l.alive() {
			return
		}
		if !ok {
			c.after(200*time.Millisecond+c.jitter(100*time.Millisecond), func() {
				if l.alive() {
					g.readVersion(chunk, done)
				}
			})
			return
		}
		chunk.version, chunk.known = 0, true
		if found {
			chunk.version = it.Version
		}
		done()
	})
}

// readOutcome learns how a job ended that another node ended.
func (g *journal) readOutcome(id string) {
	l, c := g.l, g.l.controller
	c.storeGet(records.KeyOutcome(id), func(it protocol.KeyValue, found, ok bool) {
		if !l.alive() {
			return
		}
		if ok && found {
			l.jobKey(it.Key, it.Value, true)
		} else {
			c.after(200*time.Millisecond, func() {
				if l.alive() && l.jobs[id] != nil && l.jobs[id].finalState == 0 {
					g.readOutcome(id)
				}
			})
		}
	})
	// Until it is known, nothing of the job is written: its condition fails.
	g.pause = c.now.Add(50 * time.Millisecond)
}

func (g *journal) wakeIn(d time.Duration) {
	at := g.l.controller.now.Add(max(d, time.Millisecond))
	if g.wake != nil && !g.wake.at.After(at) {
		return
	}
	if g.wake != nil {
		g.wake.run = nil
	}
	var t *timer
	t = g.l.controller.after(max(d, time.Millisecond), func() {
		if g.wake == t {
			g.wake = nil
		}
	})
	g.wake = t
}

// saveTypes keeps the machine types for nodes that can't reach the cloud.
func (g *journal) saveTypes(types []protocol.MachineType) {
	raw := records.Encode(types)
	if len(raw) > g.l.controller.cfg.ValueBytes {
		g.l.controller.limits.Reached(limits.MachineTypesRecord)
		return
	}
	g.extra = append(g.extra, protocol.Op{Put: records.KeyTypes, Value: json.RawMessage(raw)})
}
