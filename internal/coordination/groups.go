package coordination

import (
	"encoding/json"
	"slices"
	"time"

	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// group is machines of one kind that share a record. A fleet comes by the hundred,
// and nothing starts on a machine before its record is written: with a record for
// each, the first placements waited for seconds behind those of booting machines.
//
// A group's machines are fixed once it is written for the first time and only grow
// fewer, each after it was proven gone, so that a write that is applied late tells of
// too many machines and never of too few.
type group struct {
	key       string
	machines  []*machine
	shard     shard.ID // in its key, so that it is the same for ever; 0: none
	written   bool     // for the first time, or about to be
	applied   bool     // it is there
	changed   bool     // waits to be written again
	due       time.Time
	typ, zone string
	spot      bool
}

// groupDelay lets changes of a group be written together: machines that are gone, and
// the addresses of those that come up. The next leader asks them there at once, without
// the cloud's list, which it may not get.
const groupDelay = 5 * time.Second

// putMachine wants a machine recorded.
func (g *journal) putMachine(m *machine) {
	for _, k := range g.puts {
		if !k.written && k.typ == m.Type && k.zone == m.Zone && k.spot == m.Spot && len(k.machines) < g.machinesPerGroup() {
			k.add(m)
			return
		}
	}
	g.groups++
	id := g.l.shardForNewMachine(m)
	// Never used again: terms are unique, and so is the counter within one.
	k := &group{key: records.KeyMachines(int(id), g.l.term, g.groups), shard: id, typ: m.Type, zone: m.Zone, spot: m.Spot}
	k.add(m)
	g.puts = append(g.puts, k)
}

func (k *group) add(m *machine) {
	k.machines = append(k.machines, m)
	m.group, m.shard = k, k.shard
}

// machinesPerGroup is how many machines share a record: fewer where shards are to have
// about as many machines each.
func (g *journal) machinesPerGroup() int {
	most := records.MachinesPerRecord(g.l.controller.cfg.ValueBytes)
	if g.l.shards != nil {
		return min(most, shardedGroup)
	}
	return most
}

// shardedGroup is how many machines of a shard share a record at the most.
const shardedGroup = 12

// removeMachine takes a machine that is gone out of its record.
func (g *journal) removeMachine(m *machine) {
	k := m.group
	if k == nil {
		return
	}
	m.group = nil
	k.machines = slices.DeleteFunc(k.machines, func(o *machine) bool { return o == m })
	switch {
	case !k.written: // it will be without it
	case len(k.machines) == 0:
		g.remove(k.key)
	default:
		g.changeGroup(k)
	}
}

// changeGroup wants a group's record written again some time.
func (g *journal) changeGroup(k *group) {
	if k != nil && k.written && !k.changed {
		k.changed, k.due = true, g.l.controller.now.Add(groupDelay)
		g.changed = append(g.changed, k)
	}
}

// nextGroup is the next group to be written, nil when none is.
func (g *journal) nextGroup() *group {
	for len(g.puts) > 0 {
		k := g.puts[0]
		g.puts = g.puts[1:]
		if len(k.machines) > 0 {
			k.written = true
			return k
		}
	}
	for len(g.changed) > 0 && !g.l.controller.now.Before(g.changed[0].due) {
		k := g.changed[0]
		g.changed = g.changed[1:]
		k.changed = false
		if len(k.machines) > 0 { // else its record is being removed
			return k
		}
	}
	return nil
}

func (k *group) record() json.RawMessage {
	r := records.Machines{Type: k.typ, Zone: k.zone, Spot: k.spot}
	for _, m := range k.machines {
		r.Machines = append(r.Machines, records.Machine{Name: m.Name, Rented: records.Millis(m.provisionedAt), Addr: m.addr})
	}
	return records.Encode(r)
}

// groupWritten notes that a group's record was applied.
func (l *leader) groupWritten(k *group) {
	first := !k.applied
	k.applied = true
	for _, m := range k.machines {
		if !m.recorded {
			m.recorded = true
			l.requestPlacement()
		}
		if first && l.shards != nil {
			l.shards.machineAdded(m)
		}
	}
}

// loadGroup takes in a record of machines.
func (l *leader) loadGroup(it protocol.KeyValue) {
	var r records.Machines
	if err := protocol.Decode(it.Value, &r); err != nil {
		l.controller.log.Error("unreadable record of machines", "key", it.Key, "err", err)
		return
	}
	if name, ok := cutPrefix(it.Key, records.PrefixMachines); ok && len(r.Machines) == 0 {
		r.Machines = []records.Machine{{Name: name, Rented: r.Rented}}
	}
	k := &group{key: it.Key, shard: shard.ID(records.ShardOfMachines(it.Key)), written: true, applied: true, typ: r.Type, zone: r.Zone, spot: r.Spot}
	for _, rented := range r.Machines {
		m := l.machines[rented.Name]
		if m == nil {
			m = l.newMachine(rented.Name, r.Type, r.Zone, r.Spot)
		}
		m.recorded, m.inherited = true, true
		if m.addr == "" {
			m.addr = rented.Addr
		}
		at := time.UnixMilli(rented.Rented)
		if at.After(l.controller.now) {
			at = l.controller.now
		}
		// Steady time only from here on.
		m.provisionedAt = l.controller.now.Add(-l.controller.now.Round(0).Sub(at))
		if m.group == nil {
			k.add(m)
		}
	}
	if len(k.machines) == 0 {
		l.journal.remove(k.key) // all of them stand in other records
	}
}
