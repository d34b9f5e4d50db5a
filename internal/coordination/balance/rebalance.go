package balance

import (
	"cmp"
	"slices"
	"time"

	"brasskeel/internal/coordination/placement"
)

// MigratableTask is a task of a surging team that is running, or waiting for its image, and that
// may migrate once during the surge.
type MigratableTask struct {
	placement.Task
	Team        Team
	Running     bool          // it has its image
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

// Migration is the planned move of a task, with its expected saving and cost, both as time.
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
	WriteDuration time.Duration // cost of a write to the state service
	Margin        float64       // how many times its cost a migration has to save
	MaxMigrations int
}

// Bounds of a plan. They keep the effort from growing with the square of the fleet size.
const (
	maxSources         = 16 // most loaded machines that are examined as sources
	maxTargets         = 48 // least loaded machines, and machines that cache the image, examined per task
	writesPerMigration = 2  // writes to the state service: the mark and the new start
	// A running task without checkpoints loses its work. It is migrated only if the saving exceeds
	// the cost by a multiple of the margin, and only early in its run.
	noCheckpointMargin  = 2
	noCheckpointDivisor = 4 // it may have run for this fraction of its remaining run time
)

// Rebalance plans migrations off overloaded sources: those where a team is above its ceiling, where
// image fetches are queued for too long, or that are slower than other machines. The migrations off
// a source are planned as a whole, the most loaded sources first.
func (p *Planner) Rebalance(t MigrationParams, sources []Source) []Migration {
	mostLoaded := slices.Clone(sources)
	slices.SortStableFunc(mostLoaded, func(a, b Source) int {
		return cmp.Or(cmp.Compare(t.overload(&b), t.overload(&a)), cmp.Compare(a.Name, b.Name))
	})
	var moves []Migration
	leastLoaded := p.leastLoaded()
	for i := range mostLoaded[:min(len(mostLoaded), maxSources)] {
		if len(moves) >= t.MaxMigrations {
			break
		}
		sp := &sourcePlanner{Planner: p, params: t, source: &mostLoaded[i], targets: leastLoaded, planned: p.planned}
		planned := sp.plan(t.MaxMigrations - len(moves))
		if len(planned) > 0 {
			p.planned = sp.planned
			moves = append(moves, planned...)
		}
	}
	return moves
}

// overload ranks sources: it returns the largest load by a team's tasks, as a fraction of the
// ceiling, plus the slowdown of the machine.
func (t *MigrationParams) overload(s *Source) float64 {
	highest := 0.0
	for i := range s.Tasks {
		r, _ := s.Load.TeamUsage(s.Tasks[i].Team)
		highest = max(highest, DominantShare(r, placement.Capacity(s.Spec))/t.CeilingShare+s.Load.Speed.Slowdown()-1)
	}
	return highest
}

