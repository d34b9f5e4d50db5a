package coordination

import (
	"time"

	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/peers"
	"brasskeel/internal/coordination/shard"
)

// ownerChannel is the leader's side of the connection to one owner.
type ownerChannel struct {
	member shard.Member
	shard.Outbox
	pending             shard.Instructions  // not yet sent
	pendingMachines     map[*machine]bool   // machines to send with all their attempts
	announcedTerms      map[shard.ID]uint64 // shards that the owner announced to serve, and the term of its ownership
	lastReceivedAt      time.Time           // when the owner's last message was received
	status              shard.Status
	statusParts         shard.StatusParts
	partitioned         bool                      // the owner lost contact with most of its workers, according to its status
	alternatives        map[string]bool           // of a partitioned owner: whether another controller may reach the workers of a zone
	reachabilityTracker shard.ReachabilityTracker // whether the owner reaches its workers, according to its member record
}

// attemptChanged notifies the owner of an attempt's machine that the attempt is to be started or
// stopped.
func (sc *shardCoordinator) attemptChanged(a *attempt) {
	owner := sc.channelToOwner(a.machine.shard)
	if owner == nil || owner.announcedTerms[a.machine.shard] == 0 || owner.pendingMachines[a.machine] {
		return // the attempt will be sent in the machine's entry, if need be to a later owner
	}
	switch {
	case a.stopRequested && (a.delivery.OwnerNotified || a.delivery.Inherited):
		owner.pending.Stops = append(owner.pending.Stops, shard.Stop{AttemptID: attemptTask(a), GraceMillis: a.stopGrace.Milliseconds()})
	case a.recorded && !a.delivery.OwnerNotified && !a.delivery.Inherited:
		a.delivery.OwnerNotified = true
		owner.pending.Starts = append(owner.pending.Starts, shard.Start{AttemptID: attemptTask(a)})
	default:
		return
	}
	sc.schedule(owner)
}

// machineAdded notifies a shard's owner of a machine that was added to the shard.
func (sc *shardCoordinator) machineAdded(m *machine) {
	if owner := sc.channelToOwner(m.shard); owner != nil && owner.announcedTerms[m.shard] != 0 {
		owner.pendingMachines[m] = true
		sc.schedule(owner)
	}
}

// machineTerminated notifies a machine's owner that the machine is terminated.
func (sc *shardCoordinator) machineTerminated(m *machine) {
	if owner := sc.channelToOwner(m.shard); owner != nil {
		delete(owner.pendingMachines, m)
		owner.pending.TerminatedMachines = append(owner.pending.TerminatedMachines, m.Name)
		sc.schedule(owner)
	}
}

// forgetExit notifies a machine's owner that the worker may forget an exited task: its result is
// recorded, or there is none to record.
func (sc *shardCoordinator) forgetExit(t shard.AttemptID) {
	m := sc.leader.machines[t.Machine]
	if m == nil {
		return
	}
	if owner := sc.channelToOwner(m.shard); owner != nil {
		owner.pending.Forgets = append(owner.pending.Forgets, t)
		sc.schedule(owner)
	}
}

// schedule arranges that a message is sent to an owner at the end of the step, or once the minimum
// interval between messages has passed.
func (sc *shardCoordinator) schedule(owner *ownerChannel) {
	c := sc.leader.controller
	owner.Schedule(c.now, c.runAfter, func() {
		if sc.leader.alive() && sc.channels[owner.member.Name] == owner {
			sc.flush(owner)
		}
	})
}

// flush begins a snapshot if one is due, and sends an owner a message, and further ones while anything
// is pending, as far as the send window allows. While the records are being loaded, nothing is sent.
func (sc *shardCoordinator) flush(owner *ownerChannel) {
	if sc.leader.phase == phaseLoading {
		return
	}
	if owner.Channel.SnapshotDue() {
		sc.beginSnapshot(owner)
	}
	owner.Flush(owner.hasPending, func() {
		message, room := owner.pending.TakeFitting(messageBudget)
		if owner.pending.Empty() && len(owner.pendingMachines) > 0 {
			message.Machines = append(message.Machines, sc.nextMachines(owner, room)...)
		}
		sc.sendMessage(owner, message)
	})
}

