package coordination

import (
	"encoding/json"
	"slices"
	"time"

	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// machineGroup is a group of machines of the same type, zone and purchase option that share a
// record. Hundreds of machines are provisioned at a time, and no task starts on a machine before its
// record is written: with a record for each machine, the first placements waited for seconds until
// the records of booting machines were written.
//
// From its first write on, machines are only removed from a group, each after it was proven
// terminated. A write that is applied late therefore lists too many machines, never too few.
type machineGroup struct {
	key               string
	machines          []*machine
	shard             shard.ID // part of the key, so it never changes; 0: none
	stage             groupStage
	rewriteQueued     bool // queued to be rewritten, no earlier than rewriteDue
	rewriteDue        time.Time
	machineType, zone string
	spot              bool
}

// groupStage is the progress of the first write of a group's record.
type groupStage uint8

const (
	groupOpen   groupStage = iota // machines may still be added
	groupSealed                   // the first write is in flight or queued; no machines are added
	groupStored                   // the record is in the store
)

// groupRewriteDelay lets several changes of a group share one write: the removal of terminated
// machines, and the addresses of workers that have registered. The next leader probes the recorded
// addresses at once, without the cloud's inventory, which may not be available.
const groupRewriteDelay = 5 * time.Second

// recordMachine queues a machine to be recorded: in a queued group that accepts it and has room, or
// else in a new one.
func (w *recordWriter) recordMachine(m *machine) {
	for _, group := range w.newGroups {
		if group.accepts(m) && len(group.machines) < w.machinesPerGroup() {
			group.add(m)
			return
		}
	}
	w.groupCount++
	id := w.leader.shardForNewMachine(m)
	// The key is never reused: terms are unique, and so is the counter within a term.
	group := &machineGroup{key: records.KeyMachineGroup(int(id), w.leader.term, w.groupCount), shard: id, machineType: m.Type, zone: m.Zone, spot: m.Spot}
	group.add(m)
	w.newGroups = append(w.newGroups, group)
}

// accepts reports whether the group is open and holds machines of this machine's type, zone and
// purchase option. It doesn't check the size of the group.
func (g *machineGroup) accepts(m *machine) bool {
	return g.stage == groupOpen && g.machineType == m.Type && g.zone == m.Zone && g.spot == m.Spot
}

// stored reports whether the group's record is in the store.
func (g *machineGroup) stored() bool { return g.stage == groupStored }

// add adds a machine to the group, and thereby to the group's shard.
func (g *machineGroup) add(m *machine) {
	g.machines = append(g.machines, m)
	m.group, m.shard = g, g.shard
}

// machinesPerGroup returns how many machines may share a record. With shards the groups are
// smaller, so that all shards can have about the same number of machines.
func (w *recordWriter) machinesPerGroup() int {
	limit := records.MachinesPerGroup(w.leader.controller.cfg.MaxValueBytes)
	if w.leader.shards != nil {
		return min(limit, maxMachinesPerShardGroup)
	}
	return limit
}

// maxMachinesPerShardGroup is the maximum number of machines that share a record with sharding. A
// group belongs to one shard as a whole.
const maxMachinesPerShardGroup = 12

// removeMachineFromRecord removes a terminated machine from its group, and from the group's record
// with the next rewrite. The record of an empty group is deleted.
func (w *recordWriter) removeMachineFromRecord(m *machine) {
	group := m.group
	if group == nil {
		return
	}
	m.group = nil
	group.machines = slices.DeleteFunc(group.machines, func(other *machine) bool { return other == m })
	switch {
	case group.stage == groupOpen: // the first write won't include the machine
	case len(group.machines) == 0:
		w.deleteKey(group.key)
	default:
		w.scheduleGroupRewrite(group)
	}
}

// scheduleGroupRewrite queues a group's record to be rewritten after groupRewriteDelay, unless it is
// already queued. The first write of an open group will contain the change anyway.
func (w *recordWriter) scheduleGroupRewrite(group *machineGroup) {
	if group != nil && group.stage != groupOpen && !group.rewriteQueued {
		group.rewriteQueued, group.rewriteDue = true, w.leader.controller.now.Add(groupRewriteDelay)
		w.changedGroups = append(w.changedGroups, group)
	}
}

// nextGroupToWrite returns the next group to write, or nil if there is none: new groups first,
// then changed ones that are due.
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
		if len(group.machines) > 0 { // the record of an empty group is deleted instead
			return group
		}
	}
	return nil
}

// encode returns the group's record.
func (g *machineGroup) encode() json.RawMessage {
	r := records.MachineGroup{Type: g.machineType, Zone: g.zone, Spot: g.spot}
	for _, m := range g.machines {
		r.Machines = append(r.Machines, records.MachineEntry{Name: m.Name, ProvisionedAt: records.UnixMillis(m.provisionedAt), Addr: m.addr})
	}
	return records.Encode(r)
}

// groupRecorded handles a write of a group that was applied: its machines may now get tasks, and
// with sharding the owner of the group's shard is notified of them.
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

// loadMachineGroup loads the record of a group of machines.
func (l *leader) loadMachineGroup(item protocol.KeyValue) {
	var r records.MachineGroup
	if err := protocol.Decode(item.Value, &r); err != nil {
		l.controller.log.Error("machine record unreadable", "key", item.Key, "error", err)
		return
	}
	if name, ok := cutPrefix(item.Key, records.PrefixMachineGroups); ok && len(r.Machines) == 0 {
		// A record of a single machine, as earlier versions wrote it: the key ends with the
		// machine's name.
		r.Machines = []records.MachineEntry{{Name: name, ProvisionedAt: r.LegacyProvisionedAt}}
	}
	group := &machineGroup{key: item.Key, shard: shard.ID(records.ShardOfGroupKey(item.Key)), stage: groupStored,
		machineType: r.Type, zone: r.Zone, spot: r.Spot}
	for i := range r.Machines {
		if m := l.loadMachine(&r, &r.Machines[i]); m.group == nil {
			group.add(m)
		}
	}
	if len(group.machines) == 0 {
		l.writer.deleteKey(group.key) // all of its machines are in other records
	}
}

// loadMachine loads a machine from its group's record. The machine may be known already, from a
// heartbeat or from another record.
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
	provisionedAt := time.UnixMilli(entry.ProvisionedAt)
	if provisionedAt.After(now) { // the clocks of controllers differ
		provisionedAt = now
	}
	// The age so far is measured by the wall clock, from here on by the monotonic clock.
	m.provisionedAt = now.Add(-now.Round(0).Sub(provisionedAt))
	return m
}
