package shard

import (
	"cmp"
	"slices"
	"time"
)

// Load is what an owner tells of its work.
type Load struct {
	Share    float64       `json:"share"`         // of its processor share in use
	Lag      time.Duration `json:"lag,omitempty"` // by which its timers fire late
	Reports  float64       `json:"reports"`       // answered a second
	Machines int           `json:"machines"`
}

// Controller is a member as the planner sees it.
type Controller struct {
	Member
	Zone     string
	Draining bool
	// Fit is whether it may be given more: it is heard, isn't late, and reaches most of
	// the workers that it has.
	Fit bool
	// Blind is whether it doesn't reach most of its workers.
	Blind bool
	// Silent is how long nothing was heard of it, its lease notwithstanding.
	Silent time.Duration
	// Vouched is whether the state service showed lately that it reaches its workers,
	// although the leader doesn't hear it.
	Vouched bool
	Load    Load
}

// Shard is a shard as the planner sees it.
type Shard struct {
	ID       ID
	Owner    Member
	Vacant   bool // its owner's lease has ended, or it never had one
	Moving   bool // it is to be released
	Machines int
	Zone     string // of most of its machines
}

// Reason tells why a shard is to move.
type Reason uint8

// Reasons of moves.
const (
	ReasonVacant Reason = iota + 1
	ReasonDrain
	ReasonBlind
	ReasonSilent
	ReasonZone
	ReasonBalance
)

func (r Reason) String() string {
	return [...]string{ReasonVacant: "nobody serves it", ReasonDrain: "its owner is drained", ReasonBlind: "its owner reaches too few workers",
		ReasonSilent: "its owner is not heard", ReasonZone: "its machines are in another zone", ReasonBalance: "balance"}[r]
}

// Decision gives a shard to a member.
type Decision struct {
	Assignment
	Why Reason
}

// Bounds of the planner. A move makes workers look for their owner, so there are few.
const (
	movesAtOnce  = 2                // of shards with machines
	movePause    = 20 * time.Second // between moves for balance
	restAfter    = 60 * time.Second // before a shard moves again for balance
	failedFor    = 60 * time.Second // a member that lost a zone's workers is given no other's there
	keptUnheard  = 30 * time.Second // by an owner that isn't heard and serves, of its last shard
	vouchedShare = 0.5              // of a processor, up to which shards of an unheard owner are taken
	settledFor   = 15 * time.Second // a reason must last that long to move a working shard
	silentFor    = 6 * time.Second  // an owner isn't heard for so long that its shards move
	shareGap     = 0.25             // between the busiest and the idlest, to move for balance
	gainOfGap    = 0.75             // a move must leave this part of the gap at the most
	machinesGap  = 2.0              // times as many machines, where no load is known
	leastToCount = 8                // machines, below which nothing moves for balance
)

// Planner decides which shards move. It remembers what it decided, and how long reasons
// have lasted.
type Planner struct {
	movedAt map[ID]time.Time
	balance time.Time        // of the last move for balance
	since   map[ID]lastingly // why a shard should move
	failed  failures
}

// lastingly is a reason and since when it holds.
type lastingly struct {
	why  Reason
	from time.Time
}

// NewPlanner is a planner that knows of no moves yet.
func NewPlanner() *Planner {
	return &Planner{movedAt: map[ID]time.Time{}, since: map[ID]lastingly{}, failed: failures{}}
}

// Plan decides what is to change now. The same arguments after the same calls give the same
// decisions.
func (p *Planner) Plan(now time.Time, controllers []Controller, shards []Shard) []Decision {
	v := newView(controllers, shards)
	p.noteBlind(now, v)
	decisions := p.fillVacant(now, v)
	decisions = append(decisions, p.leave(now, v)...)
	return append(decisions, p.level(now, v)...)
}

// view is what the planner works on: decisions change it as they are made.
type view struct {
	controllers []Controller
	shards      []Shard
	machines    map[Member]int
	moving      int // shards with machines
}