func (owner *ownerChannel) hasPending() bool {
	return !owner.pending.Empty() || len(owner.pendingMachines) > 0
}

// beginSnapshot queues all machines of the shards that an owner serves to be sent.
func (sc *shardCoordinator) beginSnapshot(owner *ownerChannel) {
	owner.pending, owner.pendingMachines = shard.Instructions{}, map[*machine]bool{}
	for _, m := range sc.leader.fleetList {
		if owner.announcedTerms[m.shard] != 0 && m.inRecordedShard() {
			owner.pendingMachines[m] = true
		}
	}
}

// nextMachines removes from the pending machines those whose entries fit into the room bytes that are
// left in a message, and returns the entries. An empty message gets at least one, whatever its size.
func (sc *shardCoordinator) nextMachines(owner *ownerChannel, room int) []shard.Machine {
	var list []shard.Machine
	for _, m := range sc.leader.fleetList {
		if !owner.pendingMachines[m] {
			continue
		}
		size := sc.machineEntrySize(m)
		if size > room && (len(list) > 0 || room < messageBudget) {
			return list
		}
		room -= size
		list = append(list, sc.machineEntry(m, owner.announcedTerms[m.shard]))
		delete(owner.pendingMachines, m)
		if len(owner.pendingMachines) == 0 {
			return list
		}
	}
	clear(owner.pendingMachines) // the remaining ones are machines that were removed
	return list
}

// machineEntrySize estimates the size of a machine's entry in a message.
func (sc *shardCoordinator) machineEntrySize(m *machine) int {
	entry := shard.Machine{Name: m.Name, Addr: m.addr, Type: m.Type, Zone: m.Zone}
	size := entry.Size()
	for _, a := range m.attemptList {
		size += shard.StartSize(m.Name, a.job.ID)
	}
	return size
}

// sendMessage completes a message with its header and sends it.
func (sc *shardCoordinator) sendMessage(owner *ownerChannel, message shard.Instructions) {
	c := sc.leader.controller
	content := owner.Channel.SnapshotDue() || !message.Empty()
	message.Header = owner.NextHeader(c.now, content)
	c.sendShardMessage(owner.member.Name, shard.Message{Instructions: &message})
}

// machineEntry returns a machine with all recorded attempts that may be on it, and marks the owner as
// notified of them.
func (sc *shardCoordinator) machineEntry(m *machine, term uint64) shard.Machine {
	entry := shard.Machine{Shard: m.shard, Term: term, Name: m.Name, Addr: m.addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		RegisteredBefore: m.session.Registered || m.inherited && !sc.leader.booting(m)}
	for _, a := range m.sortedAttempts() {
		if !a.recorded {
			continue
		}
		entry.Starts = append(entry.Starts, shard.Start{AttemptID: attemptTask(a), FirstNotice: !a.delivery.OwnerNotified && !a.delivery.Inherited, Stopping: a.stopRequested, GraceMillis: a.stopGrace.Milliseconds()})
		a.delivery.OwnerNotified = true
	}
	return entry
}

// sendShardMessage sends a message to another controller, or between the leader and the owner
// on this one.
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

// deliverLocalMessages delivers the messages between the leader and the owner on this controller,
// and those sent in reply.
func (c *Controller) deliverLocalMessages() {
	for len(c.localMessages) > 0 {
		messages := c.localMessages
		c.localMessages = nil
		for i := range messages {
			c.receiveShardMessage(&messages[i])
		}
	}
}

// receiveShardMessage passes a message from this or another controller to the owner or the leader.
func (c *Controller) receiveShardMessage(message *shard.Message) {
	if in := message.Instructions; in != nil && c.sharding != nil && c.sharding.owner != nil {
		c.sharding.owner.feed.receive(message.From, in)
	}
	if observations := message.Observations; observations != nil && c.leader != nil && c.leader.shards != nil {
		c.leader.shards.receive(message.From, observations)
	}
}

// runAfter is after without its result, for callers that never cancel the timer.
func (c *Controller) runAfter(d time.Duration, f func()) { c.after(d, f) }
