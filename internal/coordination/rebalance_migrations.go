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

// Tasks of surging teams that run, or fetch their image, are migrated off overloaded machines. A
// migration has the steps of a preemption, preceded by a record:
//
//  1. a mark that the task was migrated in this surge is recorded, and capacity is reserved on the
//     target machine;
//  2. the attempt is stopped;
//  3. its termination is proven, as for any other attempt;
//  4. the next placement round starts the task on the target before it places anything else.
//
// If the leader changes after the first step, the task still counts as migrated. Once its attempt is
// terminated, it waits to be placed like any other.

const (
	// stopDuration is the time for a stop and the proof of termination in addition to saving a
	// checkpoint: a call and a heartbeat.
	stopDuration = time.Second
	// machinesPerMigration bounds the migrations in progress: one for this many machines of the
	// fleet, but at least minActiveMigrations.
	machinesPerMigration = 50
	minActiveMigrations  = 2
)

// migrations are the migrations of one leader's term, with counts for the log.
type migrations struct {
	active    map[*attempt]*migration // by old attempt, which isn't proven terminated yet
	stopped   []*migration            // the old attempt is terminated; to be started on the target
	started   int
	completed int
	abandoned int // not completed: the attempt continues to run, or the task is placed like any other
}

// migration is the migration of a task from the machine of its old attempt to another one.
type migration struct {
	attempt  *attempt // the old attempt
	target   *machine
	needs    placement.Resources // reserved on the target
	deadline time.Time           // when the reservation is released if the old attempt isn't terminated before
}

// reconcileMigrations abandons migrations whose target is lost or whose deadline has passed, and
// plans new ones. It is called periodically.
func (b *rebalancer) reconcileMigrations() {
	if b == nil {
		return
	}
	for _, mg := range b.migrations.sortedActive() {
		if !b.leader.controller.now.Before(mg.deadline) || !b.leader.acceptsTasks(mg.target) {
			b.abandonMigration(mg, "target lost or deadline passed")
		}
	}
	if b.mayMigrate() {
		b.planMigrations()
	}
}

// sortedActive returns the migrations in progress in a deterministic order.
func (m *migrations) sortedActive() []*migration {
	list := make([]*migration, 0, len(m.active))
	for _, mg := range m.active {
		list = append(list, mg)
	}
	slices.SortFunc(list, func(x, y *migration) int { return compareAttempts(x.attempt, y.attempt) })
	return list
}

// mayMigrate reports whether migrations may begin: the operator allows them, the leader is active and
// workers have had time to reconnect to it, its lease is valid for at least half its TTL, the last
// placement round served all jobs, the leader isn't overloaded, the state service is available, and
// the urgent record writes fit into one transaction.
func (b *rebalancer) mayMigrate() bool {
	l, c := b.leader, b.leader.controller
	if l.controller.operator.Balance == nil || !l.controller.operator.Balance.AllowMigrations || l.phase != phaseActive || c.store.Unavailable() || l.autoscaler.demandIncomplete {
		return false
	}
	if c.now.Sub(l.reconciledAt) < c.timing().ReconnectTime() || l.lease.ValidUntil.Sub(c.now) < l.lease.TTL/2 {
		return false
	}
	return !c.overload.ShouldDefer() && !c.overload.Persistent(c.now) && len(l.writer.urgentBlocks) <= c.cfg.MaxTxnOps
}

