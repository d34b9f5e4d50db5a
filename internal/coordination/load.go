package coordination

import (
	"time"

	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// load reads the records, all kinds of them at the same time: since this node was elected
// nobody else writes those of machines and attempts, so that it doesn't matter which is
// read first, and one slow answer of the state service costs no more than itself.
func (l *leader) load() {
	var machines, chunks []protocol.KeyValue
	left := 3
	if l.rebalancer != nil {
		left++
	}
	part := func() {
		if left--; left == 0 {
			l.takeRecords(machines, chunks)
		}
	}
	l.loadJobs(func(revision uint64) {
		l.watchJobs(revision)
		part()
	})
	l.controller.storeList(records.PrefixMachines, l.alive, func(items []protocol.KeyValue, _ uint64, _ time.Time) {
		machines = items
		part()
	})
	l.controller.storeList(records.PrefixChunks, l.alive, func(items []protocol.KeyValue, _ uint64, _ time.Time) {
		chunks = items
		part()
	})
	if l.rebalancer != nil {
		l.controller.storeList(records.PrefixSurges, l.alive, func(items []protocol.KeyValue, _ uint64, _ time.Time) {
			l.rebalancer.restoreSurges(items)
			part()
		})
	}
}

// chunksAtOnce is how many chunk records are taken in one step. Those of a fleet of
// thousands of machines hold tens of thousands of attempts: taken at once, they kept a
// leader on a small share of a processor from renewing its lease in time.
const chunksAtOnce = 32

// chunksPause is between two such steps: whatever is due has its turn.
const chunksPause = time.Millisecond

// takeRecords takes what was read: attempts belong to jobs and machines.
func (l *leader) takeRecords(machines, chunks []protocol.KeyValue) {
	for _, it := range machines {
		l.loadGroup(it)
	}
	l.takeChunks(chunks)
}

// takeChunks takes chunk records, some of them in each step, and then goes on.
func (l *leader) takeChunks(chunks []protocol.KeyValue) {
	now := min(chunksAtOnce, len(chunks))
	for _, it := range chunks[:now] {
		l.loadChunk(it)
	}
	if now == len(chunks) {
		l.startReconciling()
		return
	}
	l.controller.after(chunksPause, func() {
		if l.alive() {
			l.takeChunks(chunks[now:])
		}
	})
}

// chunk gives the chunk that holds a task, made on first use: a job may have
// a hundred thousand tasks of which few run at a time.
func (j *job) chunk(index int) *chunk {
	i := index / j.chunkSize
	added := j.chunks[i]
	if added == nil {
		added = &chunk{job: j, index: i, known: true, tasks: make([]task, min(j.chunkSize, j.Tasks-i*j.chunkSize))}
		j.chunks[i] = added
	}
	return added
}

func (j *job) task(i int) *task { return &j.chunk(i).tasks[i%j.chunkSize] }

func (l *leader) loadChunk(it protocol.KeyValue) {
	id, index, ok := records.ParseChunkKey(it.Key)
	j := l.jobs[id]
	if !ok || j == nil || index >= len(j.chunks) {
		// Left behind by a job that is over: its removal was cut short.
		l.journal.remove(it.Key)
		return
	}
	var r records.Chunk
	if err := protocol.Decode(it.Value, &r); err != nil {
		l.controller.log.Error("unreadable chunk record", "job", id, "chunk", index, "err", err)
		return
	}
	chunk := j.chunk(index * j.chunkSize)
	chunk.version = it.Version
	done, err := r.IsDone(len(chunk.tasks))
	if err != nil {
		l.controller.log.Error("unreadable chunk record", "job", id, "chunk", index, "err", err)
		return
	}
	chunk.loadMigrated(&r, l.controller.log)
	base := index * j.chunkSize
	for i, d := range done {
		if d {
			chunk.tasks[i].done, chunk.tasks[i].saved = true, true
			j.doneTasks++
		}
	}
	for _, t := range r.Tasks {
		if t.Offset < 0 || t.Offset >= len(chunk.tasks) {
			continue
		}
		tk := &chunk.tasks[t.Offset]
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
		a := &attempt{job: j, task: base + t.Offset, number: t.Attempt, machine: m, placedAt: l.controller.now,
			recorded: true, delivery: sessions.Delivery{Inherited: true}, stateSince: l.controller.now}
		// Outcomes are read before chunks: a job that was cancelled just
		// before the leadership changed still has attempts to be stopped.
		a.stopRequested = j.finalState != 0
		l.attach(a)
	}
	// Tasks up to the last touched chunk that aren't live or done start again.
	end := min(j.Tasks, base+len(chunk.tasks))
	for i := j.firstUnstarted; i < end; i++ {
		if t := j.task(i); !t.done && t.live == nil {
			j.retryQueue = append(j.retryQueue, i)
		}
	}
	j.firstUnstarted = max(j.firstUnstarted, end)
}
