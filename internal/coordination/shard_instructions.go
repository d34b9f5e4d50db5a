package coordination

import (
	"time"

	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/peers"
	"brasskeel/internal/coordination/shard"
)

// ownerChannel is how the leader talks to one owner.
type ownerChannel struct {
	member shard.Member
	shard.Outbox
	pending             shard.Instructions  // that is being filled
	pendingMachines     map[*machine]bool   // machines whose complete lists are to be told in it
	announcedTerms      map[shard.ID]uint64 // shards whose machines were told, and under which term
	heardAt             time.Time           // when it last told something
	status              shard.Status
	statusParts         shard.StatusParts
	partitioned         bool                      // it doesn't reach most of its workers
	alternatives        map[string]bool           // zones whose workers others may reach, of a partitioned owner
	reachabilityTracker shard.ReachabilityTracker // by the state service
}

// attemptChanged tells the owner of an attempt's machine what is wanted of it.
func (sl *shardCoordinator) attemptChanged(a *attempt) {
	owner := sl.channelToOwner(a.machine.shard)
	if owner == nil || owner.announcedTerms[a.machine.shard] == 0 || owner.pendingMachines[a.machine] {
		return // all of it will be told with the machine
	}
	switch {
	case a.stopRequested && (a.delivery.OwnerNotified || a.delivery.Inherited):
		owner.pending.Stops = append(owner.pending.Stops, shard.Stop{Task: attemptTask(a), GraceMillis: a.stopGrace.Milliseconds()})
	case a.recorded && !a.delivery.OwnerNotified && !a.delivery.Inherited:
		a.delivery.OwnerNotified = true
		owner.pending.Starts = append(owner.pending.Starts, shard.Start{Task: attemptTask(a)})
	default:
		return
	}
	sl.schedule(owner)
}

// machineAdded tells the owner of a machine that is new to it.
func (sl *shardCoordinator) machineAdded(m *machine) {
	if owner := sl.channelToOwner(m.shard); owner != nil && owner.announcedTerms[m.shard] != 0 {
		owner.pendingMachines[m] = true
		sl.schedule(owner)
	}
}

// machineTerminated tells the owner of a machine that it is gone.
func (sl *shardCoordinator) machineTerminated(m *machine) {
	if owner := sl.channelToOwner(m.shard); owner != nil {
		delete(owner.pendingMachines, m)
		owner.pending.TerminatedMachines = append(owner.pending.TerminatedMachines, m.Name)
		sl.schedule(owner)
	}
}

func (sl *shardCoordinator) forgetExit(t shard.Task) {
	m := sl.leader.machines[t.Machine]
	if m == nil {
		return
	}
	if owner := sl.channelToOwner(m.shard); owner != nil {
		owner.pending.Forgets = append(owner.pending.Forgets, t)
		sl.schedule(owner)
	}
}

// schedule wants a message sent to an owner.
func (sl *shardCoordinator) schedule(owner *ownerChannel) {
	c := sl.leader.controller
	owner.Schedule(c.now, c.runAfter, func() {
		if sl.leader.alive() && sl.channels[owner.member.Name] == owner {
			sl.flush(owner)
		}
	})
}

// flush sends what there is to tell an owner, as far as messages may be on their way.
func (sl *shardCoordinator) flush(owner *ownerChannel) {
	if sl.leader.phase == phaseLoading {
		return
	}
	if owner.Channel.SnapshotDue() {
		sl.beginSnapshot(owner)
	}
	owner.Flush(owner.hasPending, func() {
		line, room := owner.pending.TakeFitting(messageBudget)
		if owner.pending.Empty() && len(owner.pendingMachines) > 0 {
			line.Machines = append(line.Machines, sl.nextMachines(owner, room)...)
		}
		sl.sendMessage(owner, line)
	})
}

func (owner *ownerChannel) hasPending() bool {
	return !owner.pending.Empty() || len(owner.pendingMachines) > 0
}

