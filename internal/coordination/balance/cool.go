package balance

import (
	"cmp"
	"slices"
	"time"

	"brasskeel/internal/coordination/placement"
)

// Work is a task of a surging team that runs, or waits for its image, and may be moved once in
// the surge.
type Work struct {
	placement.Task
	Team      Team
	Running   bool          // it has its image
	Ran       time.Duration // since then
	Remaining time.Duration // that it is likely to run on here
	Saves     bool          // what it has done is kept when it is stopped
	// MayUse reports whether the rules about its job's zones allow one.
	MayUse func(zone string) bool
	// Of is whose work it is, for the caller.
	Of any
}

// Source is a machine with work that may move.
type Source struct {
	Site
	Work []Work
}

// Move is one task's move, with what it is likely to save and to cost, in time of work.
type Move struct {
	Work         *Work
	From, To     *placement.Machine
	Saving, Cost time.Duration
}

// Terms are those on which moves are made.
type Terms struct {
	Settings
	Now    time.Time
	Gone   time.Duration // until a stopped attempt is proven gone and another is on record
	Change time.Duration // what a change in the state service costs
	Margin float64       // times its cost that a move has to save
	Most   int           // moves
}

// Bounds of a plan: what it looks at doesn't grow with the fleet's square.
const (
	sourcesAtOnce = 16 // hottest machines that are looked at
	targetsAtOnce = 48 // coolest machines, and machines that hold an image, for one task
	movesChanges  = 2  // in the state service, for a move: the mark, and the new start
	// Work that loses what it has done is moved only for several times the margin, and early.
	unsavedMargin = 2
	unsavedPart   = 4 // of what is left, that it may have run, as a divisor
)

// Cool plans moves off machines that are hot for the work on them: those whose team has more
// than its ceiling there, whose fetches queue for too long, or that run it slower than others.
// A machine's moves are tried as a whole and kept if any pays.
func (p *Planner) Cool(t Terms, sources []Source) []Move {
	hot := slices.Clone(sources)
	slices.SortStableFunc(hot, func(a, b Source) int {
		return cmp.Or(cmp.Compare(t.heat(&b), t.heat(&a)), cmp.Compare(a.Name, b.Name))
	})
	var moves []Move
	cool := p.coolest(t)
	for i := range hot[:min(len(hot), sourcesAtOnce)] {
		if len(moves) >= t.Most {
			break
		}
		c := &cooling{Planner: p, terms: t, source: &hot[i], cool: cool, snapshot: p.snapshot}
		planned := c.plan(t.Most - len(moves))
		if len(planned) > 0 {
			p.snapshot = c.snapshot
			moves = append(moves, planned...)
		}
	}
	return moves
}

// heat is how hot a source is for the hottest of its teams, as a part of the ceiling.
func (t *Terms) heat(s *Source) float64 {
	most := 0.0
	for i := range s.Work {
		r, _ := s.Load.Reserved(s.Work[i].Team)
		most = max(most, Share(r, placement.Capacity(s.Spec))/t.CeilingShare+s.Load.Speed.Slowness()-1)
	}
	return most
}

// coolest are the open machines with most room, a bounded number of them.
func (p *Planner) coolest(t Terms) []*Site {
	var list []*Site
	for i := range p.sites {
		if s := &p.sites[i]; s.Load != nil && !s.Emptying && p.open(s.Machine) {
			list = append(list, s)
		}
	}
	p.Looked += len(list)
	free := func(s *Site) float64 { return Share(s.Taken, placement.Capacity(s.Spec)) + s.Load.Speed.Slowness() - 1 }
	slices.SortStableFunc(list, func(a, b *Site) int { return cmp.Or(cmp.Compare(free(a), free(b)), cmp.Compare(a.Name, b.Name)) })
	return list[:min(len(list), targetsAtOnce)]
}

// cooling is a try to cool one machine.
type cooling struct {
	*Planner
	terms    Terms
	source   *Source
	cool     []*Site
	snapshot Snapshot
}