func newView(controllers []Controller, shards []Shard) *view {
	v := &view{controllers: slices.Clone(controllers), shards: slices.Clone(shards), machines: map[Member]int{}}
	slices.SortFunc(v.controllers, func(a, b Controller) int { return cmp.Compare(a.Node, b.Node) })
	slices.SortFunc(v.shards, func(a, b Shard) int { return cmp.Compare(a.ID, b.ID) })
	for i := range v.shards {
		s := &v.shards[i]
		if !s.Vacant {
			v.machines[s.Owner] += s.Machines
		}
		if s.Moving && s.Machines > 0 {
			v.moving++
		}
	}
	return v
}

func (v *view) controller(m Member) *Controller {
	for i := range v.controllers {
		if v.controllers[i].Member == m {
			return &v.controllers[i]
		}
	}
	return nil
}

// give notes a decision.
func (v *view) give(s *Shard, to Member, why Reason) Decision {
	if !s.Vacant {
		v.machines[s.Owner] -= s.Machines
		if s.Machines > 0 {
			v.moving++
		}
	}
	v.machines[to] += s.Machines
	s.Owner, s.Vacant, s.Moving = to, false, true
	return Decision{Assignment{s.ID, to}, why}
}

// best is the controller that a shard is best given to among those that will do, nil without
// any.
func (v *view) best(s *Shard, willDo func(c *Controller) bool) *Controller {
	var best *Controller
	for i := range v.controllers {
		c := &v.controllers[i]
		if !willDo(c) {
			continue
		}
		if best == nil || v.compare(s, c, best) < 0 {
			best = c
		}
	}
	return best
}

// compare tells which of two controllers is the better one for a shard.
func (v *view) compare(s *Shard, a, b *Controller) int {
	return cmp.Or(
		compareBool(a.Draining, b.Draining),
		compareBool(!a.Fit, !b.Fit),
		compareBool(s.Zone != "" && a.Zone != s.Zone, s.Zone != "" && b.Zone != s.Zone),
		cmp.Compare(v.machines[a.Member], v.machines[b.Member]),
		cmp.Compare(v.shardsOf(a.Member), v.shardsOf(b.Member)),
		cmp.Compare(a.Load.Share, b.Load.Share),
	)
}