// planMigrations plans worthwhile migrations and starts them.
func (b *rebalancer) planMigrations() {
	l, c := b.leader, b.leader.controller
	slots := max(minActiveMigrations, len(l.fleetList)/machinesPerMigration) - len(b.migrations.active) - len(b.migrations.stopped)
	if slots <= 0 || !b.anySurge() {
		return
	}
	sources := b.migrationSources()
	if len(sources) == 0 {
		return
	}
	params := balance.MigrationParams{Settings: b.settings, Now: c.now, StopDuration: stopDuration, Margin: c.operator.Balance.MigrationMargin, MaxMigrations: slots,
		WriteDuration: time.Duration(float64(time.Second) / c.cfg.StateWriteRPS)}
	planned := l.newPlanner().Rebalance(params, sources)
	if len(planned) == 0 {
		return
	}
	saving, cost := time.Duration(0), time.Duration(0)
	for i := range planned {
		saving, cost = saving+planned[i].Saving, cost+planned[i].Cost
		b.startMigration(planned[i].Task.Owner.(*attempt), l.machines[planned[i].To.Name])
	}
	c.log.Info("migrations started", "count", len(planned), "saving", saving.Round(time.Millisecond), "cost", cost.Round(time.Millisecond),
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

// migrationSources returns the machines that accept tasks and have attempts that may be migrated.
func (b *rebalancer) migrationSources() []balance.Source {
	var list []balance.Source
	for _, m := range b.leader.fleetList {
		if m.Spec == nil || !b.leader.acceptsTasks(m) {
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

// migratable reports whether an attempt may be migrated: it belongs to a batch job of a surging
// team, is running or fetching its image, and its task wasn't migrated in this surge. Service
// replicas and gang members aren't migrated, because they work together.
func (b *rebalancer) migratable(a *attempt) bool {
	j := a.job
	surge := b.surgeOf(j)
	return surge != 0 && j.Kind == protocol.Batch && j.finalState == 0 && j.task(a.taskIndex).migratedInSurge != surge &&
		a.recorded && a.delivery.Reported && !a.stopRequested && (a.state == protocol.Running || a.state == protocol.Fetching)
}

// migratableTask returns the description of an attempt for the planner.
func (b *rebalancer) migratableTask(a *attempt) balance.MigratableTask {
	j, m := a.job, a.machine
	w := balance.MigratableTask{Task: j.placementTask(), Team: b.teams[j.Team].id, Running: a.state == protocol.Running, Checkpoints: j.CheckpointInterval > 0,
		ZoneAllowed: j.zoneAllowed, Owner: a}
	if w.Running {
		w.RanFor = b.leader.controller.now.Sub(a.stateSince)
	}
	expected := time.Duration(float64(j.EstimatedRuntime) * b.leader.corrections.Factor(j.Class) * m.load.Speed.Slowdown())
	w.Remaining = max(0, expected-w.RanFor) // an overdue task may end at any time
	return w
}

// startMigration reserves capacity for an attempt's task on its target and queues the record of the
// task's migration mark. migrationRecorded then stops the attempt.
func (b *rebalancer) startMigration(a *attempt, to *machine) {
	l := b.leader
	t := a.job.task(a.taskIndex)
	t.migratedInSurge = b.surgeOf(a.job)
	mg := &migration{attempt: a, target: to, needs: placement.Needs(a.job.Job), deadline: l.controller.now.Add(l.controller.cfg.WorkerLease + a.job.CheckpointDuration + stopDuration)}
	to.reserveIncoming(mg.needs)
	b.migrations.active[a] = mg
	b.migrations.started++
	block := a.job.block(a.taskIndex)
	block.migrating = append(block.migrating, a)
	l.writer.markUrgent(block)
	l.controller.log.Debug("migration started", "job", a.job.ID, "task", a.taskIndex, "attempt", a.number, "from", a.machine.Name, "to", to.Name)
}

// reserveIncoming reserves capacity for a task that is to be migrated to the machine.
func (m *machine) reserveIncoming(needs placement.Resources) {
	m.Incoming = m.Incoming.Plus(needs)
	m.incomingMigrations++
}

// releaseIncoming releases capacity that reserveIncoming reserved.
func (m *machine) releaseIncoming(needs placement.Resources) {
	m.Incoming = m.Incoming.Minus(needs)
	if m.incomingMigrations--; m.incomingMigrations == 0 {
		m.Incoming = placement.Resources{} // leaves no rounding error
	}
}

// migrationRecorded is called when the migration mark of an attempt's task is recorded. It stops
// the attempt.
func (b *rebalancer) migrationRecorded(a *attempt) {
	if b == nil || b.migrations.active[a] == nil || a.job.task(a.taskIndex).live != a {
		return
	}
	b.leader.stopAttempt(a, b.leader.checkpointGrace(a))
}

// migrationStopped is called when an attempt is proven terminated. If it was being migrated, its
// task is started on the target in the next placement round.
func (b *rebalancer) migrationStopped(a *attempt) {
	if b == nil {
		return
	}
	if mg := b.migrations.active[a]; mg != nil {
		delete(b.migrations.active, a)
		b.migrations.stopped = append(b.migrations.stopped, mg)
	}
}

// abandonMigration releases the reservation on the target. If the stop of the attempt was already
// requested, its task is placed like any other once the attempt is terminated; if not, the attempt
// continues to run.
func (b *rebalancer) abandonMigration(mg *migration, reason string) {
	delete(b.migrations.active, mg.attempt)
	mg.target.releaseIncoming(mg.needs)
	b.migrations.abandoned++
	b.leader.controller.log.Debug("migration abandoned", "job", mg.attempt.job.ID, "task", mg.attempt.taskIndex, "to", mg.target.Name, "reason", reason)
}

// completeMigrations starts the tasks whose old attempts are terminated on their targets. It runs
// before anything else is placed, so that no other task takes up the team limits or zone shares
// that the old attempts used.
func (b *rebalancer) completeMigrations() {
	if b == nil {
		return
	}
	stopped := b.migrations.stopped
	b.migrations.stopped = nil
	for _, mg := range stopped {
		mg.target.releaseIncoming(mg.needs)
		if b.leader.startOnTarget(mg) {
			b.migrations.completed++
		} else {
			b.migrations.abandoned++
		}
	}
}

// startOnTarget starts a migrated task on its target, and reports whether that is still possible.
func (l *leader) startOnTarget(mg *migration) bool {
	j, i, m := mg.attempt.job, mg.attempt.taskIndex, mg.target
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

// encodeMigrationMarks stores in a block's record which tasks were migrated in the latest surge that
// any task of the block was migrated in.
func (b *taskBlock) encodeMigrationMarks(r *records.TaskBlock) {
	surge := uint64(0)
	for i := range b.tasks {
		surge = max(surge, b.tasks[i].migratedInSurge)
	}
	if surge == 0 {
		return
	}
	migrated := make([]bool, len(b.tasks))
	for i := range b.tasks {
		migrated[i] = b.tasks[i].migratedInSurge == surge
	}
	r.SetMigrated(surge, migrated)
}

// loadMigrationMarks restores the migration marks from a record. If they can't be decoded, all tasks
// count as migrated, so that none is migrated twice in the same surge.
func (b *taskBlock) loadMigrationMarks(r *records.TaskBlock, log *slog.Logger) {
	if r.Surge == 0 && r.Migrated == "" {
		return
	}
	migrated, err := r.MigratedTasks(len(b.tasks))
	if err != nil {
		log.Error("migration marks unreadable", "job", b.job.ID, "block", b.index, "error", err)
	}
	for i := range b.tasks {
		if err != nil || migrated[i] {
			b.tasks[i].migratedInSurge = r.Surge
		}
	}
}
