package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/coordination/leadership"
	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/coordination/statestore"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// shardOwner serves the workers of shards for a leader that may be another controller. It reads from
// the state service which shards it owns and which machines belong to them. The leader sends it the
// attempts that may run there, and it reports to the leader what the workers report.
type shardOwner struct {
	workerSessions
	sharding              *sharding
	shards                map[shard.ID]*ownedShard
	movedAway             map[string]shard.ID // by name, the shard of each machine that was served before and isn't now
	feed                  *changeFeed         // the channel to the leader
	loadingMachines       bool                // the machines' records are being read
	reloadMachines        bool                // they must be read again: a shard was acquired during the read
	heartbeatsSinceStatus int                 // answered since the last status
	reachabilityWrittenAt time.Time           // when reachability was last written to the member record
	reachabilitySequence  uint64              // of the latest report written
}

// ownedShard is a shard that this owner serves.
type ownedShard struct {
	epoch             sessions.Epoch
	moving            bool // it is to move to another member; its workers are no longer answered or called
	handingOver       bool // the handover is being written
	superseded        bool // a worker has seen a later fencing token
	recheckGeneration int  // table generation from which on the table shows whether there is a later owner; valid while superseded
}

// served reports whether the shard's workers are answered and called.
func (owned *ownedShard) served() bool { return !owned.moving && !owned.superseded }

// setMoving records whether the shard is moving away, and pauses or resumes its ownership epoch.
func (owned *ownedShard) setMoving(on bool) {
	owned.moving = on
	owned.epoch.Paused = !owned.served()
}

// setSuperseded records whether there may be a later owner, and pauses or resumes the epoch.
func (owned *ownedShard) setSuperseded(on bool) {
	owned.superseded = on
	owned.epoch.Paused = !owned.served()
}

func newShardOwner(s *sharding, lease leadership.Lease) *shardOwner {
	o := &shardOwner{workerSessions: newWorkerSessions(s.controller, lease), sharding: s, shards: map[shard.ID]*ownedShard{}, movedAway: map[string]shard.ID{}}
	o.listener, o.probesNewWorkers = o, true
	o.feed = newChangeFeed(o)
	o.loadJobs(o.watchJobs)
	o.every(detectorInterval, o.detectUnresponsiveWorkers)
	return o
}

// applyTable acquires and drops shards according to the table, and applies the moves of the owned ones
// (applyMove).
func (o *shardOwner) applyTable() {
	s := o.sharding
	for id, owned := range o.shards {
		r, _, ok := s.table.Record(id)
		if !ok || r.Owner.Member != s.member || r.Owner.Term != owned.epoch.Term {
			o.dropShard(id)
		}
	}
	added := false
	for _, id := range s.table.OwnedBy(s.member) {
		r, _, _ := s.table.Record(id)
		if o.shards[id] == nil {
			o.acquireShard(id, r)
			added = true
		}
		o.applyMove(id, r)
	}
	if added {
		o.loadMachines()
		o.feed.announceOwnership()
	}
}

// acquireShard starts to serve a shard that the table shows as owned by this member.
func (o *shardOwner) acquireShard(id shard.ID, r shard.OwnerRecord) {
	c := o.controller
	ownershipEpoch := sessions.Epoch{Term: r.Owner.Term, Since: c.now, PredecessorUntil: c.now}
	if !r.HandedOver {
		// Without the state service, the previous owner may continue to answer workers for its
		// grace period.
		ownershipEpoch.PredecessorUntil = c.now.Add(c.gracePeriodForLease(c.operator.LeaderLease()))
	}
	o.shards[id] = &ownedShard{epoch: ownershipEpoch}
	c.log.Info("shard ownership acquired", "shard", id, "term", ownershipEpoch.Term, "handed_over", r.HandedOver)
}

// dropShard removes a shard that this member no longer owns, with its machines.
func (o *shardOwner) dropShard(id shard.ID) {
	delete(o.shards, id)
	o.fleetList = slices.DeleteFunc(o.fleetList, func(m *machine) bool {
		if m.shard != id {
			return false
		}
		o.movedAway[m.Name] = id
		o.forgetMachine(m)
		return true
	})
	o.controller.log.Info("shard ownership ended", "shard", id)
}

// forgetMachine drops the state of a machine that is no longer served, except from fleetList.
func (o *shardOwner) forgetMachine(m *machine) {
	m.removed, m.session.Epoch = true, nil
	delete(o.machines, m.Name)
	for _, a := range m.attemptList {
		delete(a.job.heldAttempts, a)
	}
}

// removeMachine drops the state of a machine that is no longer served, and removes it from fleetList.
func (o *shardOwner) removeMachine(m *machine) {
	o.forgetMachine(m)
	o.fleetList = slices.DeleteFunc(o.fleetList, func(k *machine) bool { return k == m })
}