// leastLoaded returns the least loaded machines that accept tasks, at most maxTargets.
func (p *Planner) leastLoaded() []*LoadedMachine {
	var list []*LoadedMachine
	for i := range p.machines {
		if s := &p.machines[i]; s.Load != nil && !s.Consolidating && p.acceptsTasks(s.Machine) {
			list = append(list, s)
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

// plan returns up to maxMoves worthwhile migrations off the source, the one with the largest gain
// first.
func (h *sourcePlanner) plan(maxMoves int) []Migration {
	tasks := make([]*MigratableTask, 0, len(h.source.Tasks))
	for i := range h.source.Tasks {
		tasks = append(tasks, &h.source.Tasks[i])
	}
	var moves []Migration
	moved := placement.Resources{} // resources of the tasks planned to leave the source
	for len(moves) < maxMoves {
		best, bestIndex := Migration{}, -1
		for i, w := range tasks {
			if w == nil || !isBatch(w.Job) || !h.overloaded(w, moved) {
				continue
			}
			if m, ok := h.bestTarget(w, moved); ok && (bestIndex < 0 || m.Saving-m.Cost > best.Saving-best.Cost) {
				best, bestIndex = m, i
			}
		}
		if bestIndex < 0 {
			break
		}
		tasks[bestIndex] = nil
		needs := placement.Needs(best.Task.Job)
		moved = moved.Plus(needs)
		h.planned = h.planned.With(best.To.Name, needs)
		moves = append(moves, best)
	}
	return moves
}

// overloaded reports whether there is a reason to migrate a task off the source.
func (h *sourcePlanner) overloaded(w *MigratableTask, moved placement.Resources) bool {
	l := h.source.Load
	r, tasks := l.TeamUsage(w.Team)
	above := tasks > 1 && DominantShare(r.Minus(moved), placement.Capacity(h.source.Spec)) > h.params.CeilingShare+shareEpsilon
	queued := !w.Running && l.Fetches.Backlog(h.params.Now, h.source.Spec.FetchGBPerSecond) > h.params.MaxFetchBacklog
	return above || queued || l.Speed.Slowdown() > slowSourceThreshold
}

// slowSourceThreshold is the slowdown above which a task is migrated off a machine for that reason
// alone.
const slowSourceThreshold = 1.3

// bestTarget returns the worthwhile migration of a task with the largest gain, if there is one.
func (h *sourcePlanner) bestTarget(w *MigratableTask, moved placement.Resources) (best Migration, found bool) {
	consider := func(o *LoadedMachine) {
		if o.Machine == h.source.Machine || o.Load == nil || o.Consolidating || !h.acceptsTasks(o.Machine) {
			return // a machine that accepts no tasks may have no Spec
		}
		if !w.ZoneAllowed(o.Zone) || !h.planned.fits(o.Machine, w.Job) {
			return
		}
		if m, pays := h.evaluate(w, o, moved); pays && (!found || m.Saving-m.Cost > best.Saving-best.Cost) {
			best, found = m, true
		}
	}
	for _, o := range h.targets {
		consider(o)
	}
	if h.holders == nil {
		h.indexImages()
	}
	holders := h.holders[cachedImage{w.Image, h.source.Zone}]
	for _, o := range holders[:min(len(holders), maxTargets)] {
		consider(o)
	}
	return best, found
}

// evaluate returns what the migration of a task to a machine would save and cost, and whether it is
// worthwhile.
func (h *sourcePlanner) evaluate(w *MigratableTask, o *LoadedMachine, moved placement.Resources) (Migration, bool) {
	t, src := &h.params, h.source
	move := Migration{Task: w, From: src.Machine, To: o.Machine}
	planned := h.planned.Allocated(o.Name)
	there, tasks := o.Load.TeamUsage(w.Team)
	needs := placement.Needs(w.Job)
	after := DominantShare(there.Plus(planned).Plus(needs), placement.Capacity(o.Spec))
	if (tasks > 0 || planned != (placement.Resources{})) && after > t.CeilingShare+shareEpsilon {
		return move, false // the team would exceed its ceiling there, too
	}
	here, _ := src.Load.TeamUsage(w.Team)
	loadReduction := max(0, DominantShare(here.Minus(moved), placement.Capacity(src.Spec))-after) / t.CeilingShare
	move.Saving = time.Duration(t.LoadPenalty.Seconds() * loadReduction * float64(time.Second))
	if slower := src.Load.Speed.Slowdown() / o.Load.Speed.Slowdown(); slower > 1 {
		move.Saving += time.Duration(float64(w.Remaining) * (1 - 1/slower))
	}
	if !w.Running {
		move.Saving += src.Load.Fetches.Backlog(t.Now, src.Spec.FetchGBPerSecond)
	}
	move.Cost = t.StopDuration + writesPerMigration*t.WriteDuration
	if o.ImageShare(w.Task) < 1 {
		move.Cost += o.Load.Fetches.Backlog(t.Now, o.Spec.FetchGBPerSecond)
		if o.Spec.FetchGBPerSecond > 0 {
			move.Cost += seconds(w.ImageGB / o.Spec.FetchGBPerSecond)
		}
	}
	return move, h.worthwhile(w, &move)
}

// worthwhile adds the work that is lost to the cost of a migration, and reports whether the
// migration saves enough. Tasks that are about to end aren't migrated.
func (h *sourcePlanner) worthwhile(w *MigratableTask, m *Migration) bool {
	margin := h.params.Margin
	if w.Running && w.Checkpoints {
		m.Cost += w.CheckpointDuration
	}
	if w.Running && !w.Checkpoints {
		m.Cost += w.RanFor
		margin *= noCheckpointMargin
		if w.RanFor > w.Remaining/noCheckpointDivisor {
			return false
		}
	}
	if w.Remaining <= m.Cost {
		return false
	}
	return m.Saving.Seconds() > margin*m.Cost.Seconds()
}
