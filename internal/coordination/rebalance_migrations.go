package coordination

import (
	"log/slog"
	"slices"
	"time"

	"brasskeel/internal/coordination/balance"
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// Running work of surging teams migrates off overloaded machines. A migration goes by the steps
// of a preemption, with a record before the first of them:
//
//  1. that the task moves in this surge is recorded, and room is held on its target;
//  2. the attempt is told to stop;
//  3. it is proven gone, like any other;
//  4. the next round of placement starts the task on its target, before anything else.
//
// A leader that ends in between leaves a task that counts as moved and waits like others.

const (
	// stopDuration is what a stop and its proof take besides saving: a call, and a heartbeat.
	stopDuration = time.Second
	// machinesPerMigration bounds the moves under way, as a part of the fleet, and minActiveMigrations from below.
	machinesPerMigration = 50
	minActiveMigrations  = 2
)

// migrations are the moves of one leadership.
type migrations struct {
	active    map[*attempt]*migration // not proven gone yet
	stopped   []*migration            // proven gone, to be started on their targets
	started   int
	completed int
	abandoned int // came to nothing: the task is placed like any other
}

// migration is a task on its way from one machine to another.
type migration struct {
	attempt  *attempt
	target   *machine
	needs    placement.Resources // held on the target
	deadline time.Time           // when the target's room is given up
}

// reconcileMigrations is the regular turn: it gives up moves that come to nothing, and plans new ones.
func (b *rebalancer) reconcileMigrations() {
	if b == nil {
		return
	}
	for _, r := range b.migrations.sortedActive() {
		if !b.l.controller.now.Before(r.deadline) || !b.l.acceptsTasks(r.target) {
			b.abandonMigration(r, "target lost or deadline passed")
		}
	}
	if b.mayMigrate() {
		b.planMigrations()
	}
}

// sortedActive gives the moves under way in a fixed order.
func (s *migrations) sortedActive() []*migration {
	list := make([]*migration, 0, len(s.active))
	for _, r := range s.active {
		list = append(list, r)
	}
	slices.SortFunc(list, func(x, y *migration) int { return compareAttempts(x.attempt, y.attempt) })
	return list
}

// mayMigrate reports whether moves may begin: this leader has heard its machines, its right lasts,
// and neither it nor the state service has more to do than it can.
func (b *rebalancer) mayMigrate() bool {
	l, c := b.l, b.l.controller
	if l.controller.operator.Balance == nil || !l.controller.operator.Balance.Moves || l.phase != phaseActive || c.store.Unavailable() || l.autoscaler.demandIncomplete {
		return false
	}
	if c.now.Sub(l.reconciledAt) < c.timing().ReconnectTime() || l.lease.ValidUntil.Sub(c.now) < l.lease.TTL/2 {
		return false
	}
	return !c.overload.ShouldDefer() && !c.overload.Persistent(c.now) && len(l.writer.urgentBlocks) <= c.cfg.TxnOps
}

// planMigrations begins the moves that pay.
func (b *rebalancer) planMigrations() {
	l, c := b.l, b.l.controller
	room := max(minActiveMigrations, len(l.fleetList)/machinesPerMigration) - len(b.migrations.active) - len(b.migrations.stopped)
	if room <= 0 || !b.anySurge() {
		return
	}
	sources := b.migrationSources()
	if len(sources) == 0 {
		return
	}
	terms := balance.MigrationParams{Settings: b.settings, Now: c.now, StopDuration: stopDuration, Margin: c.operator.Balance.MoveMargin, MaxMigrations: room,
		WriteDuration: time.Duration(float64(time.Second) / c.cfg.StateWriteRPS)}
	moves := l.newPlanner().Rebalance(terms, sources)
	if len(moves) == 0 {
		return
	}
	saving, cost := time.Duration(0), time.Duration(0)
	for i := range moves {
		saving, cost = saving+moves[i].Saving, cost+moves[i].Cost
		b.startMigration(moves[i].Task.Owner.(*attempt), l.machines[moves[i].To.Name])
	}
	c.log.Info("migrations started", "count", len(moves), "saving", saving.Round(time.Millisecond), "cost", cost.Round(time.Millisecond),
		"total", b.migrations.started, "completed", b.migrations.completed, "abandoned", b.migrations.abandoned)
}

// anySurge reports whether any team surges.
func (b *rebalancer) anySurge() bool {
	for _, t := range b.teams {
		if t.surge.Number() != 0 {
			return true
		}
	}
	return false
}

// migrationSources are the machines that are heard and run work that may be moved.
func (b *rebalancer) migrationSources() []balance.Source {
	var list []balance.Source
	for _, m := range b.l.fleetList {
		if m.Spec == nil || !b.l.acceptsTasks(m) {
			continue
		}
		s := balance.Source{LoadedMachine: balance.LoadedMachine{Machine: &m.Machine, Load: m.load}}
		for _, a := range m.sortedAttempts() {
			if b.migratable(a) {
				s.Tasks = append(s.Tasks, b.migratableTask(a))
			}
		}
		if len(s.Tasks) > 0 {
			list = append(list, s)
		}
	}
	return list
}

// migratable reports whether an attempt is one of a surging team's that runs or fetches, and that
// wasn't moved in this surge. Replicas and gangs stay where they are: they serve together.
func (b *rebalancer) migratable(a *attempt) bool {
	j := a.job
	surge := b.surgeOf(j)
	return surge != 0 && j.Kind == protocol.Batch && j.finalState == 0 && j.task(a.taskIndex).migratedInSurge != surge &&
		a.recorded && a.delivery.Reported && !a.stopRequested && (a.state == protocol.Running || a.state == protocol.Fetching)
}

// migratableTask is an attempt as the planner sees it.
func (b *rebalancer) migratableTask(a *attempt) balance.MigratableTask {
	j, m := a.job, a.machine
	w := balance.MigratableTask{Task: j.placementTask(), Team: b.teams[j.Team].id, Running: a.state == protocol.Running, Checkpoints: j.CheckpointInterval > 0,
		ZoneAllowed: j.zoneAllowed, Owner: a}
	if w.Running {
		w.RanFor = b.l.controller.now.Sub(a.stateSince)
	}
	likely := time.Duration(float64(j.EstimatedRuntime) * b.l.corrections.Factor(j.Class) * m.load.Speed.Slowdown())
	w.Remaining = max(0, likely-w.RanFor) // one that is overdue may end at any moment
	return w
}

// startMigration holds room for a task on its target and has its mark recorded.
func (b *rebalancer) startMigration(a *attempt, to *machine) {
	l := b.l
	t := a.job.task(a.taskIndex)
	t.migratedInSurge = b.surgeOf(a.job)
	r := &migration{attempt: a, target: to, needs: placement.Needs(a.job.Job), deadline: l.controller.now.Add(l.controller.cfg.WorkerLease + a.job.CheckpointDuration + stopDuration)}
	to.reserveIncoming(r.needs)
	b.migrations.active[a] = r
	b.migrations.started++
	block := a.job.block(a.taskIndex)
	block.migrating = append(block.migrating, a)
	l.writer.markUrgent(block)
	l.controller.log.Debug("migration started", "job", a.job.ID, "task", a.taskIndex, "attempt", a.number, "from", a.machine.Name, "to", to.Name)
}

// reserveIncoming keeps room for a task that is to move here.
func (m *machine) reserveIncoming(needs placement.Resources) {
	m.Incoming = m.Incoming.Plus(needs)
	m.incomingMigrations++
}

// releaseIncoming gives such room back.
func (m *machine) releaseIncoming(needs placement.Resources) {
	m.Incoming = m.Incoming.Minus(needs)
	if m.incomingMigrations--; m.incomingMigrations == 0 {
		m.Incoming = placement.Resources{} // no rounding left behind
	}
}

// migrationRecorded notes that it is on record that an attempt moves: now it may be stopped.
func (b *rebalancer) migrationRecorded(a *attempt) {
	if b == nil || b.migrations.active[a] == nil || a.job.task(a.taskIndex).live != a {
		return
	}
	b.l.stopAttempt(a, b.l.checkpointGrace(a))
}

// migrationStopped notes that an attempt is proven gone.
func (b *rebalancer) migrationStopped(a *attempt) {
	if b == nil {
		return
	}
	if r := b.migrations.active[a]; r != nil {
		delete(b.migrations.active, a)
		b.migrations.stopped = append(b.migrations.stopped, r)
	}
}

// releaseUnresponsive gives a target's room back. Its task, if it is told to stop, is placed like others.
func (b *rebalancer) abandonMigration(r *migration, reason string) {
	delete(b.migrations.active, r.attempt)
	r.target.releaseIncoming(r.needs)
	b.migrations.abandoned++
	b.l.controller.log.Debug("migration abandoned", "job", r.attempt.job.ID, "task", r.attempt.taskIndex, "to", r.target.Name, "reason", reason)
}

// completeMigrations starts tasks whose old attempts are proven gone on their targets, before anything else
// is placed: their teams' limits and their zones count them without a gap.
func (b *rebalancer) completeMigrations() {
	if b == nil {
		return
	}
	gone := b.migrations.stopped
	b.migrations.stopped = nil
	for _, r := range gone {
		r.target.releaseIncoming(r.needs)
		if b.l.startOnTarget(r) {
			b.migrations.completed++
		} else {
			b.migrations.abandoned++
		}
	}
}

// startOnTarget starts a moved task on its target if it still may.
func (l *leader) startOnTarget(r *migration) bool {
	j, i, m := r.attempt.job, r.attempt.taskIndex, r.target
	t := j.task(i)
	if j.finalState != 0 || t.done || t.live != nil || m.removed || !l.acceptsTasks(m) || l.controller.now.Before(j.backoffUntil) || l.writer.saturated() {
		return false
	}
	if !l.canTakeTask(m, j) || !j.zoneAllowed(m.Zone) || !l.withinTeamLimit(j) {
		return false
	}
	k := slices.Index(j.retryQueue, i)
	if k < 0 {
		return false
	}
	j.retryQueue = slices.Delete(j.retryQueue, k, k+1)
	l.startAttempt(j, i, m)
	return true
}

// encodeMigrationMarks puts the marks of a block's tasks into its record: those of the latest surge.
func (b *taskBlock) encodeMigrationMarks(r *records.TaskBlock) {
	surge := uint64(0)
	for i := range b.tasks {
		surge = max(surge, b.tasks[i].migratedInSurge)
	}
	if surge == 0 {
		return
	}
	moved := make([]bool, len(b.tasks))
	for i := range b.tasks {
		moved[i] = b.tasks[i].migratedInSurge == surge
	}
	r.SetMigrated(surge, moved)
}

// loadMigrationMarks takes the marks of a record. Where they can't be read, all tasks count as moved.
func (b *taskBlock) loadMigrationMarks(r *records.TaskBlock, log *slog.Logger) {
	if r.Surge == 0 && r.Migrated == "" {
		return
	}
	moved, err := r.MigratedTasks(len(b.tasks))
	if err != nil {
		log.Error("migration marks unreadable", "job", b.job.ID, "block", b.index, "error", err)
	}
	for i := range b.tasks {
		if err != nil || moved[i] {
			b.tasks[i].migratedInSurge = r.Surge
		}
	}
}