// beginSnapshot wants all machines told of that an owner serves.
func (sl *shardCoordinator) beginSnapshot(owner *ownerChannel) {
	owner.pending, owner.pendingMachines = shard.Instructions{}, map[*machine]bool{}
	for _, m := range sl.leader.fleetList {
		if owner.announcedTerms[m.shard] != 0 && m.inRecordedShard() {
			owner.pendingMachines[m] = true
		}
	}
}

// nextMachines takes machines that an owner is to be told of, one at the least, as far as
// there is room in a message.
func (sl *shardCoordinator) nextMachines(owner *ownerChannel, room int) []shard.Machine {
	var list []shard.Machine
	for _, m := range sl.leader.fleetList {
		if !owner.pendingMachines[m] {
			continue
		}
		size := sl.machineEntrySize(m)
		if size > room && (len(list) > 0 || room < messageBudget) {
			return list
		}
		room -= size
		list = append(list, sl.machineEntry(m, owner.announcedTerms[m.shard]))
		delete(owner.pendingMachines, m)
		if len(owner.pendingMachines) == 0 {
			return list
		}
	}
	clear(owner.pendingMachines) // of machines that are gone
	return list
}

// machineEntrySize is about how long a machine is in a message.
func (sl *shardCoordinator) machineEntrySize(m *machine) int {
	entry := shard.Machine{Name: m.Name, Addr: m.addr, Type: m.Type, Zone: m.Zone}
	size := entry.Size()
	for _, a := range m.attemptList {
		size += shard.StartSize(m.Name, a.job.ID)
	}
	return size
}

func (sl *shardCoordinator) sendMessage(owner *ownerChannel, line shard.Instructions) {
	c := sl.leader.controller
	content := owner.Channel.SnapshotDue() || !line.Empty()
	line.Header = owner.NextHeader(c.now, content)
	c.sendShardMessage(owner.member.Name, shard.Message{Instructions: &line})
}

// machineEntry is a machine with all attempts that may be on it.
func (sl *shardCoordinator) machineEntry(m *machine, term uint64) shard.Machine {
	k := shard.Machine{Shard: m.shard, Term: term, Name: m.Name, Addr: m.addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		RegisteredBefore: m.session.Registered || m.inherited && !sl.leader.booting(m)}
	for _, a := range m.sortedAttempts() {
		if !a.recorded {
			continue
		}
		k.Starts = append(k.Starts, shard.Start{Task: attemptTask(a), FirstNotice: !a.delivery.OwnerNotified && !a.delivery.Inherited, Stopping: a.stopRequested, GraceMillis: a.stopGrace.Milliseconds()})
		a.delivery.OwnerNotified = true
	}
	return k
}

// sendShardMessage sends a message to a controller, or to the other role of this one.
func (c *Controller) sendShardMessage(to string, message shard.Message) {
	message.From = c.cfg.Name
	if to == c.cfg.Name {
		c.localMessages = append(c.localMessages, message)
		return
	}
	raw := message.Encode()
	if len(raw) > peers.MaxMessage {
		c.limits.Reached(limits.PeerMessageSize)
		return
	}
	c.effects.Unicasts = append(c.effects.Unicasts, Unicast{To: to, Body: raw})
}

// deliverLocalMessages hands the messages between this controller's own roles over, and those that
// come of them.
func (c *Controller) deliverLocalMessages() {
	for len(c.localMessages) > 0 {
		messages := c.localMessages
		c.localMessages = nil
		for i := range messages {
			c.receiveShardMessage(&messages[i])
		}
	}
}

// receiveShardMessage takes a message of another controller's, or of another role of this one.
func (c *Controller) receiveShardMessage(message *shard.Message) {
	if in := message.Instructions; in != nil && c.sharding != nil && c.sharding.owner != nil {
		c.sharding.owner.feed.receive(message.From, in)
	}
	if seen := message.Observations; seen != nil && c.leader != nil && c.leader.shards != nil {
		c.leader.shards.receive(message.From, seen)
	}
}

// runAfter is after for those that never stop the timer.
func (c *Controller) runAfter(d time.Duration, f func()) { c.after(d, f) }
