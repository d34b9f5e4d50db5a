package coordination

import (
	"testing"
	"time"

	"brasskeel/internal/coordination/balance"
	"brasskeel/internal/coordination/leadership"
	"brasskeel/internal/coordination/overload"
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// leaderWithMigration returns a leader with a surging team, an attempt of that team whose stop
// was requested because its task is being migrated, and the target of the migration.
func leaderWithMigration(t *testing.T) (l *leader, a *attempt, to *machine) {
	t.Helper()
	c, l, a := leaderWithBalancing(t)
	c.operator.Balance.AllowMigrations, c.operator.Balance.MigrationMargin = true, 1.5
	l.reconciledAt, l.lease = c.now.Add(-time.Minute), leadership.Lease{ID: 5, TTL: 2 * time.Second, ValidUntil: c.now.Add(2 * time.Second)}
	l.rebalancer.teams["red"].surge.Restore(c.now, balance.SurgeRecord{Number: 7, UsualCPUs: 1})
	to = l.newMachine("vm-2", "small", "a", false)
	to.session.Registered, to.recorded, to.session.LastSeen, to.session.LastAnswered, to.session.LastReached = true, true, c.now, c.now, c.now
	a.delivery.Reported = true
	l.setTaskState(a, protocol.Running)
	l.rebalancer.startMigration(a, to)
	l.rebalancer.migrationRecorded(a)
	return l, a, to
}

// Capacity on the target is reserved for the migration alone, and released when the migration is
// abandoned or completed.
func TestMigrationReservesTarget(t *testing.T) {
	whole := &protocol.Job{ID: "run-000009", CPUs: 4, MemoryGB: 1}
	l, a, to := leaderWithMigration(t)
	if !a.stopRequested || to.HasRoom(whole) {
		t.Fatalf("stop requested: %t, room for other tasks: %t; want true, false", a.stopRequested, to.HasRoom(whole))
	}
	l.controller.now = l.rebalancer.migrations.active[a].deadline
	l.rebalancer.reconcileMigrations()
	if len(l.rebalancer.migrations.active) != 0 || to.Incoming != (placement.Resources{}) || !to.HasRoom(whole) {
		t.Errorf("%+v still reserved after the migration's deadline", to.Incoming)
	}
	l, _, to = leaderWithMigration(t)
	to.lifecycle.draining = true
	l.rebalancer.reconcileMigrations()
	if len(l.rebalancer.migrations.active) != 0 || to.Incoming != (placement.Resources{}) {
		t.Errorf("%+v still reserved although the target is lost", to.Incoming)
	}
	l, a, to = leaderWithMigration(t)
	l.detach(a, "exited")
	if to.HasRoom(whole) {
		t.Error("target has room for other tasks between the termination of the old attempt and the new start")
	}
	l.rebalancer.completeMigrations()
	if to.Incoming != (placement.Resources{}) || len(to.attemptList) != 1 {
		t.Errorf("%+v still reserved after the start, %d attempts on the target, want 1", to.Incoming, len(to.attemptList))
	}
}

// A task whose old attempt is terminated starts on its target if it still may run there. If it may
// not, but still has to run, it is pending like any other task. In every case the reservation is
// released.
func TestMigrationStartsOnTarget(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(l *leader, a *attempt, to *machine)
		starts bool // on the target
		waits  bool // is pending
	}{
		{name: "no obstacle", starts: true},
		{name: "target removed", change: func(_ *leader, _ *attempt, to *machine) { to.removed = true }, waits: true},
		{name: "heartbeats of the target overdue", change: func(l *leader, _ *attempt, to *machine) { to.session.LastSeen = l.controller.now.Add(-time.Minute) }, waits: true},
		{name: "preemption notice for the target", change: func(l *leader, _ *attempt, to *machine) { to.lifecycle.preemptionAt = l.controller.now }, waits: true},
		{name: "target full", change: func(_ *leader, _ *attempt, to *machine) { to.Allocated.CPUs = 4 }, waits: true},
		{name: "team at its limit", change: func(l *leader, _ *attempt, _ *machine) { l.teamUsage["red"].cpus = 16 }, waits: true},
		{name: "zone not allowed", change: func(_ *leader, a *attempt, _ *machine) { a.job.OneZone, a.job.attemptsByZone["b"] = true, 1 }, waits: true},
		{name: "job failed on the target", change: func(_ *leader, a *attempt, to *machine) { to.failuresByJob[a.job.ID] = 1 }, waits: true},
		{name: "job cancelled", change: func(l *leader, a *attempt, _ *machine) { l.endJob(a.job, protocol.Cancelled) }},
		{name: "task done", change: func(l *leader, a *attempt, _ *machine) { l.taskDone(a.job, a.taskIndex) }},
		{name: "started elsewhere", change: func(l *leader, a *attempt, _ *machine) {
			other := l.newMachine("vm-3", "small", "a", false)
			a.job.retryQueue = nil
			l.startAttempt(a.job, a.taskIndex, other)
		}},
	} {
		l, a, to := leaderWithMigration(t)
		l.detach(a, "exited")
		if test.change != nil {
			test.change(l, a, to)
		}
		l.rebalancer.completeMigrations()
		live := a.job.task(a.taskIndex).live
		if starts := live != nil && live.machine == to; starts != test.starts {
			t.Errorf("%s: started on the target: %t, want %t", test.name, starts, test.starts)
		}
		if waits := len(a.job.retryQueue) == 1; waits != test.waits {
			t.Errorf("%s: pending: %t, want %t", test.name, waits, test.waits)
		}
		if to.Incoming != (placement.Resources{}) {
			t.Errorf("%s: %+v still reserved", test.name, to.Incoming)
		}
	}
}