// plan finds the moves off the source that pay, the one that gains most first.
func (c *cooling) plan(most int) []Move {
	work := make([]*Work, 0, len(c.source.Work))
	for i := range c.source.Work {
		work = append(work, &c.source.Work[i])
	}
	var moves []Move
	left := placement.Resources{} // of the source, by the moves so far
	for len(moves) < most {
		best, at := Move{}, -1
		for i, w := range work {
			if w == nil || !isTask(w.Job) || !c.hot(w, left) {
				continue
			}
			if m, ok := c.target(w, left); ok && (at < 0 || m.Saving-m.Cost > best.Saving-best.Cost) {
				best, at = m, i
			}
		}
		if at < 0 {
			break
		}
		work[at] = nil
		needs := placement.Needs(best.Work.Job)
		left = left.Plus(needs)
		c.snapshot = c.snapshot.With(best.To.Name, needs)
		moves = append(moves, best)
	}
	return moves
}

// hot reports whether there is a reason to move work off the source.
func (c *cooling) hot(w *Work, left placement.Resources) bool {
	l := c.source.Load
	r, tasks := l.Reserved(w.Team)
	above := tasks > 1 && Share(r.Minus(left), placement.Capacity(c.source.Spec)) > c.terms.CeilingShare+shareEpsilon
	queued := !w.Running && l.Fetches.Queued(c.terms.Now, c.source.Spec.FetchRate) > c.terms.FetchQueue
	return above || queued || l.Speed.Slowness() > slowSource
}

// slowSource is how slow a machine must be to be left for that alone.
const slowSource = 1.3

// target finds where a move pays most.
func (c *cooling) target(w *Work, left placement.Resources) (best Move, found bool) {
	try := func(o *Site) {
		if o.Machine == c.source.Machine || o.Load == nil || o.Emptying || !c.open(o.Machine) {
			return // one that isn't open may be of an unknown type
		}
		if !w.MayUse(o.Zone) || !c.snapshot.fits(o.Machine, w.Job) {
			return
		}
		if m, pays := c.weigh(w, o, left); pays && (!found || m.Saving-m.Cost > best.Saving-best.Cost) {
			best, found = m, true
		}
	}
	for _, o := range c.cool {
		try(o)
	}
	if c.holders == nil {
		c.index()
	}
	holders := c.holders[holding{w.Image, c.source.Zone}]
	for _, o := range holders[:min(len(holders), targetsAtOnce)] {
		try(o)
	}
	return best, found
}

// weigh says what a move would save and cost, and whether it pays.
func (c *cooling) weigh(w *Work, o *Site, left placement.Resources) (Move, bool) {
	t, src := &c.terms, c.source
	move := Move{Work: w, From: src.Machine, To: o.Machine}
	planned := c.snapshot.Taken(o.Name)
	there, tasks := o.Load.Reserved(w.Team)
	needs := placement.Needs(w.Job)
	after := Share(there.Plus(planned).Plus(needs), placement.Capacity(o.Spec))
	if (tasks > 0 || planned != (placement.Resources{})) && after > t.CeilingShare+shareEpsilon {
		return move, false // it would be as hot there
	}
	here, _ := src.Load.Reserved(w.Team)
	heat := max(0, Share(here.Minus(left), placement.Capacity(src.Spec))-after) / t.CeilingShare
	move.Saving = time.Duration(t.Trade.Seconds() * heat * float64(time.Second))
	if slower := src.Load.Speed.Slowness() / o.Load.Speed.Slowness(); slower > 1 {
		move.Saving += time.Duration(float64(w.Remaining) * (1 - 1/slower))
	}
	if !w.Running {
		move.Saving += src.Load.Fetches.Queued(t.Now, src.Spec.FetchRate)
	}
	move.Cost = t.Gone + movesChanges*t.Change
	if o.ImageShare(w.Task) < 1 {
		move.Cost += o.Load.Fetches.Queued(t.Now, o.Spec.FetchRate)
		if o.Spec.FetchRate > 0 {
			move.Cost += seconds(w.ImageGB / o.Spec.FetchRate)
		}
	}
	return move, c.pays(w, &move)
}

// pays adds what is lost of the work, and judges the move. Work about to end stays.
func (c *cooling) pays(w *Work, m *Move) bool {
	margin := c.terms.Margin
	if w.Running && w.Saves {
		m.Cost += w.Save
	}
	if w.Running && !w.Saves {
		m.Cost += w.Ran
		margin *= unsavedMargin
		if w.Ran > w.Remaining/unsavedPart {
			return false
		}
	}
	if w.Remaining <= m.Cost {
		return false
	}
	return m.Saving.Seconds() > margin*m.Cost.Seconds()
}
