package shard

import (
	"iter"
	"slices"
	"time"
)

// Fleet gives the shard and the zone of each machine, 0 for one that is in no shard.
type Fleet = iter.Seq2[ID, string]

// ForNewMachine is the shard of 1 to count that a new machine of a zone belongs in: the one with
// fewest machines among those with machines of that zone only, of all where there is none.
func ForNewMachine(zone string, count int, fleet Fleet) ID {
	machines, foreign := map[ID]int{}, map[ID]bool{}
	for id, other := range fleet {
		machines[id]++
		if other != zone {
			foreign[id] = true
		}
	}
	best := ID(1)
	for id := ID(2); id <= ID(count); id++ {
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

// PlannerShards gives the shards that have a record, and those of 1 to count, as the planner sees
// them. One whose record can't be read is left out until ended says that whoever owned it has
// stopped serving.
func (t *Table) PlannerShards(count int, fleet Fleet, ended func(id ID, version uint64) bool) []Shard {
	zones := map[ID]map[string]int{}
	for id, zone := range fleet {
		if zones[id] == nil {
			zones[id] = map[string]int{}
		}
		zones[id][zone]++
	}
	ids := t.IDs()
	for id := ID(1); id <= ID(count); id++ {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var list []Shard
	for _, id := range slices.Compact(ids) {
		s := Shard{ID: id}
		s.countMachines(zones[id])
		if version, unreadable := t.Unreadable(id); unreadable {
			s.Unowned = true
			if ended(id, version) {
				list = append(list, s)
			}
			continue
		}
		r, _, ok := t.Record(id)
		s.Owner, s.Moving = r.Owner.Member, r.Next != nil
		s.Unowned = !ok || !t.Alive(r.Owner.Member)
		list = append(list, s)
	}
	return list
}

// countMachines sets the number of machines, and the zone of most of them.
func (s *Shard) countMachines(zones map[string]int) {
	for zone, count := range zones {
		s.Machines += count
		if most := zones[s.Zone]; s.Zone == "" || count > most || count == most && zone < s.Zone {
			s.Zone = zone
		}
	}
}

// UnreadableRecords remembers since when records can't be read.
type UnreadableRecords struct{ seen map[ID]unreadableRecord }

type unreadableRecord struct {
	version uint64
	since   time.Time
}

// NewUnreadableRecords remembers none.
func NewUnreadableRecords() *UnreadableRecords {
	return &UnreadableRecords{seen: map[ID]unreadableRecord{}}
}

// Age is for how long a shard's record has stood at a version that can't be read.
func (u *UnreadableRecords) Age(now time.Time, id ID, version uint64) time.Duration {
	r, ok := u.seen[id]
	if !ok || r.version != version {
		r = unreadableRecord{version, now}
		u.seen[id] = r
	}
	return now.Sub(r.since)
}
