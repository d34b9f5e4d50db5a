package coordination

import (
	"encoding/json"
	"slices"
	"time"

	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/statestore"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// lazyWriteDelay is how long the write of a record that nothing waits for may be delayed, so that
// several changes share one write.
const lazyWriteDelay = 700 * time.Millisecond

// recordWriter queues a leader's dirty records and fills transactions with them. Its committer
// sends one transaction at a time. Each is conditional on the leader key's version, so that it fails
// if it is applied only after another leader was elected. A transaction is filled with outcomes
// of jobs first, then with machine groups, because no task starts on a machine before the machine
// is recorded, then with blocks of tasks, and last with other writes and deletions.
type recordWriter struct {
	leader               *leader
	committer            *statestore.Committer
	urgentBlocks         []*taskBlock    // to be written as soon as possible
	lazyBlocks           []*taskBlock    // whose write may be delayed by lazyWriteDelay, oldest first; some may have become urgent since
	doneJobs             []*job          // whose outcome "done" is to be recorded
	newGroups            []*machineGroup // not yet written
	changedGroups        []*machineGroup // to be rewritten once due
	groupCount           uint64          // number of groups created by this leader
	otherPuts            []protocol.Op
	keysToDelete         []string
	jobDeletions         []jobDeletion
	unrecordedPlacements int // in the queued blocks
	tasksPerBlock        int // for new jobs
}

// jobDeletion is a job that is dropped once its last key is deleted.
type jobDeletion struct {
	lastKey string
	job     *job
}

func (w *recordWriter) init(l *leader) {
	settings := l.controller.cfg
	w.leader = l
	w.tasksPerBlock = records.TasksPerBlock(settings.MaxValueBytes)
	w.committer = statestore.NewCommitter(l.controller.store, w, protocol.Condition{Key: records.KeyLeader, Version: l.keyVersion},
		settings.MaxTxnOps, settings.StateWriteRPS)
}

// flush sends the next transaction, if there is something to write and the committer allows it.
func (w *recordWriter) flush() {
	if w.leader.phase != phaseLoading {
		w.committer.Flush()
	}
}

// saturated reports whether so many records are queued that no more tasks should be placed. A task
// that is placed now would have to wait until its record is written. It is better to choose at that
// later time which tasks to place, among those that are pending by then. Each record holds the
// placements of one block of a job's tasks. The bound of queued blocks is the number of records written
// in about half a second, and at least four transactions. maxUnrecordedPlacements bounds the
// placements in them.
func (w *recordWriter) saturated() bool {
	settings := w.leader.controller.cfg
	if w.unrecordedPlacements >= w.maxUnrecordedPlacements() {
		w.leader.controller.limits.Reached(limits.UnrecordedPlacements)
		return true
	}
	return len(w.urgentBlocks) >= max(4*settings.MaxTxnOps, int(settings.StateWriteRPS/2))
}

// markUrgent queues a block to be written as soon as possible.
func (w *recordWriter) markUrgent(block *taskBlock) {
	if block.record.MarkUrgent() {
		w.urgentBlocks = append(w.urgentBlocks, block)
	}
}

// markLazy queues a block whose write may be delayed by lazyWriteDelay.
func (w *recordWriter) markLazy(block *taskBlock) {
	if block.record.MarkLazy(w.leader.controller.now.Add(lazyWriteDelay)) {
		w.lazyBlocks = append(w.lazyBlocks, block)
	}
}

// recordStart queues a placement to be recorded. The attempt is started only after that.
func (w *recordWriter) recordStart(a *attempt) {
	block := a.job.block(a.taskIndex)
	block.unrecorded = append(block.unrecorded, a)
	w.unrecordedPlacements++
	w.markUrgent(block)
}

// recordDone queues the outcome "done" of a job whose tasks are all done.
func (w *recordWriter) recordDone(j *job) { w.doneJobs = append(w.doneJobs, j) }

// put queues a write of a key without a condition on that key's version.
func (w *recordWriter) put(key string, value json.RawMessage) {
	w.otherPuts = append(w.otherPuts, protocol.Op{Put: key, Value: value})
}

// deleteKey queues the deletion of a key.
func (w *recordWriter) deleteKey(key string) { w.keysToDelete = append(w.keysToDelete, key) }

// deleteJob queues the deletion of a job's records. The record of the job itself is last, because a
// later leader needs it to find the others.
func (w *recordWriter) deleteJob(j *job) {
	for _, block := range j.blocks {
		if block != nil && block.record.MayExist() {
			w.deleteKey(records.KeyTaskBlock(j.ID, block.index))
		}
	}
	key := records.KeyActive(j.ID)
	w.deleteKey(key)
	w.jobDeletions = append(w.jobDeletions, jobDeletion{key, j})
}

// recordMachineTypes stores the machine types for controllers that can't reach the cloud.
func (w *recordWriter) recordMachineTypes(types []protocol.MachineType) {
	raw := records.Encode(types)
	if len(raw) > w.leader.controller.cfg.MaxValueBytes {
		w.leader.controller.limits.Reached(limits.MachineTypesRecordSize)
		return
	}
	w.put(records.KeyMachineTypes, raw)
}

// Alive implements statestore.Source.
func (w *recordWriter) Alive() bool { return w.leader.alive() }

// Pending implements statestore.Source.
func (w *recordWriter) Pending() statestore.Pending {
	if len(w.urgentBlocks)+len(w.doneJobs)+len(w.newGroups)+len(w.otherPuts)+len(w.keysToDelete) > 0 {
		return statestore.Pending{Any: true}
	}
	now := w.leader.controller.now
	var pending statestore.Pending
	if len(w.lazyBlocks) > 0 {
		pending = statestore.Pending{Any: true, Delay: max(0, w.lazyBlocks[0].record.Due().Sub(now))}
	}
	if len(w.changedGroups) > 0 {
		if in := max(0, w.changedGroups[0].rewriteDue.Sub(now)); !pending.Any || in < pending.Delay {
			pending = statestore.Pending{Any: true, Delay: in}
		}
	}
	return pending
}

// Fill implements statestore.Source.
func (w *recordWriter) Fill(t *statestore.Transaction) statestore.Batch {
	b := &recordBatch{writer: w}
	w.fillOutcomes(t, b)
	w.fillGroups(t, b)
	w.fillBlocks(t, b)
	for len(w.otherPuts) > 0 && t.HasRoom() {
		op := w.otherPuts[0]
		w.otherPuts = w.otherPuts[1:]
		b.otherPuts = append(b.otherPuts, op)
		t.Put(op.Put, op.Value)
	}
	for len(w.keysToDelete) > 0 && t.HasRoom() {
		key := w.keysToDelete[0]
		w.keysToDelete = w.keysToDelete[1:]
		b.deletedKeys = append(b.deletedKeys, key)
		t.Delete(key)
	}
	return b
}

func (w *recordWriter) fillOutcomes(t *statestore.Transaction, b *recordBatch) {
	for len(w.doneJobs) > 0 && t.HasRoom() {
		j := w.doneJobs[0]
		w.doneJobs = w.doneJobs[1:]
		if j.finalState != 0 {
			continue // cancelled in the meantime
		}
		b.doneJobs = append(b.doneJobs, j)
		key := records.KeyOutcome(j.ID)
		t.Require(key, 0)
		t.Put(key, records.EncodeOutcome(protocol.Done, j.Tasks))
	}
}

func (w *recordWriter) fillGroups(t *statestore.Transaction, b *recordBatch) {
	for t.HasRoom() {
		group := w.nextGroupToWrite()
		if group == nil {
			return
		}
		b.groups = append(b.groups, group)
		t.Put(group.key, group.encode())
	}
}

// fillBlocks adds blocks of tasks: urgent ones by priority, then lazy ones in the order in which
// they were queued.
func (w *recordWriter) fillBlocks(t *statestore.Transaction, b *recordBatch) {
	if len(w.urgentBlocks) > 1 {
		slices.SortStableFunc(w.urgentBlocks, func(a, b *taskBlock) int { return int(b.job.Priority) - int(a.job.Priority) })
	}
	for len(w.urgentBlocks) > 0 && t.HasRoom() {
		block := w.urgentBlocks[0]
		w.urgentBlocks = w.urgentBlocks[1:]
		w.fillBlock(t, b, block)
	}
	for len(w.lazyBlocks) > 0 && t.HasRoom() {
		block := w.lazyBlocks[0]
		w.lazyBlocks = w.lazyBlocks[1:]
		if block.record.Lazy() { // if not, it has become urgent and was queued again
			w.fillBlock(t, b, block)
		}
	}
}

// fillBlock adds a block's record. Attempts that were stopped in the meantime are detached here,
// before their placement is recorded or their start sent.
func (w *recordWriter) fillBlock(t *statestore.Transaction, b *recordBatch, block *taskBlock) {
	j := block.job
	write := blockWrite{block: block, migrating: block.migrating}
	block.migrating = nil
	write.starts = w.takeStarts(block)
	block.record.MarkClean() // takeStarts may have marked the block again
	if j.deleting || j.finalState != 0 {
		return
	}
	if j.finishing && len(write.starts) == 0 {
		return // the outcome makes the block's record redundant
	}
	block.record.BeginWrite()
	value, completed := block.encode()
	write.completed = completed
	b.blocks = append(b.blocks, write)
	key := records.KeyTaskBlock(j.ID, block.index)
	t.Require(key, block.record.Version())
	// Once the job has an outcome, no start is recorded and therefore none is sent.
	t.Require(records.KeyOutcome(j.ID), 0)
	t.Put(key, value)
}

// takeStarts removes the unrecorded placements from a block and returns those to be recorded. The
// others were stopped in the meantime and are detached.
func (w *recordWriter) takeStarts(block *taskBlock) []*attempt {
	j := block.job
	block.record.MarkClean()
	starts := block.unrecorded
	block.unrecorded = nil
	w.unrecordedPlacements -= len(starts)
	keep := starts[:0]
	for _, a := range starts {
		switch {
		case j.task(a.taskIndex).live != a:
		case a.stopRequested || j.finalState != 0:
			w.leader.detach(a, "stopped before its placement was recorded")
		default:
			keep = append(keep, a)
		}
	}
	return keep
}

// requeue returns to a block the contents of a write that may not have been applied.
func (w *recordWriter) requeue(write *blockWrite) {
	block := write.block
	for _, a := range write.starts {
		if block.job.task(a.taskIndex).live == a {
			block.unrecorded = append(block.unrecorded, a)
			w.unrecordedPlacements++
		}
	}
	block.migrating = append(block.migrating, write.migrating...)
}

// readOutcome reads the outcome of a job that another controller ended, and reads it again until it
// is known. Until then every transaction with a block of the job fails, because it is conditional on
// the absence of an outcome. So the committer pauses to give the read time.
func (w *recordWriter) readOutcome(id string) {
	l, c := w.leader, w.leader.controller
	c.store.Get(records.KeyOutcome(id), func(r statestore.ReadResult) {
		if !l.alive() {
			return
		}
		if r.Status == statestore.Found {
			l.applyJobRecord(r.Item.Key, r.Item.Value, true)
			return
		}
		c.after(200*time.Millisecond, func() {
			if l.alive() && l.jobs[id] != nil && l.jobs[id].finalState == 0 {
				w.readOutcome(id)
			}
		})
	})
	w.committer.Pause(50 * time.Millisecond)
}
