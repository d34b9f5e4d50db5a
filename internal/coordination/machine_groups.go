package coordination

import (
	"encoding/json"
	"slices"
	"time"

	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// machineGroup is some machines of one kind that share a record. A fleet comes by the hundred,
// and nothing starts on a machine before its record is written: with a record for
// each, the first placements waited for seconds behind those of booting machines.
//
// A group's machines are fixed once it is written for the first time and only grow
// fewer, each after it was proven gone, so that a write that is applied late tells of
// too many machines and never of too few.
type machineGroup struct {
	key               string
	machines          []*machine
	shard             shard.ID // in the key, so that it never changes; 0: none
	stage             groupStage
	rewriteQueued     bool // waits to be written again, by due
	rewriteDue        time.Time
	machineType, zone string
	spot              bool
}

// groupStage is how far the first write of a group's record has come.
type groupStage uint8

const (
	groupOpen   groupStage = iota // machines may still be added
	groupSealed                   // sent for the first time, or about to be
	groupStored                   // it is in the store
)

// groupRewriteDelay lets changes of a group be written together: machines that are gone, and
// the addresses of those that come up. The next leader asks them there at once, without
// the cloud's list, which it may not get.
const groupRewriteDelay = 5 * time.Second

// recordMachine wants a machine recorded.
func (w *recordWriter) recordMachine(m *machine) {
	for _, group := range w.newGroups {
		if group.accepts(m) && len(group.machines) < w.machinesPerGroup() {
			group.add(m)
			return
		}
	}
	w.groupCount++
	id := w.leader.shardForNewMachine(m)
	// Never used again: terms are unique, and so is the counter within one.
	group := &machineGroup{key: records.KeyMachineGroup(int(id), w.leader.term, w.groupCount), shard: id, machineType: m.Type, zone: m.Zone, spot: m.Spot}
	group.add(m)
	w.newGroups = append(w.newGroups, group)
}

// accepts reports whether a machine may be added to the group as far as its kind goes.
func (g *machineGroup) accepts(m *machine) bool {
	return g.stage == groupOpen && g.machineType == m.Type && g.zone == m.Zone && g.spot == m.Spot
}

// stored reports whether the group's record is in the store.
func (g *machineGroup) stored() bool { return g.stage == groupStored }

// add puts a machine into the group.
func (g *machineGroup) add(m *machine) {
	g.machines = append(g.machines, m)
	m.group, m.shard = g, g.shard
}

// machinesPerGroup is how many machines share a record: fewer where shards are to have
// about as many machines each.
func (w *recordWriter) machinesPerGroup() int {
	most := records.MachinesPerGroup(w.leader.controller.cfg.ValueBytes)
	if w.leader.shards != nil {
		return min(most, maxMachinesPerShardGroup)
	}
	return most
}

// maxMachinesPerShardGroup is how many machines of a shard share a record at the most.
const maxMachinesPerShardGroup = 12

// removeMachineFromRecord takes a machine that is gone out of its record.
func (w *recordWriter) removeMachineFromRecord(m *machine) {
	group := m.group
	if group == nil {
		return
	}
	m.group = nil
	group.machines = slices.DeleteFunc(group.machines, func(other *machine) bool { return other == m })
	switch {
	case group.stage == groupOpen: // it will be without it
	case len(group.machines) == 0:
		w.deleteKey(group.key)
	default:
		w.scheduleGroupRewrite(group)
	}
}

// scheduleGroupRewrite wants a group's record written again some time.
func (w *recordWriter) scheduleGroupRewrite(group *machineGroup) {
	if group != nil && group.stage != groupOpen && !group.rewriteQueued {
		group.rewriteQueued, group.rewriteDue = true, w.leader.controller.now.Add(groupRewriteDelay)
		w.changedGroups = append(w.changedGroups, group)
	}
}

// nextGroupToWrite is the next group to be written, nil when none is.
func (w *recordWriter) nextGroupToWrite() *machineGroup {
	for len(w.newGroups) > 0 {
		group := w.newGroups[0]
		w.newGroups = w.newGroups[1:]
		if len(group.machines) > 0 {
			group.stage = max(group.stage, groupSealed)
			return group
		}
	}
	for len(w.changedGroups) > 0 && !w.leader.controller.now.Before(w.changedGroups[0].rewriteDue) {
		group := w.changedGroups[0]
		w.changedGroups = w.changedGroups[1:]
		group.rewriteQueued = false
		if len(group.machines) > 0 { // else its record is being removed
			return group
		}
	}
	return nil
}

// encode makes the group's record.
func (g *machineGroup) encode() json.RawMessage {
	r := records.MachineGroup{Type: g.machineType, Zone: g.zone, Spot: g.spot}
	for _, m := range g.machines {
		r.Machines = append(r.Machines, records.MachineEntry{Name: m.Name, RentedAt: records.UnixMillis(m.provisionedAt), Addr: m.addr})
	}
	return records.Encode(r)
}

// groupRecorded notes that a group's record was applied.
func (l *leader) groupRecorded(group *machineGroup) {
	first := group.stage != groupStored
	group.stage = groupStored
	for _, m := range group.machines {
		if !m.recorded {
			m.recorded = true
			l.requestPlacement()
		}
		if first && l.shards != nil {
			l.shards.machineAdded(m)
		}
	}
}

// loadMachineGroup takes in a record of machines.
func (l *leader) loadMachineGroup(item protocol.KeyValue) {
	var r records.MachineGroup
	if err := protocol.Decode(item.Value, &r); err != nil {
		l.controller.log.Error("machine record unreadable", "key", item.Key, "error", err)
		return
	}
	if name, ok := cutPrefix(item.Key, records.PrefixMachineGroups); ok && len(r.Machines) == 0 {
		r.Machines = []records.MachineEntry{{Name: name, RentedAt: r.LegacyRentedAt}}
	}
	group := &machineGroup{key: item.Key, shard: shard.ID(records.ShardOfGroupKey(item.Key)), stage: groupStored,
		machineType: r.Type, zone: r.Zone, spot: r.Spot}
	for i := range r.Machines {
		if m := l.loadMachine(&r, &r.Machines[i]); m.group == nil {
			group.add(m)
		}
	}
	if len(group.machines) == 0 {
		l.writer.deleteKey(group.key) // all of them stand in other records
	}
}

// loadMachine takes in a machine that is on record.
func (l *leader) loadMachine(group *records.MachineGroup, entry *records.MachineEntry) *machine {
	m := l.machines[entry.Name]
	if m == nil {
		m = l.newMachine(entry.Name, group.Type, group.Zone, group.Spot)
	}
	m.recorded, m.inherited = true, true
	if m.addr == "" {
		m.addr = entry.Addr
	}
	now := l.controller.now
	rentedAt := time.UnixMilli(entry.RentedAt)
	if rentedAt.After(now) {
		rentedAt = now
	}
	// Steady time only from here on.
	m.provisionedAt = now.Add(-now.Round(0).Sub(rentedAt))
	return m
}
