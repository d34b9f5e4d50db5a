package coordination

import (
	"slices"

	"brasskeel/internal/coordination/statestore"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// recordBatch is what one transaction of a leader's writes.
type recordBatch struct {
	writer      *recordWriter
	doneJobs    []*job
	groups      []*machineGroup
	blocks      []blockWrite
	otherPuts   []protocol.Op
	deletedKeys []string
}

// blockWrite is what a transaction says of a block of tasks.
type blockWrite struct {
	block     *taskBlock
	starts    []*attempt // to be sent once it is applied
	migrating []*attempt // to be stopped then
	completed []*task    // whose results are recorded by it
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

// Conflict implements statestore.Batch.
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

// Refused implements statestore.Batch.
func (b *recordBatch) Refused() { b.requeue(func(*taskBlock) bool { return false }) }

// Unknown implements statestore.Batch. What each record is now decides. If the transaction is
// applied later after all, its conditions fail as soon as the records were written again.
func (b *recordBatch) Unknown() { b.requeue(func(*taskBlock) bool { return true }) }

// requeue wants everything written again. The versions of the blocks that unsure picks are
// read before.
func (b *recordBatch) requeue(unsure func(*taskBlock) bool) {
	w := b.writer
	var unsureBlocks []*taskBlock
	var keys []string
	for i := range b.blocks {
		w.requeue(&b.blocks[i])
		block := b.blocks[i].block
		if unsure(block) {
			block.record.BeginVerify()
			unsureBlocks = append(unsureBlocks, block)
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
	w.committer.RereadVersions(keys, func(place int, version uint64) {
		unsureBlocks[place].record.Verified(version)
		w.markUrgent(unsureBlocks[place])
	})
}

// blockRecorded acts on a block's record that was applied: what waited for it goes on.
func (l *leader) blockRecorded(write *blockWrite, revision uint64) {
	block := write.block
	block.record.Written(revision)
	for _, t := range write.completed {
		l.resultRecorded(t)
	}
	for _, a := range write.starts {
		if block.job.task(a.taskIndex).live != a {
			continue
		}
		a.recorded = true
		if a.stopRequested {
			l.detach(a, "given up before it was sent")
			continue
		}
		l.scheduleAttemptOrders(a)
	}
	for _, a := range write.migrating {
		l.rebalancer.migrationRecorded(a)
	}
}

// resultRecorded notes that a task's result is recorded.
func (l *leader) resultRecorded(t *task) {
	t.doneRecorded = true
	if t.unacknowledgedExit != nil && l.shards != nil {
		l.shards.forgetExit(*t.unacknowledgedExit)
	}
	t.unacknowledgedExit = nil
}

// keyDeleted forgets the job whose last key was removed, if that one was.
func (w *recordWriter) keyDeleted(key string) {
	place := slices.IndexFunc(w.jobDeletions, func(d jobDeletion) bool { return d.lastKey == key })
	if place < 0 {
		return
	}
	j := w.jobDeletions[place].job
	w.jobDeletions = slices.Delete(w.jobDeletions, place, place+1)
	w.leader.forgetJob(j)
}

var _ statestore.Batch = (*recordBatch)(nil)
