package coordination

import (
	"time"

	"brasskeel/internal/coordination/shard"
)

// ownerLink is how the leader talks to one owner.
type ownerLink struct {
	member shard.Member
	link   *shard.Link
	line   shard.Instructions  // that is being filled
	listed map[*machine]bool   // machines whose complete lists are to be told in it
	told   map[shard.ID]uint64 // shards whose machines were told, and under which term
	due    bool
	// blocked says that more waits to be told until lines are acknowledged.
	blocked bool
	sentAt  time.Time
	heard   time.Time // when it last told something
	status  shard.Status
	late    map[string]*shard.Late // of the parts of a status that came so far
	blind   bool                   // it doesn't reach most of its workers
	untried map[string]bool        // zones whose workers others may reach, of a blind owner

	reach      shard.Reach // that the state service showed last
	reachKnown bool        // its record was looked at before
	reachAt    time.Time   // when it was first seen; zero where it may be old
}

// deliver tells the owner of an attempt's machine what is wanted of it.
func (sl *shardLeader) deliver(a *attempt) {
	k := sl.owner(a.machine.shard)
	if k == nil || k.told[a.machine.shard] == 0 || k.listed[a.machine] {
		return // all of it will be told with the machine
	}
	switch {
	case a.stopRequested && (a.ownerNotified || a.inherited):
		k.line.Stops = append(k.line.Stops, shard.Stop{Task: attemptTask(a), Grace: a.stopGrace.Milliseconds()})
	case a.recorded && !a.ownerNotified && !a.inherited:
		a.ownerNotified = true
		k.line.Runs = append(k.line.Runs, shard.Run{Task: attemptTask(a)})
	default:
		return
	}
	sl.soon(k)
}

// tellMachine tells the owner of a machine that is new to it.
func (sl *shardLeader) tellMachine(m *machine) {
	if k := sl.owner(m.shard); k != nil && k.told[m.shard] != 0 {
		k.listed[m] = true
		sl.soon(k)
	}
}

// tellGone tells the owner of a machine that it is gone.
func (sl *shardLeader) tellGone(m *machine) {
	if k := sl.owner(m.shard); k != nil {
		delete(k.listed, m)
		k.line.Gone = append(k.line.Gone, m.Name)
		sl.soon(k)
	}
}

func (sl *shardLeader) tellForget(t shard.Task) {
	m := sl.l.machines[t.Machine]
	if m == nil {
		return
	}
	if k := sl.owner(m.shard); k != nil {
		k.line.Forgets = append(k.line.Forgets, t)
		sl.soon(k)
	}
}

// soon wants a line sent to an owner.
func (sl *shardLeader) soon(k *ownerLink) {
	if k.due {
		return
	}
	k.due = true
	c := sl.l.controller
	c.after(max(0, k.sentAt.Add(lineEvery).Sub(c.now)), func() {
		k.due = false
		if sl.l.alive() && sl.links[k.member.Node] == k {
			sl.flush(k)
		}
	})
}

// flush sends what there is to tell an owner, as far as lines may be on their way.
func (sl *shardLeader) flush(k *ownerLink) {
	if sl.l.phase == phaseLoading {
		return
	}
	if k.link.NeedsReset() {
		sl.beginAccount(k)
	}
	first := true
	for ; !k.link.Full() && (first || !k.line.Empty() || len(k.listed) > 0); first = false {
		line, room := k.line.Cut(messageBudget)
		if k.line.Empty() && len(k.listed) > 0 {
			line.Machines = append(line.Machines, sl.nextMachines(k, room)...)
		}
		sl.send(k, line)
	}
	k.blocked = !k.line.Empty() || len(k.listed) > 0
}

// beginAccount wants all machines told of that an owner serves.
func (sl *shardLeader) beginAccount(k *ownerLink) {
	k.line, k.listed = shard.Instructions{}, map[*machine]bool{}
	for _, m := range sl.l.fleetList {
		if k.told[m.shard] != 0 && m.served() {
			k.listed[m] = true
		}
	}
}

// nextMachines takes machines that an owner is to be told of, one at the least, as far as
// there is room in a line.
func (sl *shardLeader) nextMachines(k *ownerLink, room int) []shard.Machine {
	var list []shard.Machine
	for _, m := range sl.l.fleetList {
		if !k.listed[m] {
			continue
		}
		size := sl.sizeInLine(m)
		if size > room && (len(list) > 0 || room < messageBudget) {
			return list
		}
		room -= size
		list = append(list, sl.machine(m, k.told[m.shard]))
		delete(k.listed, m)
		if len(k.listed) == 0 {
			return list
		}
	}
	clear(k.listed) // of machines that are gone
	return list
}

// sizeInLine is about how long a machine is in a line.
func (sl *shardLeader) sizeInLine(m *machine) int {
	entry := shard.Machine{Name: m.Name, Addr: m.addr, Type: m.Type, Zone: m.Zone}
	size := entry.Size()
	for _, a := range m.attemptList {
		size += shard.RunSize(m.Name, a.job.ID)
	}
	return size
}

func (sl *shardLeader) send(k *ownerLink, line shard.Instructions) {
	c := sl.l.controller
	content := k.link.NeedsReset() || !line.Empty()
	line.Header = k.link.Next(c.now, content)
	k.sentAt = c.now
	c.sendShardLine(k.member.Node, shardLine{Instructions: &line})
}

// machine is a machine with all attempts that may be on it.
func (sl *shardLeader) machine(m *machine, term uint64) shard.Machine {
	k := shard.Machine{Shard: m.shard, Term: term, Name: m.Name, Addr: m.addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		Up: m.registered || m.inherited && !sl.l.booting(m)}
	for _, a := range m.sortedAttempts() {
		if !a.recorded {
			continue
		}
		k.Runs = append(k.Runs, shard.Run{Task: attemptTask(a), New: !a.ownerNotified && !a.inherited, Stop: a.stopRequested, Grace: a.stopGrace.Milliseconds()})
		a.ownerNotified = true
	}
	return k
}
