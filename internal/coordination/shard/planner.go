package shard

import (
	"cmp"
	"slices"
	"time"
)

// Load is the load that an owner reports of itself.
type Load struct {
	CPUShare      float64       `json:"share"`         // used part of its configured processor share; 0 while unknown
	Lag           time.Duration `json:"lag,omitempty"` // how late its timers fire
	HeartbeatRate float64       `json:"reports"`       // heartbeats answered per second
	Machines      int           `json:"machines"`
}

// Controller is a member as input of the planner.
type Controller struct {
	Member
	Zone     string
	Draining bool
	// Healthy reports whether it may get more shards: its messages arrive, its timers run on
	// time, and it isn't known to have lost contact with most of its workers.
	Healthy bool
	// Reachability is whether it reaches its workers, as far as known.
	Reachability Reachability
	// SinceLastMessage is how long ago the leader received its last message. Its lease may
	// still be valid even if that is long ago.
	SinceLastMessage time.Duration
	Load             Load
}

// Shard is a shard as input of the planner.
type Shard struct {
	ID       ID
	Owner    Member
	Unowned  bool // its owner's lease has ended, or it never had one
	Moving   bool // a move of it is recorded or decided
	Machines int
	Zone     string // of most of its machines
}

// Reason is why a shard is to move.
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

// Decision is an assignment of a shard to a member and the reason for it.
type Decision struct {
	Assignment
	Reason Reason
}

// Limits of the planner. They keep moves rare, since after a move workers must find their new owner.
const (
	maxConcurrentMoves     = 2                // of shards with machines
	rebalanceInterval      = 20 * time.Second // between moves for balance
	moveCooldown           = 60 * time.Second // after any move or assignment of a shard, before it moves for balance
	reachFailureTTL        = 60 * time.Second // after a member lost contact with its workers, before it gets another shard of their zone
	lastShardKeepTime      = 30 * time.Second // how long an unresponsive owner that reaches its workers keeps its last shard
	maxTakeoverCPUShare    = 0.5              // processor share up to which a controller gets shards of an unresponsive owner that reaches its workers
	reasonHoldTime         = 15 * time.Second // how long a difference of loads, or for a shard with machines a wrong zone, must persist before a move
	unresponsiveAfter      = 6 * time.Second  // after how long without a message an owner's shards move
	minCPUShareGap         = 0.25             // minimum difference of CPUShare between the busiest and the idlest controller, to move for balance
	maxRemainingGap        = 0.75             // maximum part of the difference of loads that may remain after a move for balance
	minMachineRatio        = 2.0              // minimum ratio of machine counts, to move for balance while a CPUShare is unknown
	minMachinesToRebalance = 8                // minimum number of machines of the busiest controller, to move for balance
)

// Planner decides which shards move. It keeps the times of its decisions, and since when there has
// been a reason for each move.
type Planner struct {
	movedAt        map[ID]time.Time
	rebalancedAt   time.Time            // latest move for balance
	pendingReasons map[ID]pendingReason // why a shard should move; key 0: since when loads have differed
	reachFailures  reachFailures
}

// pendingReason is a reason for a move, and since when there has been this reason.
type pendingReason struct {
	reason Reason
	since  time.Time
}

// NewPlanner returns a planner without any decisions.
func NewPlanner() *Planner {
	return &Planner{movedAt: map[ID]time.Time{}, pendingReasons: map[ID]pendingReason{}, reachFailures: reachFailures{}}
}

// Plan decides which shards get another owner now. It is deterministic: the same sequence of calls
// with the same arguments gives the same decisions.
func (p *Planner) Plan(now time.Time, controllers []Controller, shards []Shard) []Decision {
	v := newView(controllers, shards)
	p.recordPartitioned(now, v)
	decisions := p.assignUnowned(now, v)
	decisions = append(decisions, p.evacuate(now, v)...)
	return append(decisions, p.rebalance(now, v)...)
}

