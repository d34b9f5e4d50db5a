package shard

import (
	"cmp"
	"slices"
	"time"
)

// Load is what an owner tells of its work.
type Load struct {
	CPUShare      float64       `json:"share"`         // of its processor share in use
	Lag           time.Duration `json:"lag,omitempty"` // by which its timers fire late
	HeartbeatRate float64       `json:"reports"`       // answered a second
	Machines      int           `json:"machines"`
}

// Controller is a member as the planner sees it.
type Controller struct {
	Member
	Zone     string
	Draining bool
	// Healthy is whether it may be given more: it is heard, isn't late, and reaches most of
	// the workers that it has.
	Healthy bool
	// Reachability is what is known of whether it reaches its workers.
	Reachability Reachability
	// SinceLastMessage is how long nothing was heard of it, its lease notwithstanding.
	SinceLastMessage time.Duration
	Load             Load
}

// Shard is a shard as the planner sees it.
type Shard struct {
	ID       ID
	Owner    Member
	Unowned  bool // its owner's lease has ended, or it never had one
	Moving   bool // it is to be released
	Machines int
	Zone     string // of most of its machines
}

// Reason tells why a shard is to move.
type Reason uint8

// Reasons of moves.
const (
	ReasonUnowned Reason = iota + 1
	ReasonDraining
	ReasonPartitioned
	ReasonUnresponsive
	ReasonZone
	ReasonBalance
)

func (r Reason) String() string {
	return [...]string{ReasonUnowned: "nobody serves it", ReasonDraining: "its owner is drained", ReasonPartitioned: "its owner reaches too few workers",
		ReasonUnresponsive: "its owner is not heard", ReasonZone: "its machines are in another zone", ReasonBalance: "balance"}[r]
}

// Decision gives a shard to a member.
type Decision struct {
	Assignment
	Reason Reason
}

// Bounds of the planner. A move makes workers look for their owner, so there are few.
const (
	maxConcurrentMoves     = 2                // of shards with machines
	rebalanceInterval      = 20 * time.Second // between moves for balance
	moveCooldown           = 60 * time.Second // before a shard moves again for balance
	reachFailureTTL        = 60 * time.Second // a member that lost a zone's workers is given no other's there
	lastShardKeepTime      = 30 * time.Second // by an owner that isn't heard and serves, of its last shard
	maxTakeoverCPUShare    = 0.5              // of a processor, up to which shards of an unheard owner are taken
	reasonHoldTime         = 15 * time.Second // a reason must last that long to move a working shard
	unresponsiveAfter      = 6 * time.Second  // an owner isn't heard for so long that its shards move
	minCPUShareGap         = 0.25             // between the busiest and the idlest, to move for balance
	maxRemainingGap        = 0.75             // a move must leave this part of the gap at the most
	minMachineRatio        = 2.0              // times as many machines, where no load is known
	minMachinesToRebalance = 8                // machines, below which nothing moves for balance
)

// Planner decides which shards move. It remembers what it decided, and how long reasons
// have lasted.
type Planner struct {
	movedAt        map[ID]time.Time
	rebalancedAt   time.Time            // of the last move for balance
	pendingReasons map[ID]pendingReason // why a shard should move
	reachFailures  reachFailures
}

// pendingReason is a reason and since when it holds.
type pendingReason struct {
	reason Reason
	since  time.Time
}

// NewPlanner is a planner that knows of no moves yet.
func NewPlanner() *Planner {
	return &Planner{movedAt: map[ID]time.Time{}, pendingReasons: map[ID]pendingReason{}, reachFailures: reachFailures{}}
}

