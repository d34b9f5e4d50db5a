package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/coordination/overload"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
)

// shardCoordinator is the leader's side of sharding: it assigns shards to owners, sends the
// owners instructions, and applies their observations.
type shardCoordinator struct {
	leader                   *leader
	sharding                 *sharding
	shardCount               int  // configured number of shards
	retiring                 bool // sharding is being disabled: all shards move to the leader's own controller
	planner                  *shard.Planner
	channels                 map[string]*ownerChannel // by controller
	ownerContactSinceByShard map[shard.ID]time.Time   // since when a shard's owner has sent messages without a gap
	moves                    *shard.Moves
	changeInFlight           bool // a transaction that changes owners is being committed
	unreadable               *shard.UnreadableRecords
}

// ownerTimeout is the time without a message from an owner after which its reports of its workers are
// no longer relied on.
const ownerTimeout = 2500 * time.Millisecond

func newShardCoordinator(l *leader, s *sharding, retiring bool) *shardCoordinator {
	count := 1
	if sh := l.controller.operator.Sharding; sh != nil {
		count = sh.ShardsPerController * (1 + len(l.controller.cfg.Peers))
	}
	return &shardCoordinator{leader: l, sharding: s, shardCount: count, retiring: retiring, planner: shard.NewPlanner(), moves: shard.NewMoves(ownerTimeout),
		channels: map[string]*ownerChannel{}, ownerContactSinceByShard: map[shard.ID]time.Time{}, unreadable: shard.NewUnreadableRecords()}
}

// ownershipChanged updates the channels and moves after a change of owners or members, and plans
// again.
func (sc *shardCoordinator) ownershipChanged() {
	c := sc.leader.controller
	for _, m := range sc.sharding.table.Members() {
		owner := sc.channels[m.Name]
		if owner == nil || owner.member != m.Member {
			owner = &ownerChannel{member: m.Member, Outbox: shard.Outbox{Channel: shard.NewChannel(shard.ChannelEpoch{Term: sc.leader.term, Member: m.Member})},
				pendingMachines: map[*machine]bool{}, announcedTerms: map[shard.ID]uint64{}, lastReceivedAt: c.now}
			sc.channels[m.Name] = owner
			sc.schedule(owner)
		}
		owner.reachabilityTracker.Update(c.now, m)
	}
	for controller := range sc.channels {
		if m, _ := sc.sharding.table.Member(controller); m.Name == "" {
			delete(sc.channels, controller)
		}
	}
	for _, id := range sc.sharding.table.IDs() {
		if sc.channelToOwner(id) == nil {
			delete(sc.ownerContactSinceByShard, id)
		}
	}
	sc.moves.Update(c.now, sc.sharding.table)
	sc.plan()
}

// channelToOwner returns the channel to the owner of a shard, or nil if the shard has no owner or the
// owner's lease has ended.
func (sc *shardCoordinator) channelToOwner(id shard.ID) *ownerChannel {
	ownership, ok := sc.sharding.table.Owner(id)
	if !ok {
		return nil
	}
	if owner := sc.channels[ownership.Name]; owner != nil && owner.member == ownership.Member {
		return owner
	}
	return nil
}

// ownerContactSince returns since when the owner of a machine's shard has sent messages without a
// gap. It returns false if the owner's reports can't be relied on, or if another controller may reach
// the worker that this owner doesn't reach (hasAlternativeOwner): then missing messages of the
// machine's worker don't show that the machine failed.
func (sc *shardCoordinator) ownerContactSince(m *machine) (time.Time, bool) {
	since, ok := sc.ownerContactSinceByShard[m.shard]
	if ok && sc.hasAlternativeOwner(m) {
		return time.Time{}, false
	}
	owner := sc.channelToOwner(m.shard)
	// An owner that hasn't announced the shard yet has probed none of its workers: what is known of
	// them was reported by the previous owner, which may have lost contact with them.
	if !ok || owner == nil || owner.announcedTerms[m.shard] == 0 || sc.leader.controller.now.Sub(owner.lastReceivedAt) > ownerTimeout {
		delete(sc.ownerContactSinceByShard, m.shard)
		return time.Time{}, false
	}
	return since, true
}

// redirectHeartbeat answers a heartbeat with the name of the controller that owns the shard of the
// worker's machine. It defers the heartbeat if there is no owner or the owner is this controller.
func (sc *shardCoordinator) redirectHeartbeat(id uint64, r *protocol.Heartbeat, body []byte) {
	c := sc.leader.controller
	m := sc.leader.machineForHeartbeat(id, r)
	if m == nil {
		return
	}
	name := sc.sharding.ownerName(m.shard)
	if name == "" || name == c.cfg.Name {
		c.deferHeartbeat(id, body) // until the shard has an owner or this controller serves it
		return
	}
	c.reply(id, 421, protocol.EncodeRedirect(name))
}