// view is the planner's copy of its input, which each decision updates.
type view struct {
	controllers []Controller
	shards      []Shard
	machines    map[Member]int
	moving      int // number of shards with machines that are moving
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

// assign makes a decision and updates the view.
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

// bestController returns the best of the eligible controllers for a shard, as compareControllers
// orders them, or nil if there is none.
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

// compareControllers compares two controllers as owners of a shard. The result is negative if a is
// the better one: one that isn't draining, is healthy, is in the shard's zone, or has fewer machines,
// fewer shards or a lower processor share. Each of these decides only if the ones before are equal.
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

// assignUnowned assigns shards that have no owner or whose owner's lease has ended, without delay.
func (p *Planner) assignUnowned(now time.Time, v *view) []Decision {
	var list []Decision
	for i := range v.shards {
		s := &v.shards[i]
		if !s.Unowned {
			continue
		}
		// All members are eligible, healthy or not: a shard must not stay unowned.
		if c := v.bestController(s, func(*Controller) bool { return true }); c != nil {
			list = append(list, v.assign(s, c.Member, ReasonUnowned))
			p.movedAt[s.ID] = now
		}
	}
	return list
}

// evacuate moves shards away from owners that are draining, partitioned, unresponsive, or in another
// zone than most of the shard's machines. A shard for which there is no suitable other controller
// stays, and so does one that keepsShard leaves to its owner. At most maxConcurrentMoves shards with
// machines move at a time; shards without machines aren't limited.
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

// moveReason returns why a shard should have another owner, or 0 if there is no reason.
func (v *view) moveReason(s *Shard) Reason {
	c := v.controller(s.Owner)
	switch {
	case s.Unowned || s.Moving || c == nil:
		return 0
	case c.Draining:
		return ReasonDraining
	case c.Reachability == WorkersUnreachable:
		return ReasonPartitioned
	// An owner writes its reachability only while it receives no messages from a leader, so a
	// recent report shows that the two are out of contact.
	case c.SinceLastMessage > unresponsiveAfter || c.Reachability == WorkersReachable:
		return ReasonUnresponsive
	case s.Zone != "" && c.Zone != s.Zone:
		return ReasonZone
	}
	return 0
}

// heldLongEnough reports whether a reason has persisted for long enough to move a shard: a wrong
// zone must have persisted for reasonHoldTime if the shard has machines; other reasons count at once.
// It also records when the reason was first seen.
func (p *Planner) heldLongEnough(now time.Time, s *Shard, why Reason) bool {
	held, ok := p.pendingReasons[s.ID]
	if !ok || held.reason != why {
		held = pendingReason{why, now}
		p.pendingReasons[s.ID] = held
	}
	if why == ReasonDraining || why == ReasonUnresponsive || why == ReasonPartitioned || s.Machines == 0 {
		return true
	}
	return now.Sub(held.since) >= reasonHoldTime
}

// rebalance moves one shard from the busiest controller to the idlest, if their loads have differed
// for reasonHoldTime, the move reduces the difference enough (see rebalanceCandidate),
// rebalanceInterval has passed since the previous move for balance, and no shard with machines is
// moving.
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
		// A new leader counts the time of the difference from now: loads right after a change
		// of leaders aren't meaningful.
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

// busiestAndIdlest returns the most loaded controller, and the least loaded of the healthy ones.
// Draining and unresponsive controllers are excluded. Both results are nil if no controller is
// healthy or if both would be the same controller.
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

// load returns a controller's used processor share, or its number of machines while the share of any
// controller is unknown.
func (v *view) load(c *Controller) float64 {
	if v.loadsKnown() {
		return c.Load.CPUShare
	}
	return float64(v.machines[c.Member])
}

func (v *view) loadsKnown() bool {
	return !slices.ContainsFunc(v.controllers, func(c Controller) bool { return c.Load.CPUShare == 0 })
}

// rebalanceCandidate returns the shard whose move leaves the smallest difference between the loads of
// two controllers. It returns nil if the busiest has too few machines, if the loads differ too little,
// or if more than maxRemainingGap of the difference would remain after any move.
func (p *Planner) rebalanceCandidate(now time.Time, v *view, busiest, idlest *Controller) *Shard {
	machines := float64(v.machines[busiest.Member])
	if machines < minMachinesToRebalance {
		return nil
	}
	gap := v.load(busiest) - v.load(idlest)
	perMachine := 1.0
	if v.loadsKnown() {
		if gap < minCPUShareGap {
			return nil
		}
		perMachine = busiest.Load.CPUShare / machines
	} else if machines < minMachineRatio*max(1, float64(v.machines[idlest.Member])) {
		return nil
	}
	var best *Shard
	bestGap := gap * maxRemainingGap
	for i := range v.shards {
		s := &v.shards[i]
		if s.Owner != busiest.Member || !p.canRebalance(now, s, busiest, idlest) {
			continue
		}
		remaining := gap - 2*perMachine*float64(s.Machines)
		if remaining < 0 {
			remaining = -remaining
		}
		if remaining <= bestGap {
			best, bestGap = s, remaining
		}
	}
	return best
}

// canRebalance reports whether a shard of the busiest controller may move to the idlest now: it has
// machines, isn't moving and hasn't moved within moveCooldown, and the idlest hasn't recently lost
// contact with workers of the shard's zone. A shard whose owner is in the zone of most of its machines
// isn't moved to a controller of another zone.
func (p *Planner) canRebalance(now time.Time, s *Shard, busiest, idlest *Controller) bool {
	if s.Moving || s.Unowned || s.Machines == 0 || now.Sub(p.movedAt[s.ID]) < moveCooldown {
		return false
	}
	if p.reachFailures.recent(now, idlest.Member, s.Zone) {
		return false
	}
	return s.Zone == "" || s.Zone == idlest.Zone || s.Zone != busiest.Zone
}
