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

// leaderWithMigration is a leader with a surging team, whose task moves from one machine to another and
// is told to stop.
func leaderWithMigration(t *testing.T) (l *leader, a *attempt, to *machine) {
	t.Helper()
	c, l, a := leaderWithBalancing(t)
	c.operator.Balance.Moves, c.operator.Balance.MoveMargin = true, 1.5
	l.reconciledAt, l.lease = c.now.Add(-time.Minute), leadership.Lease{ID: 5, TTL: 2 * time.Second, ValidUntil: c.now.Add(2 * time.Second)}
	l.rebalancer.teams["red"].surge.Restore(c.now, balance.SurgeRecord{Number: 7, Level: 1})
	to = l.newMachine("vm-2", "small", "a", false)
	to.session.Registered, to.recorded, to.session.LastSeen, to.session.LastAnswered, to.session.LastReached = true, true, c.now, c.now, c.now
	a.delivery.Reported = true
	l.setTaskState(a, protocol.Running)
	l.rebalancer.startMigration(a, to)
	l.rebalancer.migrationRecorded(a)
	return l, a, to
}

// Room on the target is kept for the move and for nothing else, and given back in the end.
func TestMigrationReservesTarget(t *testing.T) {
	whole := &protocol.Job{ID: "run-000009", CPUs: 4, MemoryGB: 1}
	l, a, to := leaderWithMigration(t)
	if !a.stopRequested || to.HasRoom(whole) {
		t.Fatalf("told to stop: %t, room for others: %t", a.stopRequested, to.HasRoom(whole))
	}
	l.controller.now = l.rebalancer.migrations.active[a].deadline
	l.rebalancer.reconcileMigrations()
	if len(l.rebalancer.migrations.active) != 0 || to.Incoming != (placement.Resources{}) || !to.HasRoom(whole) {
		t.Errorf("held %+v although the move took too long", to.Incoming)
	}
	l, _, to = leaderWithMigration(t)
	to.lifecycle.draining = true
	l.rebalancer.reconcileMigrations()
	if len(l.rebalancer.migrations.active) != 0 || to.Incoming != (placement.Resources{}) {
		t.Errorf("held %+v although the target is lost", to.Incoming)
	}
	l, a, to = leaderWithMigration(t)
	l.detach(a, "exited")
	if to.HasRoom(whole) {
		t.Error("room for others between the proof and the new start")
	}
	l.rebalancer.completeMigrations()
	if to.Incoming != (placement.Resources{}) || len(to.attemptList) != 1 {
		t.Errorf("held %+v, %d attempts", to.Incoming, len(to.attemptList))
	}
}

// A task whose old attempt is gone starts on its target if everything still allows it, and
// waits like others otherwise. Either way the room isn't held any more.
func TestMigrationStartsOnTarget(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(l *leader, a *attempt, to *machine)
		lands  bool
		waits  bool
	}{
		{name: "all is well", lands: true},
		{name: "the target is gone", change: func(_ *leader, _ *attempt, to *machine) { to.removed = true }, waits: true},
		{name: "the target is silent", change: func(l *leader, _ *attempt, to *machine) { to.session.LastSeen = l.controller.now.Add(-time.Minute) }, waits: true},
		{name: "the target is to be taken", change: func(l *leader, _ *attempt, to *machine) { to.lifecycle.preemptionAt = l.controller.now }, waits: true},
		{name: "the target is full", change: func(_ *leader, _ *attempt, to *machine) { to.Allocated.CPUs = 4 }, waits: true},
		{name: "the team is at its limit", change: func(l *leader, _ *attempt, _ *machine) { l.teamUsage["red"].cpus = 16 }, waits: true},
		{name: "its zone is closed", change: func(_ *leader, a *attempt, _ *machine) { a.job.OneZone, a.job.attemptsByZone["b"] = true, 1 }, waits: true},
		{name: "the target failed the job", change: func(_ *leader, a *attempt, to *machine) { to.failuresByJob[a.job.ID] = 1 }, waits: true},
		{name: "the job is over", change: func(l *leader, a *attempt, _ *machine) { l.endJob(a.job, protocol.Cancelled) }},
		{name: "the task is done", change: func(l *leader, a *attempt, _ *machine) { l.taskDone(a.job, a.taskIndex) }},
		{name: "it was started elsewhere", change: func(l *leader, a *attempt, _ *machine) {
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
		if landed := live != nil && live.machine == to; landed != test.lands {
			t.Errorf("%s: lands %t", test.name, landed)
		}
		if waits := len(a.job.retryQueue) == 1; waits != test.waits {
			t.Errorf("%s: waits %t", test.name, waits)
		}
		if to.Incoming != (placement.Resources{}) {
			t.Errorf("%s: %+v is still held", test.name, to.Incoming)
		}
	}
}

// Moves begin only while this leader can stand behind them.
func TestMayMigrate(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(c *Controller, l *leader)
		may    bool
	}{
		{name: "all is well", may: true},
		{name: "moves are off", change: func(c *Controller, _ *leader) { c.operator.Balance.Moves = false }},
		{name: "the state service is away", change: func(c *Controller, _ *leader) { failStateServiceCalls(c) }},
		{name: "machines are still to be heard", change: func(c *Controller, l *leader) { l.reconciledAt = c.now }},
		{name: "the leader still settles", change: func(_ *Controller, l *leader) { l.phase = phaseReconciling }},
		{name: "the right is near its end", change: func(c *Controller, l *leader) { l.lease.ValidUntil = c.now.Add(500 * time.Millisecond) }},
		{name: "timers are late", change: func(c *Controller, _ *leader) { c.overload.Observe(c.now, overload.DeferThreshold+1) }},
		{name: "more to serve than the share allows", change: func(c *Controller, _ *leader) {
			for ago := 10 * time.Second; ago >= time.Second; ago -= time.Second {
				c.overload.Observe(c.now.Add(-ago), overload.OverloadThreshold+1)
			}
			c.overload.Observe(c.now, 0)
		}},
		{name: "the last round ended early", change: func(_ *Controller, l *leader) { l.autoscaler.demandIncomplete = true }},
		{name: "records are behind", change: func(c *Controller, l *leader) { l.writer.urgentBlocks = make([]*taskBlock, c.cfg.TxnOps+1) }},
	} {
		l, _, _ := leaderWithMigration(t)
		if test.change != nil {
			test.change(l.controller, l)
		}
		if got := l.rebalancer.mayMigrate(); got != test.may {
			t.Errorf("%s: %t", test.name, got)
		}
	}
}

// That a task was moved stands in its record, for the next leader; a mark that can't be read
// counts for all tasks of the record.
func TestMigrationMarks(t *testing.T) {
	l, a, _ := leaderWithMigration(t)
	record := a.job.block(a.taskIndex)
	var r records.TaskBlock
	record.encodeMigrationMarks(&r)
	load := func(r records.TaskBlock) (moved int) {
		tasks := &taskBlock{job: a.job, tasks: make([]task, len(record.tasks))}
		tasks.loadMigrationMarks(&r, l.controller.log)
		for i := range tasks.tasks {
			if tasks.tasks[i].migratedInSurge == 7 {
				moved++
			}
		}
		return moved
	}
	if got := load(r); r.Surge != 7 || got != 1 {
		t.Errorf("%d tasks are marked in surge %d", got, r.Surge)
	}
	r.Migrated = "!"
	if got := load(r); got != len(record.tasks) {
		t.Errorf("%d tasks of %d count as moved where the mark can't be read", got, len(record.tasks))
	}
	if l.rebalancer.migratable(a) {
		t.Error("it may be moved once more in the surge")
	}
}