// Plan decides what is to change now. The same arguments after the same calls give the same
// decisions.
func (p *Planner) Plan(now time.Time, controllers []Controller, shards []Shard) []Decision {
	v := newView(controllers, shards)
	p.recordPartitioned(now, v)
	decisions := p.assignUnowned(now, v)
	decisions = append(decisions, p.evacuate(now, v)...)
	return append(decisions, p.rebalance(now, v)...)
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
	slices.SortFunc(v.controllers, func(a, b Controller) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(v.shards, func(a, b Shard) int { return cmp.Compare(a.ID, b.ID) })
	for i := range v.shards {
		s := &v.shards[i]
		if !s.Unowned {
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

// assign notes a decision.
func (v *view) assign(s *Shard, to Member, why Reason) Decision {
	if !s.Unowned {
		v.machines[s.Owner] -= s.Machines
		if s.Machines > 0 {
			v.moving++
		}
	}
	v.machines[to] += s.Machines
	s.Owner, s.Unowned, s.Moving = to, false, true
	return Decision{Assignment{s.ID, to}, why}
}

// bestController is the controller that a shard is best given to among those that will do, nil without
// any.
func (v *view) bestController(s *Shard, eligible func(c *Controller) bool) *Controller {
	var best *Controller
	for i := range v.controllers {
		c := &v.controllers[i]
		if !eligible(c) {
			continue
		}
		if best == nil || v.compareControllers(s, c, best) < 0 {
			best = c
		}
	}
	return best
}

// compareControllers tells which of two controllers is the better one for a shard.
func (v *view) compareControllers(s *Shard, a, b *Controller) int {
	return cmp.Or(
		compareBool(a.Draining, b.Draining),
		compareBool(!a.Healthy, !b.Healthy),
		compareBool(s.Zone != "" && a.Zone != s.Zone, s.Zone != "" && b.Zone != s.Zone),
		cmp.Compare(v.machines[a.Member], v.machines[b.Member]),
		cmp.Compare(v.shardCount(a.Member), v.shardCount(b.Member)),
		cmp.Compare(a.Load.CPUShare, b.Load.CPUShare),
	)
}

func (v *view) shardCount(m Member) int {
	count := 0
	for i := range v.shards {
		if !v.shards[i].Unowned && v.shards[i].Owner == m {
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

// assignUnowned gives shards that nobody serves to somebody, at once.
func (p *Planner) assignUnowned(now time.Time, v *view) []Decision {
	var list []Decision
	for i := range v.shards {
		s := &v.shards[i]
		if !s.Unowned {
			continue
		}
		// One that is alive will do, fit or not: better than nobody.
		if c := v.bestController(s, func(*Controller) bool { return true }); c != nil {
			list = append(list, v.assign(s, c.Member, ReasonUnowned))
			p.movedAt[s.ID] = now
		}
	}
	return list
}

// evacuate moves shards away from owners that should not have them.
func (p *Planner) evacuate(now time.Time, v *view) []Decision {
	var list []Decision
	for i := range v.shards {
		s := &v.shards[i]
		why := v.moveReason(s)
		to := v.bestController(s, func(c *Controller) bool { return p.canTake(now, c, s, why) && v.hasCapacity(c, s, why) })
		if why == 0 || to == nil || to.Draining || why == ReasonZone && to.Zone != s.Zone || v.keepsShard(s, why) {
			delete(p.pendingReasons, s.ID)
			continue
		}
		if !p.heldLongEnough(now, s, why) || s.Machines > 0 && v.moving >= maxConcurrentMoves {
			continue
		}
		list = append(list, v.assign(s, to.Member, why))
		p.movedAt[s.ID] = now
		delete(p.pendingReasons, s.ID)
	}
	return list
}

// moveReason is why a shard should have another owner, 0 without a reason.
func (v *view) moveReason(s *Shard) Reason {
	c := v.controller(s.Owner)
	switch {
	case s.Unowned || s.Moving || c == nil:
		return 0
	case c.Draining:
		return ReasonDraining
	case c.Reachability == WorkersUnreachable:
		return ReasonPartitioned
	case c.SinceLastMessage > unresponsiveAfter || c.Reachability == WorkersReachable: // who shows so says that it doesn't hear the leader either
		return ReasonUnresponsive
	case s.Zone != "" && c.Zone != s.Zone:
		return ReasonZone
	}
	return 0
}

// heldLongEnough reports whether a reason has held for long enough.
func (p *Planner) heldLongEnough(now time.Time, s *Shard, why Reason) bool {
	l, ok := p.pendingReasons[s.ID]
	if !ok || l.reason != why {
		l = pendingReason{why, now}
		p.pendingReasons[s.ID] = l
	}
	if why == ReasonDraining || why == ReasonUnresponsive || why == ReasonPartitioned || s.Machines == 0 {
		return true
	}
	return now.Sub(l.since) >= reasonHoldTime
}

// rebalance moves one shard from the busiest controller to the idlest, if they stay far apart
// and the move brings them closer.
func (p *Planner) rebalance(now time.Time, v *view) []Decision {
	busiest, idlest := v.busiestAndIdlest()
	if busiest == nil || v.moving > 0 {
		p.pendingReasons[0] = pendingReason{0, now}
		return nil
	}
	s := p.rebalanceCandidate(now, v, busiest, idlest)
	if s == nil {
		p.pendingReasons[0] = pendingReason{0, now}
		return nil
	}
	gap, lasting := p.pendingReasons[0]
	if !lasting {
		// A new leader knows of the gap since now: loads right after a change of leaders
		// say little.
		gap = pendingReason{0, now}
		p.pendingReasons[0] = gap
	}
	if now.Sub(gap.since) < reasonHoldTime || now.Sub(p.rebalancedAt) < rebalanceInterval {
		return nil
	}
	p.rebalancedAt, p.movedAt[s.ID] = now, now
	p.pendingReasons[0] = pendingReason{0, now}
	return []Decision{v.assign(s, idlest.Member, ReasonBalance)}
}

// busiestAndIdlest are the controllers with most and least work among those that are fit.
func (v *view) busiestAndIdlest() (busiest, idlest *Controller) {
	for i := range v.controllers {
		c := &v.controllers[i]
		if c.Draining || c.SinceLastMessage > unresponsiveAfter {
			continue
		}
		if busiest == nil || v.load(c) > v.load(busiest) {
			busiest = c
		}
		if c.Healthy && (idlest == nil || v.load(c) < v.load(idlest)) {
			idlest = c
		}
	}
	if idlest == nil || busiest == idlest {
		return nil, nil
	}
	return busiest, idlest
}

// load is what a controller has to do: its share of processor in use, or where that isn't
// known, its machines.
func (v *view) load(c *Controller) float64 {
	if v.loadsKnown() {
		return c.Load.CPUShare
	}
	return float64(v.machines[c.Member])
}

func (v *view) loadsKnown() bool {
	return !slices.ContainsFunc(v.controllers, func(c Controller) bool { return c.Load.CPUShare == 0 })
}

// rebalanceCandidate is the shard whose move brings two controllers closest, nil where none is worth
// its move.
func (p *Planner) rebalanceCandidate(now time.Time, v *view, busiest, idlest *Controller) *Shard {
	has := float64(v.machines[busiest.Member])
	if has < minMachinesToRebalance {
		return nil
	}
	gap := v.load(busiest) - v.load(idlest)
	perMachine := 1.0
	if v.loadsKnown() {
		if gap < minCPUShareGap {
			return nil
		}
		perMachine = busiest.Load.CPUShare / has
	} else if has < minMachineRatio*max(1, float64(v.machines[idlest.Member])) {
		return nil
	}
	var best *Shard
	bestGap := gap * maxRemainingGap
	for i := range v.shards {
		s := &v.shards[i]
		if s.Owner != busiest.Member || !p.canRebalance(now, s, busiest, idlest) {
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

// canRebalance reports whether a shard of the busiest controller may move to the idlest now.
func (p *Planner) canRebalance(now time.Time, s *Shard, busiest, idlest *Controller) bool {
	if s.Moving || s.Unowned || s.Machines == 0 || now.Sub(p.movedAt[s.ID]) < moveCooldown {
		return false
	}
	if p.reachFailures.recent(now, idlest.Member, s.Zone) {
		return false
	}
	return s.Zone == "" || s.Zone == idlest.Zone || s.Zone != busiest.Zone
}
