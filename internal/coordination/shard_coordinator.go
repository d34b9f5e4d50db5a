package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/coordination/overload"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
)

// shardCoordinator is the leader's part in shards: it decides who owns them, tells owners what
// is to run, and takes what they saw.
type shardCoordinator struct {
	leader                 *leader
	sharding               *sharding
	shardCount             int  // of shards that there are to be
	retiring               bool // they are to be given up: the leader is to serve all machines again
	planner                *shard.Planner
	channels               map[string]*ownerChannel // by controller
	ownerHeardSinceByShard map[shard.ID]time.Time   // since when the owner of a shard is heard without a break
	moves                  *shard.Moves
	changeInFlight         bool // a change of owners is under way
	unreadable             *shard.UnreadableRecords
}

// ownerTimeout is after how long without a message an owner's word on its workers counts for
// nothing.
const ownerTimeout = 2500 * time.Millisecond

func newShardCoordinator(l *leader, s *sharding, retiring bool) *shardCoordinator {
	count := 1
	if sh := l.controller.operator.Sharding; sh != nil {
		count = sh.ShardsPerController * (1 + len(l.controller.cfg.Peers))
	}
	return &shardCoordinator{leader: l, sharding: s, shardCount: count, retiring: retiring, planner: shard.NewPlanner(), moves: shard.NewMoves(ownerTimeout),
		channels: map[string]*ownerChannel{}, ownerHeardSinceByShard: map[shard.ID]time.Time{}, unreadable: shard.NewUnreadableRecords()}
}

// ownershipChanged acts on new owners and members.
func (sl *shardCoordinator) ownershipChanged() {
	c := sl.leader.controller
	for _, m := range sl.sharding.table.Members() {
		owner := sl.channels[m.Name]
		if owner == nil || owner.member != m.Member {
			owner = &ownerChannel{member: m.Member, Outbox: shard.Outbox{Channel: shard.NewChannel(shard.ChannelEpoch{Term: sl.leader.term, Member: m.Member})},
				pendingMachines: map[*machine]bool{}, announcedTerms: map[shard.ID]uint64{}, heardAt: c.now}
			sl.channels[m.Name] = owner
			sl.schedule(owner)
		}
		owner.reachabilityTracker.Update(c.now, m)
	}
	for controller := range sl.channels {
		if m, _ := sl.sharding.table.Member(controller); m.Name == "" {
			delete(sl.channels, controller)
		}
	}
	for _, id := range sl.sharding.table.IDs() {
		if sl.channelToOwner(id) == nil {
			delete(sl.ownerHeardSinceByShard, id)
		}
	}
	sl.moves.Update(c.now, sl.sharding.table)
	sl.plan()
}

// channelToOwner is the channel to who serves a shard, nil when nobody does.
func (sl *shardCoordinator) channelToOwner(id shard.ID) *ownerChannel {
	ownership, ok := sl.sharding.table.Owner(id)
	if !ok {
		return nil
	}
	if owner := sl.channels[ownership.Name]; owner != nil && owner.member == ownership.Member {
		return owner
	}
	return nil
}

// ownerHeardSince is since when the owner of a machine's shard has been heard without a break;
// without one, silence of the machine says nothing.
func (sl *shardCoordinator) ownerHeardSince(m *machine) (time.Time, bool) {
	since, ok := sl.ownerHeardSinceByShard[m.shard]
	if ok && sl.hasAlternativeOwner(m) {
		return time.Time{}, false
	}
	owner := sl.channelToOwner(m.shard)
	// An owner that has yet to say that it serves the shard has asked nobody: what is known of
	// its machines is the word of the one before, which may have lost them.
	if !ok || owner == nil || owner.announcedTerms[m.shard] == 0 || sl.leader.controller.now.Sub(owner.heardAt) > ownerTimeout {
		delete(sl.ownerHeardSinceByShard, m.shard)
		return time.Time{}, false
	}
	return since, true
}

// redirectHeartbeat tells a worker who serves it.
func (sl *shardCoordinator) redirectHeartbeat(id uint64, r *protocol.Heartbeat, body []byte) {
	c := sl.leader.controller
	m := sl.leader.machineForHeartbeat(id, r)
	if m == nil {
		return
	}
	name := sl.sharding.ownerName(m.shard)
	if name == "" || name == c.cfg.Name {
		c.deferHeartbeat(id, body) // it is about to be served
		return
	}
	c.reply(id, 421, protocol.EncodeRedirect(name))
}

