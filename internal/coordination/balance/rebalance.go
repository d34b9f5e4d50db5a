package balance

import (
	"cmp"
	"slices"
	"time"

	"brasskeel/internal/coordination/placement"
)

// MigratableTask is a task of a surging team that runs, or waits for its image, and may migrate once in
// the surge.
type MigratableTask struct {
	placement.Task
	Team        Team
	Running     bool          // it has its image
	RanFor      time.Duration // since then
	Remaining   time.Duration // that it is likely to run on here
	Checkpoints bool          // what it has done is kept when it is stopped
	// ZoneAllowed reports whether the rules about its job's zones allow one.
	ZoneAllowed func(zone string) bool
	// Of is whose work it is, for the caller.
	Owner any
}

// Source is a machine with work that may migrate.
type Source struct {
	LoadedMachine
	Tasks []MigratableTask
}

// Migration is one task's planned move, with what it is likely to save and to cost, in time of
// work.
type Migration struct {
	Task         *MigratableTask
	From, To     *placement.Machine
	Saving, Cost time.Duration
}

// MigrationParams are the terms on which migrations are planned.
type MigrationParams struct {
	Settings
	Now           time.Time
	StopDuration  time.Duration // until a stopped attempt is proven gone and another is on record
	WriteDuration time.Duration // what a change in the state service costs
	Margin        float64       // times its cost that a move has to save
	MaxMigrations int           // moves
}

// Bounds of a plan: what it looks at doesn't grow with the fleet's square.
const (
	maxSources         = 16 // most loaded machines that are looked at
	maxTargets         = 48 // least loaded machines, and machines that hold an image, for one task
	writesPerMigration = 2  // in the state service, for a move: the mark, and the new start
	// Work that loses what it has done is moved only for several times the margin, and early.
	noCheckpointMargin  = 2
	noCheckpointDivisor = 4 // of what is left, that it may have run, as a divisor
)

// Rebalance plans migrations off machines that are overloaded for the work on them: those whose team has more
// than its ceiling there, whose fetches queue for too long, or that run it slower than others.
// A machine's moves are tried as a whole and kept if any pays.
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
		spot := &sourcePlanner{Planner: p, params: t, source: &mostLoaded[i], targets: leastLoaded, planned: p.planned}
		planned := spot.plan(t.MaxMigrations - len(moves))
		if len(planned) > 0 {
			p.planned = spot.planned
			moves = append(moves, planned...)
		}
	}
	return moves
}

// overload is the load of a source by the team that loads it most, as a part of the ceiling, and
// how much slower than usual it is.
func (t *MigrationParams) overload(s *Source) float64 {
	most := 0.0
	for i := range s.Tasks {
		r, _ := s.Load.TeamUsage(s.Tasks[i].Team)
		most = max(most, DominantShare(r, placement.Capacity(s.Spec))/t.CeilingShare+s.Load.Speed.Slowdown()-1)
	}
	return most
}

// leastLoaded are the open machines with most room, a bounded number of them.
func (p *Planner) leastLoaded() []*LoadedMachine {
	var list []*LoadedMachine
	for i := range p.machines {
		if s := &p.machines[i]; s.Load != nil && !s.Consolidating && p.acceptsTasks(s.Machine) {
			list = append(list, s)
		}
	}
	p.Examined += len(list)
	free := func(s *LoadedMachine) float64 {
		return DominantShare(s.Allocated, placement.Capacity(s.Spec)) + s.Load.Speed.Slowdown() - 1
	}
	slices.SortStableFunc(list, func(a, b *LoadedMachine) int {
		return cmp.Or(cmp.Compare(free(a), free(b)), cmp.Compare(a.Name, b.Name))
	})
	return list[:min(len(list), maxTargets)]
}

// sourcePlanner is an overloaded machine for which migrations are planned.
type sourcePlanner struct {
	*Planner
	params  MigrationParams
	source  *Source
	targets []*LoadedMachine
	planned PlannedUsage
}