// applyMove stops serving a shard that is to move to another member and begins the handover, or resumes
// serving the shard if the move was cancelled. The state of the shard's workers is kept until the state
// service shows another owner: if this owner resumes serving them with the same fencing tokens, it must
// know what it sent to them.
func (o *shardOwner) applyMove(id shard.ID, r shard.OwnerRecord) {
	owned := o.shards[id]
	if owned.superseded && o.sharding.tableGeneration >= owned.recheckGeneration {
		// The table was read again since the later token was seen, and shows no other owner. A
		// single worker may have seen a later token if the records of two shards contained its
		// machine. Without this check the shard would stay unserved forever.
		owned.setSuperseded(false)
	}
	owned.setMoving(r.Next != nil)
	if !owned.moving || owned.handingOver {
		return
	}
	o.feed.flush() // the leader accepts these observations only while this member is the owner
	owned.handingOver = true
	o.handOverShard(id)
}

// handOverShard makes the member that a shard is to move to its recorded owner.
func (o *shardOwner) handOverShard(id shard.ID) {
	s := o.sharding
	owned := o.shards[id]
	if owned == nil {
		return
	}
	// If the previous owner didn't hand over the shard and its grace period isn't over, it may
	// still answer the workers. The record must show that. If the record didn't, the next owner
	// would treat missing messages of the workers as proof that their tasks have ended while the
	// previous owner renews their leases.
	change := s.table.HandOver(id, s.member, !o.controller.now.Before(owned.epoch.PredecessorUntil))
	if change == nil {
		owned.handingOver = false
		return
	}
	o.controller.store.Commit(&change.Txn, func(r statestore.CommitResult) {
		owned := o.shards[id]
		if !o.alive() || owned == nil {
			return
		}
		owned.handingOver = false
		if r.Status == statestore.CommitApplied {
			s.table.Applied(change, r.Revision)
			s.ownershipChanged()
			return
		}
		// The handover may have been applied or not: the table is read again, and the handover
		// retried if needed.
		s.loadTable()
	})
}

// handleHeartbeat answers, redirects or defers a heartbeat from a machine of a shard that this owner
// serves or served before, and reports whether it did.
func (o *shardOwner) handleHeartbeat(id uint64, r *protocol.Heartbeat, body []byte) bool {
	c := o.controller
	m := o.machines[r.Machine]
	if m == nil || m.session.Epoch == nil {
		return o.redirectMoved(id, r)
	}
	owned := o.shards[m.shard]
	if owned == nil || !owned.served() {
		c.reply(id, 421, protocol.EncodeRedirect(o.nextOwner(m.shard)))
		return true
	}
	if o.jobsKnownAt.IsZero() && !c.store.Unavailable() {
		c.deferHeartbeat(id, body)
		return true
	}
	if !o.holdsLease() {
		c.reply(id, 421, protocol.EncodeRedirect(""))
		return true
	}
	if sessions.TermOf(r.FencingToken) > m.session.Epoch.Term {
		o.newerTokenSeen(m)
		c.reply(id, 421, protocol.EncodeRedirect(""))
		return true
	}
	o.heartbeatsSinceStatus++
	o.answerHeartbeat(m, id, r)
	return true
}

// redirectMoved redirects a heartbeat from a machine whose shard this owner served before to the
// current owner, and reports whether there is one.
func (o *shardOwner) redirectMoved(id uint64, r *protocol.Heartbeat) bool {
	moved, ok := o.movedAway[r.Machine]
	if !ok {
		return false
	}
	name := o.sharding.ownerName(moved)
	if name == "" || name == o.controller.cfg.Name {
		return false
	}
	o.controller.reply(id, 421, protocol.EncodeRedirect(name))
	return true
}

// nextOwner returns the name of the controller that a shard is to move to, or "" if there is no move
// to another controller.
func (o *shardOwner) nextOwner(id shard.ID) string {
	if r, _, ok := o.sharding.table.Record(id); ok && r.Next != nil && r.Next.Name != o.controller.cfg.Name {
		return r.Next.Name
	}
	return ""
}

// loadMachines reads the records of machines and adds the machines of owned shards, so that their
// workers can be answered even before a leader has sent the machines.
func (o *shardOwner) loadMachines() {
	if o.loadingMachines {
		o.reloadMachines = true
		return
	}
	o.loadingMachines, o.reloadMachines = true, false
	o.controller.store.List(records.PrefixMachineGroups, o.alive, func(list statestore.ListResult) {
		o.loadingMachines = false
		for _, it := range list.Items {
			o.loadMachineGroup(it)
		}
		o.controller.resumeDeferred()
		if o.reloadMachines {
			o.loadMachines()
		}
	})
}

// loadMachineGroup adds the machines in a group's record if this member owns their shard.
func (o *shardOwner) loadMachineGroup(it protocol.KeyValue) {
	id := shard.ID(records.ShardOfGroupKey(it.Key))
	owned := o.shards[id]
	if owned == nil {
		return
	}
	var r records.MachineGroup
	if err := protocol.Decode(it.Value, &r); err != nil {
		o.controller.log.Error("machine record unreadable", "key", it.Key, "error", err)
		return
	}
	for _, entry := range r.Machines {
		if o.machines[entry.Name] == nil {
			o.newMachine(shard.Machine{Shard: id, Name: entry.Name, Addr: entry.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot}, owned)
		}
	}
}

// servedTerms returns the shards that are served now, and the terms of their ownerships.
func (o *shardOwner) servedTerms() map[shard.ID]uint64 {
	terms := map[shard.ID]uint64{}
	for id, owned := range o.shards {
		if owned.served() {
			terms[id] = owned.epoch.Term
		}
	}
	return terms
}
