package balance

import (
	"cmp"
	"slices"
	"time"

	"brasskeel/internal/coordination/placement"
)

// MigratableTask is a task of a surging team that is running or waiting for its image. It may be
// migrated once during the surge.
type MigratableTask struct {
	placement.Task
	Team        Team
	Running     bool          // it has its image and runs; otherwise it waits for the image
	RanFor      time.Duration // how long it has been running
	Remaining   time.Duration // expected remaining run time on its machine
	Checkpoints bool          // it saves a checkpoint when it is stopped
	// ZoneAllowed reports whether the job's zone rules allow a zone.
	ZoneAllowed func(zone string) bool
	// Owner is a value of the caller's, not used by the planner.
	Owner any
}

// Source is a machine with tasks that may migrate.
type Source struct {
	LoadedMachine
	Tasks []MigratableTask
}

// Migration is the planned move of a task, with its expected saving and cost, both as times. Saving
// includes the reduction of the load, converted to time by LoadPenalty. Saving minus Cost is the gain.
type Migration struct {
	Task         *MigratableTask
	From, To     *placement.Machine
	Saving, Cost time.Duration
}

// MigrationParams are the parameters for planning migrations.
type MigrationParams struct {
	Settings
	Now           time.Time
	StopDuration  time.Duration // until a stopped attempt is proven terminated and its successor is recorded
	WriteDuration time.Duration // time that one write takes at the write rate of the state service
	Margin        float64       // a migration has to save more than this multiple of its cost
	MaxMigrations int
}

// Parameters of a plan. maxSources and maxTargets keep the effort from growing with the square of the
// fleet size.
const (
	maxSources         = 16 // most loaded machines that are examined as sources
	maxTargets         = 48 // least loaded machines that are examined per task, and as many that cache its image
	writesPerMigration = 2  // writes to the state service: the mark that the task was migrated, and the start of its new attempt
	// A running task without checkpoints loses its work. It is migrated only if the saving exceeds
	// the cost by a multiple of the margin, and only early in its run.
	noCheckpointMargin  = 2
	noCheckpointDivisor = 4 // the task may have run for at most its remaining run time divided by this
)

// Rebalance plans migrations off overloaded sources: those where a team is above its ceiling, where
// image fetches are queued for too long, or that are slower than other machines. It plans for one
// source after the other, the most loaded first.
func (p *Planner) Rebalance(migrationParams MigrationParams, sources []Source) []Migration {
	mostLoaded := slices.Clone(sources)
	slices.SortStableFunc(mostLoaded, func(a, b Source) int {
		return cmp.Or(cmp.Compare(migrationParams.overload(&b), migrationParams.overload(&a)), cmp.Compare(a.Name, b.Name))
	})
	var migrations []Migration
	leastLoaded := p.leastLoaded()
	for i := range mostLoaded[:min(len(mostLoaded), maxSources)] {
		if len(migrations) >= migrationParams.MaxMigrations {
			break
		}
		sp := &sourcePlanner{Planner: p, params: migrationParams, source: &mostLoaded[i], targets: leastLoaded, planned: p.planned}
		planned := sp.plan(migrationParams.MaxMigrations - len(migrations))
		if len(planned) > 0 {
			p.planned = sp.planned
			migrations = append(migrations, planned...)
		}
	}
	return migrations
}

// overload ranks sources: it returns the largest load by the attempts of a team that has migratable
// tasks on the source, as a fraction of the ceiling, plus the machine's slowdown minus 1. It is 0 for a
// source without migratable tasks.
func (params *MigrationParams) overload(s *Source) float64 {
	highest := 0.0
	for i := range s.Tasks {
		r, _ := s.Load.TeamUsage(s.Tasks[i].Team)
		highest = max(highest, DominantShare(r, placement.Capacity(s.Spec))/params.CeilingShare+s.Load.Speed.Slowdown()-1)
	}
	return highest
}

// leastLoaded returns the least loaded machines that accept tasks and aren't being consolidated, at
// most maxTargets. Unlike in overload, the load is that of all teams.
func (p *Planner) leastLoaded() []*LoadedMachine {
	var list []*LoadedMachine
	for i := range p.machines {
		if m := &p.machines[i]; m.Load != nil && !m.Consolidating && p.acceptsTasks(m.Machine) {
			list = append(list, m)
		}
	}
	p.Examined += len(list)
	load := func(s *LoadedMachine) float64 {
		return DominantShare(s.Allocated, placement.Capacity(s.Spec)) + s.Load.Speed.Slowdown() - 1
	}
	slices.SortStableFunc(list, func(a, b *LoadedMachine) int {
		return cmp.Or(cmp.Compare(load(a), load(b)), cmp.Compare(a.Name, b.Name))
	})
	return list[:min(len(list), maxTargets)]
}

// sourcePlanner plans the migrations off one source.
type sourcePlanner struct {
	*Planner
	params  MigrationParams
	source  *Source
	targets []*LoadedMachine
	planned PlannedUsage
}

