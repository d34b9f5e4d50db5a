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

// shardOwner serves the workers of shards for a leader that may be another controller. It
// starts from the records: which shards are its own, and which machines are theirs. What
// may run there it learns from the leader, and tells it in turn what the workers show.
type shardOwner struct {
	workerSessions
	sharding              *sharding
	shards                map[shard.ID]*ownedShard
	movedAway             map[string]shard.ID // machines of shards that went to somebody else
	feed                  *changeFeed         // to the leader
	loadingMachines       bool                // the machines' records are being read
	reloadMachines        bool                // and are to be read once more: a shard was taken meanwhile
	heartbeatsSinceStatus int                 // since the last status
	reachabilityWrittenAt time.Time           // when its member record last showed its reach
	reachabilitySequence  uint64              // times that it did
}

// ownedShard is a shard that this owner serves.
type ownedShard struct {
	epoch             sessions.Epoch
	moving            bool // nothing is answered or sent any more
	handingOver       bool // the release is being written
	superseded        bool // a worker has seen a later owner's token
	recheckGeneration int  // generation of the table that tells whether there is one
}

func (h *ownedShard) served() bool { return !h.moving && !h.superseded }

// setMoving and setSuperseded pause the ownership epoch, or let it go on.
func (h *ownedShard) setMoving(on bool) {
	h.moving = on
	h.epoch.Paused = !h.served()
}

func (h *ownedShard) setSuperseded(on bool) {
	h.superseded = on
	h.epoch.Paused = !h.served()
}

func newShardOwner(s *sharding, r leadership.Lease) *shardOwner {
	o := &shardOwner{workerSessions: newWorkerSessions(s.controller, r), sharding: s, shards: map[shard.ID]*ownedShard{}, movedAway: map[string]shard.ID{}}
	o.listener, o.probesNewWorkers = o, true
	o.feed = newChangeFeed(o)
	o.loadJobs(o.watchJobs)
	o.every(detectorInterval, o.detectSilentWorkers)
	return o
}

// applyTable takes and gives up shards as the table says.
func (o *shardOwner) applyTable() {
	s := o.sharding
	for id, h := range o.shards {
		r, _, ok := s.table.Record(id)
		if !ok || r.Owner.Member != s.member || r.Owner.Term != h.epoch.Term {
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

// acquireShard begins to serve a shard.
func (o *shardOwner) acquireShard(id shard.ID, r shard.OwnerRecord) {
	c := o.controller
	t := sessions.Epoch{Term: r.Owner.Term, Since: c.now, PredecessorUntil: c.now}
	if !r.HandedOver {
		// Whoever owned it before may go on without the state service for its grace.
		t.PredecessorUntil = c.now.Add(c.gracePeriodForLease(c.operator.LeaderLease()))
	}
	o.shards[id] = &ownedShard{epoch: t}
	c.log.Info("shard ownership acquired", "shard", id, "term", t.Term, "handed_over", r.HandedOver)
}

// dropShard forgets a shard that is somebody else's.
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

// forgetMachine drops what is known of a machine that isn't served any more.
func (o *shardOwner) forgetMachine(m *machine) {
	m.removed, m.session.Epoch = true, nil
	delete(o.machines, m.Name)
	for _, a := range m.attemptList {
		delete(a.job.heldAttempts, a)
	}
}

func (o *shardOwner) removeMachine(m *machine) {
	o.forgetMachine(m)
	o.fleetList = slices.DeleteFunc(o.fleetList, func(k *machine) bool { return k == m })
}

// applyMove stops serving a shard that is to move, and goes on if it isn't any more.
// What is known of its workers is kept until the state service says that it is another's:
// resumed under the same token, it must know what it sent.
func (o *shardOwner) applyMove(id shard.ID, r shard.OwnerRecord) {
	h := o.shards[id]
	if h.superseded && o.sharding.tableGeneration >= h.recheckGeneration {
		// The table was read since: nobody took the shard. One worker alone has seen a later
		// token, as of a machine that came into two shards' records; its shard went unserved
		// for ever.
		h.setSuperseded(false)
	}
	h.setMoving(r.Next != nil)
	if !h.moving || h.handingOver {
		return
	}
	o.feed.flush() // what was seen until now is still this owner's to tell
	h.handingOver = true
	o.handOverShard(id)
}

// handOverShard makes the next member the owner.
func (o *shardOwner) handOverShard(id shard.ID) {
	s := o.sharding
	h := o.shards[id]
	if h == nil {
		return
	}
	// An owner that took over from one that did not release, and gives the shard away before
	// that one's grace is over, can't say that nobody answers its workers: the next owner
	// took their silence for a proof while the first of the three went on answering them.
	change := s.table.HandOver(id, s.member, !o.controller.now.Before(h.epoch.PredecessorUntil))
	if change == nil {
		h.handingOver = false
		return
	}
	o.controller.store.Commit(&change.Txn, func(r statestore.CommitResult) {
		h := o.shards[id]
		if !o.alive() || h == nil {
			return
		}
		h.handingOver = false
		if r.Status == statestore.CommitApplied {
			s.table.Applied(change, r.Revision)
			s.ownershipChanged()
			return
		}
		// It may have been applied: what stands there decides, and is released again.
		s.loadTable()
	})
}

// handleHeartbeat answers a report of a machine that this owner serves, and reports whether it did.
func (o *shardOwner) handleHeartbeat(id uint64, r *protocol.Heartbeat, body []byte) bool {
	c := o.controller
	m := o.machines[r.Machine]
	if m == nil || m.session.Epoch == nil {
		return o.redirectMoved(id, r)
	}
	h := o.shards[m.shard]
	if h == nil || !h.served() {
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

// redirectMoved names the owner of a machine that was served here lately.
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

// nextOwner is whom a shard moves to, by name.
func (o *shardOwner) nextOwner(id shard.ID) string {
	if r, _, ok := o.sharding.table.Record(id); ok && r.Next != nil && r.Next.Name != o.controller.cfg.Name {
		return r.Next.Name
	}
	return ""
}

// loadMachines reads the records of machines, for those of shards that were taken: they are
// answered although no leader has told of them.
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

func (o *shardOwner) loadMachineGroup(it protocol.KeyValue) {
	id := shard.ID(records.ShardOfGroupKey(it.Key))
	h := o.shards[id]
	if h == nil {
		return
	}
	var r records.MachineGroup
	if err := protocol.Decode(it.Value, &r); err != nil {
		o.controller.log.Error("machine record unreadable", "key", it.Key, "error", err)
		return
	}
	for _, k := range r.Machines {
		if o.machines[k.Name] == nil {
			o.newMachine(shard.Machine{Shard: id, Name: k.Name, Addr: k.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot}, h)
		}
	}
}

// servedTerms are the shards that are served now, and their terms.
func (o *shardOwner) servedTerms() map[shard.ID]uint64 {
	grants := map[shard.ID]uint64{}
	for id, h := range o.shards {
		if h.served() {
			grants[id] = h.epoch.Term
		}
	}
	return grants
}