func (v *view) shardsOf(m Member) int {
	count := 0
	for i := range v.shards {
		if !v.shards[i].Vacant && v.shards[i].Owner == m {
			count++
		}
	}
	return count
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// fillVacant gives shards that nobody serves to somebody, at once.
func (p *Planner) fillVacant(now time.Time, v *view) []Decision {
	var list []Decision
	for i := range v.shards {
		s := &v.shards[i]
		if !s.Vacant {
			continue
		}
		// One that is alive will do, fit or not: better than nobody.
		if c := v.best(s, func(*Controller) bool { return true }); c != nil {
			list = append(list, v.give(s, c.Member, ReasonVacant))
			p.movedAt[s.ID] = now
		}
	}
	return list
}

// leave moves shards away from owners that should not have them.
func (p *Planner) leave(now time.Time, v *view) []Decision {
	var list []Decision
	for i := range v.shards {
		s := &v.shards[i]
		why := v.whyLeave(s)
		to := v.best(s, func(c *Controller) bool { return p.mayTake(now, c, s, why) && v.carries(c, s, why) })
		if why == 0 || to == nil || to.Draining || why == ReasonZone && to.Zone != s.Zone || v.keepsUnheard(s, why) {
			delete(p.since, s.ID)
			continue
		}
		if !p.lasts(now, s, why) || s.Machines > 0 && v.moving >= movesAtOnce {
			continue
		}
		list = append(list, v.give(s, to.Member, why))
		p.movedAt[s.ID] = now
		delete(p.since, s.ID)
	}
	return list
}

// whyLeave is why a shard should have another owner, 0 without a reason.
func (v *view) whyLeave(s *Shard) Reason {
	c := v.controller(s.Owner)
	switch {
	case s.Vacant || s.Moving || c == nil:
		return 0
	case c.Draining:
		return ReasonDrain
	case c.Blind:
		return ReasonBlind
	case c.Silent > silentFor || c.Vouched: // who vouches says that it doesn't hear the leader either
		return ReasonSilent
	case s.Zone != "" && c.Zone != s.Zone:
		return ReasonZone
	}
	return 0
}

// lasts reports whether a reason has held for long enough.
func (p *Planner) lasts(now time.Time, s *Shard, why Reason) bool {
	l, ok := p.since[s.ID]
	if !ok || l.why != why {
		l = lastingly{why, now}
		p.since[s.ID] = l
	}
	if why == ReasonDrain || why == ReasonSilent || why == ReasonBlind || s.Machines == 0 {
		return true
	}
	return now.Sub(l.from) >= settledFor
}

// level moves one shard from the busiest controller to the idlest, if they stay far apart
// and the move brings them closer.
func (p *Planner) level(now time.Time, v *view) []Decision {
	busiest, idlest := v.extremes()
	if busiest == nil || v.moving > 0 {
		p.since[0] = lastingly{0, now}
		return nil
	}
	s := p.toLevel(now, v, busiest, idlest)
	if s == nil {
		p.since[0] = lastingly{0, now}
		return nil
	}
	gap, lasting := p.since[0]
	if !lasting {
		// A new leader knows of the gap since now: loads right after a change of leaders
		// say little.
		gap = lastingly{0, now}
		p.since[0] = gap
	}
	if now.Sub(gap.from) < settledFor || now.Sub(p.balance) < movePause {
		return nil
	}
	p.balance, p.movedAt[s.ID] = now, now
	p.since[0] = lastingly{0, now}
	return []Decision{v.give(s, idlest.Member, ReasonBalance)}
}

// extremes are the controllers with most and least work among those that are fit.
func (v *view) extremes() (busiest, idlest *Controller) {
	for i := range v.controllers {
		c := &v.controllers[i]
		if c.Draining || c.Silent > silentFor {
			continue
		}
		if busiest == nil || v.work(c) > v.work(busiest) {
			busiest = c
		}
		if c.Fit && (idlest == nil || v.work(c) < v.work(idlest)) {
			idlest = c
		}
	}
	if idlest == nil || busiest == idlest {
		return nil, nil
	}
	return busiest, idlest
}

// work is what a controller has to do: its share of processor in use, or where that isn't
// known, its machines.
func (v *view) work(c *Controller) float64 {
	if v.loadsKnown() {
		return c.Load.Share
	}
	return float64(v.machines[c.Member])
}

func (v *view) loadsKnown() bool {
	return !slices.ContainsFunc(v.controllers, func(c Controller) bool { return c.Load.Share == 0 })
}

// toLevel is the shard whose move brings two controllers closest, nil where none is worth
// its move.
func (p *Planner) toLevel(now time.Time, v *view, busiest, idlest *Controller) *Shard {
	has := float64(v.machines[busiest.Member])
	if has < leastToCount {
		return nil
	}
	gap := v.work(busiest) - v.work(idlest)
	perMachine := 1.0
	if v.loadsKnown() {
		if gap < shareGap {
			return nil
		}
		perMachine = busiest.Load.Share / has
	} else if has < machinesGap*max(1, float64(v.machines[idlest.Member])) {
		return nil
	}
	var best *Shard
	bestGap := gap * gainOfGap
	for i := range v.shards {
		s := &v.shards[i]
		if s.Owner != busiest.Member || s.Moving || s.Vacant || s.Machines == 0 || now.Sub(p.movedAt[s.ID]) < restAfter ||
			p.failed.lately(now, idlest.Member, s.Zone) ||
			s.Zone != "" && s.Zone != idlest.Zone && s.Zone == busiest.Zone {
			continue
		}
		left := gap - 2*perMachine*float64(s.Machines)
		if left < 0 {
			left = -left
		}
		if left <= bestGap {
			best, bestGap = s, left
		}
	}
	return best
}

// Forget drops what is remembered of shards that are gone.
func (p *Planner) Forget(id ID) {
	delete(p.movedAt, id)
	delete(p.since, id)
}