// inRecordedShard reports whether the machine is recorded with its shard, so that the shard's owner
// may be notified of it.
func (m *machine) inRecordedShard() bool {
	return m.shard != 0 && m.group != nil && m.group.stored() && m.recorded
}

// ownerOverloaded reports whether an owner that sent a message within recentOverloadWindow is
// overloaded according to its status.
func (sc *shardCoordinator) ownerOverloaded() bool {
	for _, owner := range sc.channels {
		if owner.status.Load.Lag > overload.OverloadThreshold && sc.leader.controller.now.Sub(owner.lastReceivedAt) <= recentOverloadWindow {
			return true
		}
	}
	return false
}

// checkChannelsAndPlan runs periodically: it checks whether the recovery can end, checks the channels
// for timeouts, and plans.
func (sc *shardCoordinator) checkChannelsAndPlan() {
	if !sc.sharding.tableLoaded || sc.leader.phase == phaseLoading {
		return
	}
	sc.leader.checkReconciled()
	for _, controller := range sc.memberNames() {
		owner := sc.channels[controller]
		owner.Channel.CheckTimeouts(sc.leader.controller.now)
		if owner.Channel.SnapshotDue() || owner.Channel.AckDue() {
			sc.schedule(owner)
		}
	}
	sc.plan()
}

// memberNames returns the names of the controllers with a channel, sorted.
func (sc *shardCoordinator) memberNames() []string {
	var names []string
	for controller := range sc.channels {
		names = append(names, controller)
	}
	slices.Sort(names)
	return names
}

// reachabilityAt returns whether an owner reaches its workers according to its member record. While
// the owner's messages arrive, it returns ReachabilityUnknown: then the record isn't used.
func (owner *ownerChannel) reachabilityAt(now time.Time) shard.Reachability {
	if now.Sub(owner.lastReceivedAt) <= ownerTimeout {
		return shard.ReachabilityUnknown
	}
	return owner.reachabilityTracker.At(now)
}

// hasAlternativeOwner reports whether a machine's owner is partitioned from its workers while another
// controller may reach them. Then missing messages of the workers don't show that machines failed.
func (sc *shardCoordinator) hasAlternativeOwner(m *machine) bool {
	owner := sc.channelToOwner(m.shard)
	return owner != nil && owner.partitioned && owner.alternatives[m.Zone]
}

// updateAlternatives determines for a partitioned owner in which zones another controller may reach
// the workers.
func (sc *shardCoordinator) updateAlternatives(owner *ownerChannel) {
	owner.alternatives = nil
	if !owner.partitioned {
		return
	}
	owner.alternatives = map[string]bool{}
	controllers := sc.plannerControllers()
	for _, m := range sc.leader.fleetList {
		if _, known := owner.alternatives[m.Zone]; !known {
			owner.alternatives[m.Zone] = sc.planner.HasAlternative(sc.leader.controller.now, controllers, owner.member, m.Zone)
		}
	}
}

// ownerTimedOut reports whether a machine's owner has sent no message within ownerTimeout, so that
// a new leader need not wait for a report of the machine's tasks: if the controllers refuse each
// other's connections, a new leader among three would wait the maximum time for two thirds of the
// fleet.
func (l *leader) ownerTimedOut(m *machine) bool {
	if l.shards == nil {
		return false
	}
	owner := l.shards.channelToOwner(m.shard)
	return owner == nil || l.controller.now.Sub(owner.lastReceivedAt) > ownerTimeout
}

// resignIfDisconnected resigns leadership if this controller has received no message from any other
// owner for ownerUnresponsiveAfter (ownerTimeout if the other's member record shows whether it reaches
// its workers), doesn't reach the workers of its own shards either, and the state service shows that
// another owner reaches its workers. It doesn't within ownerTimeout after the end of the recovery. It
// reports whether it resigned.
func (sc *shardCoordinator) resignIfDisconnected() bool {
	l, c := sc.leader, sc.leader.controller
	if c.now.Sub(l.reconciledAt) <= ownerTimeout {
		return false
	}
	reachableOwners := 0
	for controller, owner := range sc.channels {
		if controller == c.cfg.Name {
			if owner.status.Load.Machines > 0 && !owner.partitioned {
				return false
			}
			continue
		}
		reachability := owner.reachabilityAt(c.now)
		if reachability == shard.ReachabilityUnknown && c.now.Sub(owner.lastReceivedAt) <= ownerUnresponsiveAfter {
			return false
		}
		if reachability == shard.WorkersReachable {
			reachableOwners++
		}
	}
	return reachableOwners > 0 && c.resignDisconnected("no contact with workers or other shard owners")
}

// ownerUnresponsiveAfter is the time without a message after which an owner counts as disconnected
// from the leader.
const ownerUnresponsiveAfter = 6 * time.Second