// plan returns up to maxMigrations worthwhile migrations off the source, the one with the largest gain
// first. Only batch tasks are migrated.
func (sp *sourcePlanner) plan(maxMigrations int) []Migration {
	tasks := make([]*MigratableTask, 0, len(sp.source.Tasks))
	for i := range sp.source.Tasks {
		tasks = append(tasks, &sp.source.Tasks[i])
	}
	var migrations []Migration
	moved := placement.Resources{} // resources of the tasks planned to leave the source
	for len(migrations) < maxMigrations {
		best, bestIndex := Migration{}, -1
		for i, task := range tasks {
			if task == nil || !isBatch(task.Job) || !sp.overloaded(task, moved) {
				continue
			}
			if m, ok := sp.bestTarget(task, moved); ok && (bestIndex < 0 || m.Saving-m.Cost > best.Saving-best.Cost) {
				best, bestIndex = m, i
			}
		}
		if bestIndex < 0 {
			break
		}
		tasks[bestIndex] = nil
		needs := placement.Needs(best.Task.Job)
		moved = moved.Plus(needs)
		sp.planned = sp.planned.With(best.To.Name, needs)
		migrations = append(migrations, best)
	}
	return migrations
}

// overloaded reports whether there is a reason to migrate a task off the source: its team is above the
// ceiling, with more than one task; the task waits for its image behind a fetch backlog longer than
// MaxFetchBacklog; or the source is slow. moved is the resources of the tasks, of all teams, that are
// already planned to leave the source.
func (sp *sourcePlanner) overloaded(task *MigratableTask, moved placement.Resources) bool {
	l := sp.source.Load
	r, tasks := l.TeamUsage(task.Team)
	above := tasks > 1 && DominantShare(r.Minus(moved), placement.Capacity(sp.source.Spec)) > sp.params.CeilingShare+shareEpsilon
	queued := !task.Running && l.Fetches.Backlog(sp.params.Now, sp.source.Spec.FetchGBPerSecond) > sp.params.MaxFetchBacklog
	return above || queued || l.Speed.Slowdown() > slowSourceThreshold
}

// slowSourceThreshold is the slowdown of a machine above which its tasks are migrated for that reason
// alone.
const slowSourceThreshold = 1.3

// bestTarget returns the worthwhile migration of a task with the largest gain, if there is one. It
// examines the least loaded machines, and machines of the source's zone that cache the image.
func (sp *sourcePlanner) bestTarget(task *MigratableTask, moved placement.Resources) (best Migration, found bool) {
	consider := func(target *LoadedMachine) {
		if target.Machine == sp.source.Machine || target.Load == nil || target.Consolidating || !sp.acceptsTasks(target.Machine) {
			return // a machine that accepts no tasks may have no Spec, which fits needs
		}
		if !task.ZoneAllowed(target.Zone) || !sp.planned.fits(target.Machine, task.Job) {
			return
		}
		if m, pays := sp.evaluate(task, target, moved); pays && (!found || m.Saving-m.Cost > best.Saving-best.Cost) {
			best, found = m, true
		}
	}
	for _, target := range sp.targets {
		consider(target)
	}
	if sp.holders == nil {
		sp.indexImages()
	}
	holders := sp.holders[cachedImage{task.Image, sp.source.Zone}]
	for _, target := range holders[:min(len(holders), maxTargets)] {
		consider(target)
	}
	return best, found
}

// evaluate returns what the migration of a task to a machine would save and cost, and whether it is
// worthwhile.
func (sp *sourcePlanner) evaluate(task *MigratableTask, target *LoadedMachine, moved placement.Resources) (Migration, bool) {
	params, src := &sp.params, sp.source
	migration := Migration{Task: task, From: src.Machine, To: target.Machine}
	planned := sp.planned.UsageOn(target.Name)
	there, tasks := target.Load.TeamUsage(task.Team)
	needs := placement.Needs(task.Job)
	after := DominantShare(there.Plus(planned).Plus(needs), placement.Capacity(target.Spec))
	if (tasks > 0 || planned != (placement.Resources{})) && after > params.CeilingShare+shareEpsilon {
		return migration, false // the team would exceed the ceiling there, too
	}
	here, _ := src.Load.TeamUsage(task.Team)
	loadReduction := max(0, DominantShare(here.Minus(moved), placement.Capacity(src.Spec))-after) / params.CeilingShare
	migration.Saving = time.Duration(params.LoadPenalty.Seconds() * loadReduction * float64(time.Second))
	if slower := src.Load.Speed.Slowdown() / target.Load.Speed.Slowdown(); slower > 1 {
		migration.Saving += time.Duration(float64(task.Remaining) * (1 - 1/slower))
	}
	if !task.Running {
		migration.Saving += src.Load.Fetches.Backlog(params.Now, src.Spec.FetchGBPerSecond)
	}
	migration.Cost = params.StopDuration + writesPerMigration*params.WriteDuration
	if target.ImageShare(task.Task) < 1 {
		migration.Cost += target.Load.Fetches.Backlog(params.Now, target.Spec.FetchGBPerSecond)
		if target.Spec.FetchGBPerSecond > 0 {
			migration.Cost += seconds(task.ImageGB / target.Spec.FetchGBPerSecond)
		}
	}
	return migration, sp.worthwhile(task, &migration)
}

// worthwhile completes the cost of the migration of a running task, and reports whether the migration
// saves enough. The cost increases by the time to save a checkpoint, or by the run time that is lost if
// the task saves none; see noCheckpointMargin and noCheckpointDivisor. A task that is expected to end
// within the time that its migration costs isn't migrated.
func (sp *sourcePlanner) worthwhile(task *MigratableTask, m *Migration) bool {
	margin := sp.params.Margin
	if task.Running && task.Checkpoints {
		m.Cost += task.CheckpointDuration
	}
	if task.Running && !task.Checkpoints {
		m.Cost += task.RanFor
		margin *= noCheckpointMargin
		if task.RanFor > task.Remaining/noCheckpointDivisor {
			return false
		}
	}
	if task.Remaining <= m.Cost {
		return false
	}
	return m.Saving.Seconds() > margin*m.Cost.Seconds()
}
