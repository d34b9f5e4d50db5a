package coordination

import (
	"slices"

	"brasskeel/internal/coordination/statestore"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// recordBatch is what one transaction of a leader writes.
type recordBatch struct {
	writer      *recordWriter
	doneJobs    []*job
	groups      []*machineGroup
	blocks      []blockWrite
	otherPuts   []protocol.Op
	deletedKeys []string
}

// blockWrite is the write of one block of tasks in a transaction.
type blockWrite struct {
	block     *taskBlock
	starts    []*attempt // attempts to start once the write is applied
	migrating []*attempt // attempts to stop, for migration, once the write is applied
	completed []*task    // tasks whose completion the write records
}

// Applied implements statestore.Batch.
func (b *recordBatch) Applied(revision uint64) {
	l := b.writer.leader
	for i := range b.blocks {
		l.blockRecorded(&b.blocks[i], revision)
	}
	for _, group := range b.groups {
		l.groupRecorded(group)
	}
	for _, j := range b.doneJobs {
		l.controller.admission.publishOutcome(j.ID, protocol.Done, j.Tasks)
		l.endJob(j, protocol.Done)
	}
	for _, key := range b.deletedKeys {
		b.writer.keyDeleted(key)
	}
}

// Conflict implements statestore.Batch. If the leader key has changed, the controller steps down.
// Otherwise everything in the batch is queued again, the blocks whose conditions failed only once their
// versions have been read. The outcomes that exist are read, since their jobs have ended.
func (b *recordBatch) Conflict(failed []string) {
	w := b.writer
	if slices.Contains(failed, records.KeyLeader) {
		w.leader.controller.election.StepDown("the leader key has changed")
		return
	}
	b.requeue(func(block *taskBlock) bool {
		return slices.Contains(failed, records.KeyTaskBlock(block.job.ID, block.index))
	})
	for _, key := range failed {
		if id, ok := cutPrefix(key, records.PrefixOutcome); ok {
			w.readOutcome(id)
		}
	}
}

// Refused implements statestore.Batch. Nothing was written, so all versions are still known.
func (b *recordBatch) Refused() { b.requeue(func(*taskBlock) bool { return false }) }

// Unknown implements statestore.Batch. The versions of all blocks are read before the batch is
// written again. If the transaction is applied late, its conditions fail once the records have
// been rewritten.
func (b *recordBatch) Unknown() { b.requeue(func(*taskBlock) bool { return true }) }

// requeue queues everything in the batch to be written again. The versions of the blocks for
// which versionUnknown returns true are read first.
func (b *recordBatch) requeue(versionUnknown func(*taskBlock) bool) {
	w := b.writer
	var blocksToVerify []*taskBlock
	var keys []string
	for i := range b.blocks {
		w.requeue(&b.blocks[i])
		block := b.blocks[i].block
		if versionUnknown(block) {
			block.record.BeginVerify()
			blocksToVerify = append(blocksToVerify, block)
			keys = append(keys, records.KeyTaskBlock(block.job.ID, block.index))
			continue
		}
		block.record.NotWritten()
		w.markUrgent(block)
	}
	w.doneJobs = append(b.doneJobs, w.doneJobs...)
	w.newGroups = append(b.groups, w.newGroups...)
	w.otherPuts = append(b.otherPuts, w.otherPuts...)
	w.keysToDelete = append(b.deletedKeys, w.keysToDelete...)
	w.committer.RereadVersions(keys, func(index int, version uint64) {
		blocksToVerify[index].record.Verified(version)
		w.markUrgent(blocksToVerify[index])
	})
}

// blockRecorded handles a write of a block that was applied: its attempts may now be started, and
// its migrating attempts stopped.
func (l *leader) blockRecorded(write *blockWrite, revision uint64) {
	block := write.block
	block.record.Written(revision)
	for _, t := range write.completed {
		l.completionRecorded(t)
	}
	for _, a := range write.starts {
		if block.job.task(a.taskIndex).live != a {
			continue
		}
		a.recorded = true
		if a.stopRequested {
			l.detach(a, "stopped before its start was sent")
			continue
		}
		l.scheduleAttemptOrders(a)
	}
	for _, a := range write.migrating {
		l.rebalancer.migrationRecorded(a)
	}
}

// completionRecorded marks a task's completion as recorded, and acknowledges the task's exit to the
// shard owner if one reported it.
func (l *leader) completionRecorded(t *task) {
	t.doneRecorded = true
	if t.unacknowledgedExit != nil && l.shards != nil {
		l.shards.forgetExit(*t.unacknowledgedExit)
	}
	t.unacknowledgedExit = nil
}

// keyDeleted drops the job whose last key was deleted, if key is the last key of a job.
func (w *recordWriter) keyDeleted(key string) {
	index := slices.IndexFunc(w.jobDeletions, func(d jobDeletion) bool { return d.lastKey == key })
	if index < 0 {
		return
	}
	j := w.jobDeletions[index].job
	w.jobDeletions = slices.Delete(w.jobDeletions, index, index+1)
	w.leader.forgetJob(j)
}

var _ statestore.Batch = (*recordBatch)(nil)
