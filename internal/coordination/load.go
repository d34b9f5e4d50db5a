package coordination

import (
	"time"

	"brasskeel/internal/coordination/statestore"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// loadRecords reads all kinds of records concurrently, so that the delays of slow responses of the
// state service don't add up. It applies machines and task blocks once all kinds are read. The order
// of the reads doesn't matter: since this controller was elected, no other controller writes the
// records of machines and attempts.
func (l *leader) loadRecords() {
	var machines, blocks []protocol.KeyValue
	remaining := 3
	if l.rebalancer != nil {
		remaining++
	}
	readDone := func() {
		if remaining--; remaining == 0 {
			l.applyRecords(machines, blocks)
		}
	}
	l.loadJobs(func(revision uint64) {
		l.watchJobs(revision)
		readDone()
	})
	l.controller.store.List(records.PrefixMachineGroups, l.alive, func(list statestore.ListResult) {
		machines = list.Items
		readDone()
	})
	l.controller.store.List(records.PrefixTaskBlocks, l.alive, func(list statestore.ListResult) {
		blocks = list.Items
		readDone()
	})
	if l.rebalancer != nil {
		l.controller.store.List(records.PrefixSurges, l.alive, func(list statestore.ListResult) {
			l.rebalancer.restoreSurges(list.Items)
			readDone()
		})
	}
}

// blocksPerStep is how many records of task blocks are loaded in one step. The records of a fleet
// of thousands of machines hold tens of thousands of attempts. Loaded in a single step, they kept
// a leader with a small share of a CPU from renewing its lease in time.
const blocksPerStep = 32

// blockStepPause is the pause between two steps that load task blocks, in which the event loop
// handles other work.
const blockStepPause = time.Millisecond

// applyRecords loads machines before task blocks, whose attempts refer to jobs and machines. The jobs
// are loaded before.
func (l *leader) applyRecords(machines, blocks []protocol.KeyValue) {
	for _, item := range machines {
		l.loadMachineGroup(item)
	}
	l.applyTaskBlocks(blocks)
}

// applyTaskBlocks loads records of task blocks, blocksPerStep at a time, and then starts
// reconciling.
func (l *leader) applyTaskBlocks(blocks []protocol.KeyValue) {
	count := min(blocksPerStep, len(blocks))
	for _, item := range blocks[:count] {
		l.loadTaskBlock(item)
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
