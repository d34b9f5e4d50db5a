package coordination

import (
	"slices"
	"time"

	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
)

// shardLeader is the leader's part in shards: it decides who owns them, tells owners what
// is to run, and takes what they saw.
type shardLeader struct {
	l        *leader
	s        *sharding
	count    int  // of shards that there are to be
	retiring bool // they are to be given up: the leader is to serve all machines again
	planner  *shard.Planner
	links    map[string]*ownerLink   // by node
	heard    map[shard.ID]time.Time  // since when the owner of a shard is heard without a break
	moves    map[shard.ID]*shardMove // under way
	writing  bool                    // a change of owners is under way
	oddSince map[shard.ID]time.Time  // since when a record can't be read
	oddSeen  map[shard.ID]uint64     // that record's version
}

// ownerQuiet is after how long without a line an owner's word on its workers counts for
// nothing.
const ownerQuiet = 2500 * time.Millisecond

func newShardLeader(l *leader, s *sharding, retiring bool) *shardLeader {
	c := 1
	if sh := l.controller.op.Sharding; sh != nil {
		c = sh.ShardsPerController * (1 + len(l.controller.cfg.Peers))
	}
	return &shardLeader{l: l, s: s, count: c, retiring: retiring, planner: shard.NewPlanner(), links: map[string]*ownerLink{}, moves: map[shard.ID]*shardMove{},
		heard: map[shard.ID]time.Time{}, oddSince: map[shard.ID]time.Time{}, oddSeen: map[shard.ID]uint64{}}
}

// changed acts on new owners and members.
func (sl *shardLeader) changed() {
	c := sl.l.controller
	for _, m := range sl.s.table.Members() {
		k := sl.links[m.Node]
		if k == nil || k.member != m.Member {
			k = &ownerLink{member: m.Member, link: shard.NewLink(shard.Epoch{Term: sl.l.term, Member: m.Member}),
				listed: map[*machine]bool{}, told: map[shard.ID]uint64{}, heard: c.now}
			sl.links[m.Node] = k
			sl.soon(k)
		}
		k.noteReach(c.now, m)
		k.reachKnown = true
	}
	for node := range sl.links {
		if m, _ := sl.s.table.Member(node); m.Node == "" {
			delete(sl.links, node)
		}
	}
	for _, id := range sl.s.table.IDs() {
		if sl.owner(id) == nil {
			delete(sl.heard, id)
		}
	}
	sl.followMoves()
	sl.plan()
}

// owner is the link to who serves a shard, nil when nobody does.
func (sl *shardLeader) owner(id shard.ID) *ownerLink {
	grant, ok := sl.s.table.Owner(id)
	if !ok {
		return nil
	}
	if k := sl.links[grant.Node]; k != nil && k.member == grant.Member {
		return k
	}
	return nil
}

// heardSince is since when the owner of a machine's shard has been heard without a break;
// without one, silence of the machine says nothing.
func (sl *shardLeader) heardSince(m *machine) (time.Time, bool) {
	since, ok := sl.heard[m.shard]
	if ok && sl.relieved(m) {
		return time.Time{}, false
	}
	k := sl.owner(m.shard)
	// An owner that has yet to say that it serves the shard has asked nobody: what is known of
	// its machines is the word of the one before, which may have lost them.
	if !ok || k == nil || k.told[m.shard] == 0 || sl.l.controller.now.Sub(k.heard) > ownerQuiet {
		delete(sl.heard, m.shard)
		return time.Time{}, false
	}
	return since, true
}

// redirect tells a worker who serves it.
func (sl *shardLeader) redirect(id uint64, r *protocol.Report, body []byte) {
	l, c := sl.l, sl.l.controller
	if _, ok := l.terminated[r.Machine]; ok && l.machines[r.Machine] == nil {
		c.reply(id, 503, protocol.ErrorAnswer("the machine was returned"))
		return
	}
	m := l.machines[r.Machine]
	if m == nil {
		m = l.adoptMachine(r.Machine, r.Type, r.Zone, r.Spot, 0)
	}
	name := sl.s.ownerName(m.shard)
	if name == "" || name == c.cfg.Name {
		c.deferHeartbeat(id, body) // it is about to be served
		return
	}
	c.reply(id, 421, protocol.Redirect(name))
}

// served reports whether a machine's shard is on record, so that an owner may be told.
func (m *machine) served() bool {
	return m.shard != 0 && m.group != nil && m.group.applied && m.recorded
}

// ownersLate reports whether an owner told lately that its timers fire too late.
func (sl *shardLeader) ownersLate() bool {
	for _, k := range sl.links {
		if k.status.Load.Lag > lagOverloaded && sl.l.controller.now.Sub(k.heard) <= overloadMemory {
			return true
		}
	}
	return false
}

// step is the regular turn: it watches the links and plans.
func (sl *shardLeader) step() {
	if !sl.s.read || sl.l.phase == phaseLoading {
		return
	}
	sl.l.checkReconciled()
	for _, node := range sl.nodes() {
		k := sl.links[node]
		k.link.Check(sl.l.controller.now)
		if k.link.NeedsReset() || k.link.AckDue() {
			sl.soon(k)
		}
	}
	sl.plan()
}

func (sl *shardLeader) nodes() []string {
	var nodes []string
	for node := range sl.links {
		nodes = append(nodes, node)
	}
	slices.Sort(nodes)
	return nodes
}