// inRecordedShard reports whether a machine's shard is on record, so that an owner may be told.
func (m *machine) inRecordedShard() bool {
	return m.shard != 0 && m.group != nil && m.group.stored() && m.recorded
}

// ownerOverloaded reports whether an owner told lately that its timers fire too late.
func (sl *shardCoordinator) ownerOverloaded() bool {
	for _, owner := range sl.channels {
		if owner.status.Load.Lag > overload.OverloadThreshold && sl.leader.controller.now.Sub(owner.heardAt) <= recentOverloadWindow {
			return true
		}
	}
	return false
}

// step is the regular turn: it watches the channels and plans.
func (sl *shardCoordinator) step() {
	if !sl.sharding.tableLoaded || sl.leader.phase == phaseLoading {
		return
	}
	sl.leader.checkReconciled()
	for _, controller := range sl.memberNames() {
		owner := sl.channels[controller]
		owner.Channel.CheckTimeouts(sl.leader.controller.now)
		if owner.Channel.SnapshotDue() || owner.Channel.AckDue() {
			sl.schedule(owner)
		}
	}
	sl.plan()
}

func (sl *shardCoordinator) memberNames() []string {
	var nodes []string
	for controller := range sl.channels {
		nodes = append(nodes, controller)
	}
	slices.Sort(nodes)
	return nodes
}

// reachabilityAt is what is known of whether an owner that isn't heard reaches its workers.
func (owner *ownerChannel) reachabilityAt(now time.Time) shard.Reachability {
	if now.Sub(owner.heardAt) <= ownerTimeout {
		return shard.ReachabilityUnknown
	}
	return owner.reachabilityTracker.At(now)
}

// hasAlternativeOwner reports whether a machine's owner doesn't reach its workers while another
// controller may: then their silence says nothing of them.
func (sl *shardCoordinator) hasAlternativeOwner(m *machine) bool {
	owner := sl.channelToOwner(m.shard)
	return owner != nil && owner.partitioned && owner.alternatives[m.Zone]
}

// updateAlternatives notes for a partitioned owner which zones' workers another controller may reach.
func (sl *shardCoordinator) updateAlternatives(owner *ownerChannel) {
	owner.alternatives = nil
	if !owner.partitioned {
		return
	}
	owner.alternatives = map[string]bool{}
	controllers := sl.plannerControllers()
	for _, m := range sl.leader.fleetList {
		if _, known := owner.alternatives[m.Zone]; !known {
			owner.alternatives[m.Zone] = sl.planner.HasAlternative(sl.leader.controller.now, controllers, owner.member, m.Zone)
		}
	}
}

// ownerTimedOut reports whether a machine's owner isn't heard, so that there is no point in
// waiting for its tasks: with controllers that refuse each other's connections a new leader
// waited its longest for two thirds of the fleet.
func (l *leader) ownerTimedOut(m *machine) bool {
	if l.shards == nil {
		return false
	}
	owner := l.shards.channelToOwner(m.shard)
	return owner == nil || l.controller.now.Sub(owner.heardAt) > ownerTimeout
}

// resignIfDisconnected lets another controller lead if this one hears no owner but itself, reaches no workers
// either, and the state service shows that others do. It reports whether it did.
func (sl *shardCoordinator) resignIfDisconnected() bool {
	l, c := sl.leader, sl.leader.controller
	if c.now.Sub(l.reconciledAt) <= ownerTimeout {
		return false
	}
	able := 0
	for controller, owner := range sl.channels {
		if controller == c.cfg.Name {
			if owner.status.Load.Machines > 0 && !owner.partitioned {
				return false
			}
			continue
		}
		reachability := owner.reachabilityAt(c.now)
		if reachability == shard.ReachabilityUnknown && c.now.Sub(owner.heardAt) <= ownerUnresponsiveAfter {
			return false
		}
		if reachability == shard.WorkersReachable {
			able++
		}
	}
	return able > 0 && c.resignDisconnected("neither workers nor their owners are heard")
}

// ownerUnresponsiveAfter is after how long without a message an owner counts as one that the leader can't
// talk to.
const ownerUnresponsiveAfter = 6 * time.Second