// plan finds the moves off the source that pay, the one that gains most first.
func (h *sourcePlanner) plan(most int) []Migration {
	work := make([]*MigratableTask, 0, len(h.source.Tasks))
	for i := range h.source.Tasks {
		work = append(work, &h.source.Tasks[i])
	}
	var moves []Migration
	left := placement.Resources{} // of the source, by the moves so far
	for len(moves) < most {
		best, at := Migration{}, -1
		for i, w := range work {
			if w == nil || !isBatch(w.Job) || !h.overloaded(w, left) {
				continue
			}
			if m, ok := h.bestTarget(w, left); ok && (at < 0 || m.Saving-m.Cost > best.Saving-best.Cost) {
				best, at = m, i
			}
		}
		if at < 0 {
			break
		}
		work[at] = nil
		needs := placement.Needs(best.Task.Job)
		left = left.Plus(needs)
		h.planned = h.planned.With(best.To.Name, needs)
		moves = append(moves, best)
	}
	return moves
}

// overloaded reports whether there is a reason to move work off the source.
func (h *sourcePlanner) overloaded(w *MigratableTask, left placement.Resources) bool {
	l := h.source.Load
	r, tasks := l.TeamUsage(w.Team)
	above := tasks > 1 && DominantShare(r.Minus(left), placement.Capacity(h.source.Spec)) > h.params.CeilingShare+shareEpsilon
	queued := !w.Running && l.Fetches.Backlog(h.params.Now, h.source.Spec.FetchGBPerSecond) > h.params.MaxFetchBacklog
	return above || queued || l.Speed.Slowdown() > slowSourceThreshold
}

// slowSourceThreshold is how slow a machine must be to be left for that alone.
const slowSourceThreshold = 1.3

// bestTarget finds where a move pays most.
func (h *sourcePlanner) bestTarget(w *MigratableTask, left placement.Resources) (best Migration, found bool) {
	try := func(o *LoadedMachine) {
		if o.Machine == h.source.Machine || o.Load == nil || o.Consolidating || !h.acceptsTasks(o.Machine) {
			return // one that isn't open may be of an unknown type
		}
		if !w.ZoneAllowed(o.Zone) || !h.planned.fits(o.Machine, w.Job) {
			return
		}
		if m, pays := h.evaluate(w, o, left); pays && (!found || m.Saving-m.Cost > best.Saving-best.Cost) {
			best, found = m, true
		}
	}
	for _, o := range h.targets {
		try(o)
	}
	if h.holders == nil {
		h.indexImages()
	}
	holders := h.holders[cachedImage{w.Image, h.source.Zone}]
	for _, o := range holders[:min(len(holders), maxTargets)] {
		try(o)
	}
	return best, found
}

// evaluate says what a migration would save and cost, and whether it is worthwhile.
func (h *sourcePlanner) evaluate(w *MigratableTask, o *LoadedMachine, left placement.Resources) (Migration, bool) {
	t, src := &h.params, h.source
	move := Migration{Task: w, From: src.Machine, To: o.Machine}
	planned := h.planned.Allocated(o.Name)
	there, tasks := o.Load.TeamUsage(w.Team)
	needs := placement.Needs(w.Job)
	after := DominantShare(there.Plus(planned).Plus(needs), placement.Capacity(o.Spec))
	if (tasks > 0 || planned != (placement.Resources{})) && after > t.CeilingShare+shareEpsilon {
		return move, false // it would be as loaded there
	}
	here, _ := src.Load.TeamUsage(w.Team)
	heat := max(0, DominantShare(here.Minus(left), placement.Capacity(src.Spec))-after) / t.CeilingShare
	move.Saving = time.Duration(t.LoadPenalty.Seconds() * heat * float64(time.Second))
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

// worthwhile adds what is lost of the work to the cost, and judges the migration. Work about to
// end stays.
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
