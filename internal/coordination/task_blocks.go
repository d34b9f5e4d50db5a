package coordination

import (
	"encoding/json"
	"log/slog"

	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/coordination/statestore"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// taskBlock is a block of consecutive tasks of a job that share a record.
type taskBlock struct {
	job        *job
	index      int // index among the job's blocks
	tasks      []task
	record     statestore.RecordState
	unrecorded []*attempt // attempts placed since the last write
	migrating  []*attempt // attempts to be stopped once their migration is recorded
}

// block returns the block that holds the task with the given index. Blocks are created on first
// use: a job may have a hundred thousand tasks of which few run at a time.
func (j *job) block(index int) *taskBlock {
	i := index / j.blockSize
	block := j.blocks[i]
	if block == nil {
		block = &taskBlock{job: j, index: i, tasks: make([]task, min(j.blockSize, j.Tasks-i*j.blockSize))}
		j.blocks[i] = block
	}
	return block
}

// task returns the task with the given index.
func (j *job) task(i int) *task { return &j.block(i).tasks[i%j.blockSize] }

// encode returns the block's record, and the tasks whose completion it would be the first to
// record.
func (b *taskBlock) encode() (value json.RawMessage, completed []*task) {
	r := records.TaskBlock{}
	done := make([]bool, len(b.tasks))
	for i := range b.tasks {
		t := &b.tasks[i]
		done[i] = t.done
		switch {
		case t.done:
			if !t.doneRecorded {
				completed = append(completed, t)
			}
		case t.lastAttemptNumber > 0:
			entry := records.TaskEntry{Offset: i, Attempt: t.lastAttemptNumber}
			if t.live != nil {
				entry.Machine = t.live.machine.Name
			}
			r.Tasks = append(r.Tasks, entry)
		}
	}
	r.SetDone(done)
	b.encodeMigrationMarks(&r)
	return records.Encode(r), completed
}

// loadTaskBlock loads the record of a block of tasks. Jobs and machines must already be loaded.
func (l *leader) loadTaskBlock(item protocol.KeyValue) {
	id, index, ok := records.ParseTaskBlockKey(item.Key)
	j := l.jobs[id]
	if !ok || j == nil || index >= len(j.blocks) {
		// The record is left over from a finished job: the deletion of its records was interrupted.
		l.writer.deleteKey(item.Key)
		return
	}
	block := j.block(index * j.blockSize)
	var r records.TaskBlock
	if err := block.decode(item, &r, l.controller.log); err != nil {
		l.controller.log.Error("task record unreadable", "job", id, "block", index, "error", err)
		return
	}
	for _, entry := range r.Tasks {
		if entry.Offset >= 0 && entry.Offset < len(block.tasks) {
			l.loadAttempt(block, &entry)
		}
	}
	block.requeueInactiveTasks()
}

// decode loads the block's version, completed tasks and migrations from its record.
func (b *taskBlock) decode(item protocol.KeyValue, r *records.TaskBlock, log *slog.Logger) error {
	if err := protocol.Decode(item.Value, r); err != nil {
		return err
	}
	b.record = statestore.LoadedRecord(item.Version)
	done, err := r.DoneTasks(len(b.tasks))
	if err != nil {
		return err
	}
	b.loadMigrationMarks(r, log)
	for i, d := range done {
		if d {
			b.tasks[i].done, b.tasks[i].doneRecorded = true, true
			b.job.doneTasks++
		}
	}
	return nil
}

// loadAttempt loads the latest attempt at a task from its record. The attempt is live if the record
// names a machine that isn't terminated, and the task isn't done.
func (l *leader) loadAttempt(block *taskBlock, entry *records.TaskEntry) {
	t := &block.tasks[entry.Offset]
	t.lastAttemptNumber = entry.Attempt
	if entry.Machine == "" || t.done {
		return
	}
	m := l.machines[entry.Machine]
	if m == nil {
		// No record names the machine any longer. It was removed from its record only after it
		// was proven terminated, so the attempt has terminated too.
		return
	}
	a := &attempt{job: block.job, taskIndex: block.index*block.job.blockSize + entry.Offset, number: entry.Attempt, machine: m, placedAt: l.controller.now,
		recorded: true, delivery: sessions.Delivery{Inherited: true}, stateSince: l.controller.now}
	// Outcomes are read before task blocks. A job that was cancelled just before the change
	// of leader still has attempts that must be stopped.
	a.stopRequested = block.job.finalState != 0
	l.attach(a)
}

// requeueInactiveTasks queues the tasks up to the end of a loaded block that are not done and have no
// live attempt, so that they are started. Tasks are started in order, so most of them were started
// before; at the end of the last block some may not have been.
func (b *taskBlock) requeueInactiveTasks() {
	j := b.job
	end := min(j.Tasks, b.index*j.blockSize+len(b.tasks))
	for i := j.firstUnstarted; i < end; i++ {
		if t := j.task(i); !t.done && t.live == nil {
			j.retryQueue = append(j.retryQueue, i)
		}
	}
	j.firstUnstarted = max(j.firstUnstarted, end)
}
