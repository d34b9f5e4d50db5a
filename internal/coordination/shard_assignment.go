package coordination

import (
	"maps"
	"slices"

	"brasskeel/internal/coordination/shard"
)

// shardForNewMachine is the shard that a new machine's record is to be in, 0 for none: the smallest
// one with machines of its zone only.
func (l *leader) shardForNewMachine(m *machine) shard.ID {
	if l.shards == nil {
		return 0
	}
	machines, foreign := map[shard.ID]int{}, map[shard.ID]bool{}
	for _, k := range l.fleetList {
		machines[k.shard]++
		if k.Zone != m.Zone {
			foreign[k.shard] = true
		}
	}
	best := shard.ID(1)
	for id := shard.ID(2); id <= shard.ID(l.shards.count); id++ {
		if foreign[id] != foreign[best] {
			if foreign[best] {
				best = id
			}
			continue
		}
		if machines[id] < machines[best] {
			best = id
		}
	}
	return best
}

// assignUnshardedMachines moves machines whose record names no shard to records that do. Where both
// stand, the one with a shard counts.
func (l *leader) assignUnshardedMachines() {
	old := map[string]bool{}
	for _, m := range l.fleetList {
		if m.group == nil || m.group.shard != 0 {
			continue
		}
		if m.group.applied && !old[m.group.key] {
			old[m.group.key] = true
		}
		l.journal.putMachine(m)
	}
	for _, key := range slices.Sorted(maps.Keys(old)) {
		l.journal.remove(key)
	}
}
