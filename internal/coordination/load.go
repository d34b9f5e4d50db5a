package coordination

import (
	"time"

	"brasskeel/internal/coordination/statestore"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// loadRecords reads the records, all kinds of them at the same time: since this controller was
// elected nobody else writes those of machines and attempts, so that it doesn't matter which is
// read first, and one slow answer of the state service costs no more than itself.
func (l *leader) loadRecords() {
	var machines, blocks []protocol.KeyValue
	left := 3
	if l.rebalancer != nil {
		left++
	}
	read := func() {
		if left--; left == 0 {
			l.applyRecords(machines, blocks)
		}
	}
	l.loadJobs(func(revision uint64) {
		l.watchJobs(revision)
		read()
	})
	l.controller.store.List(records.PrefixMachineGroups, l.alive, func(list statestore.ListResult) {
		machines = list.Items
		read()
	})
	l.controller.store.List(records.PrefixTaskBlocks, l.alive, func(list statestore.ListResult) {
		blocks = list.Items
		read()
	})
	if l.rebalancer != nil {
		l.controller.store.List(records.PrefixSurges, l.alive, func(list statestore.ListResult) {
			l.rebalancer.restoreSurges(list.Items)
			read()
		})
	}
}

// blocksPerStep is how many records of task blocks are taken in one step. Those of a fleet of
// thousands of machines hold tens of thousands of attempts: taken at once, they kept a
// leader on a small share of a processor from renewing its lease in time.
const blocksPerStep = 32

// blockStepPause is between two such steps: whatever is due has its turn.
const blockStepPause = time.Millisecond

// applyRecords takes what was read: attempts belong to jobs and machines.
func (l *leader) applyRecords(machines, blocks []protocol.KeyValue) {
	for _, it := range machines {
		l.loadMachineGroup(it)
	}
	l.applyTaskBlocks(blocks)
}

// applyTaskBlocks takes records of task blocks, some of them in each step, and then goes on.
func (l *leader) applyTaskBlocks(blocks []protocol.KeyValue) {
	count := min(blocksPerStep, len(blocks))
	for _, it := range blocks[:count] {
		l.loadTaskBlock(it)
	}
	if count == len(blocks) {
		l.startReconciling()
		return
	}
	l.controller.after(blockStepPause, func() {
		if l.alive() {
			l.applyTaskBlocks(blocks[count:])
		}
	})
}