// Migrations begin only while the leader holds its lease safely, knows the state of its workers
// and isn't overloaded.
func TestMayMigrate(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(c *Controller, l *leader)
		may    bool
	}{
		{name: "no obstacle", may: true},
		{name: "migrations turned off", change: func(c *Controller, _ *leader) { c.operator.Balance.AllowMigrations = false }},
		{name: "state service unavailable", change: func(c *Controller, _ *leader) { failStateServiceCalls(c) }},
		{name: "workers still reconnecting", change: func(c *Controller, l *leader) { l.reconciledAt = c.now }},
		{name: "leader still reconciling", change: func(_ *Controller, l *leader) { l.phase = phaseReconciling }},
		{name: "lease about to expire", change: func(c *Controller, l *leader) { l.lease.ValidUntil = c.now.Add(500 * time.Millisecond) }},
		{name: "event loop overloaded", change: func(c *Controller, _ *leader) { c.overload.Observe(c.now, overload.DeferThreshold+1) }},
		{name: "persistent overload", change: func(c *Controller, _ *leader) {
			for ago := 10 * time.Second; ago >= time.Second; ago -= time.Second {
				c.overload.Observe(c.now.Add(-ago), overload.OverloadThreshold+1)
			}
			c.overload.Observe(c.now, 0)
		}},
		{name: "last placement round ended early", change: func(_ *Controller, l *leader) { l.autoscaler.demandIncomplete = true }},
		{name: "too many records waiting to be written", change: func(c *Controller, l *leader) { l.writer.urgentBlocks = make([]*taskBlock, c.cfg.MaxTxnOps+1) }},
	} {
		l, _, _ := leaderWithMigration(t)
		if test.change != nil {
			test.change(l.controller, l)
		}
		if got := l.rebalancer.mayMigrate(); got != test.may {
			t.Errorf("%s: may migrate: %t, want %t", test.name, got, test.may)
		}
	}
}

// The record of a task block contains which tasks were migrated, for the next leader. If the marks
// can't be decoded, all tasks of the block count as migrated.
func TestMigrationMarks(t *testing.T) {
	l, a, _ := leaderWithMigration(t)
	block := a.job.block(a.taskIndex)
	var r records.TaskBlock
	block.encodeMigrationMarks(&r)
	load := func(r records.TaskBlock) (migrated int) {
		loaded := &taskBlock{job: a.job, tasks: make([]task, len(block.tasks))}
		loaded.loadMigrationMarks(&r, l.controller.log)
		for i := range loaded.tasks {
			if loaded.tasks[i].migratedInSurge == 7 {
				migrated++
			}
		}
		return migrated
	}
	if got := load(r); r.Surge != 7 || got != 1 {
		t.Errorf("%d tasks are marked as migrated in surge %d, want 1 in surge 7", got, r.Surge)
	}
	r.Migrated = "!"
	if got := load(r); got != len(block.tasks) {
		t.Errorf("%d of %d tasks count as migrated with unreadable marks, want all", got, len(block.tasks))
	}
	if l.rebalancer.migratable(a) {
		t.Error("task may be migrated a second time in the same surge")
	}
}
