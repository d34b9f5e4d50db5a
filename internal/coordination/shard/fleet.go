package shard

import (
	"iter"
	"slices"
	"time"
)

// Fleet yields the shard and the zone of each machine; the shard is 0 for a machine without one.
type Fleet = iter.Seq2[ID, string]

// ForNewMachine returns the shard, from 1 to count, for a new machine of a zone: the one with the
// fewest machines among the shards without machines of other zones, or among all if there is no such
// shard.
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

// PlannerShards returns the shards that have a record, and those from 1 to count, as input of the
// planner. A shard whose record can't be parsed is omitted until ended reports that any owner of
// the shard has stopped serving.
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

// countMachines sets the number of machines, and the zone that has the most of them.
func (s *Shard) countMachines(zones map[string]int) {
	for zone, count := range zones {
		s.Machines += count
		if largest := zones[s.Zone]; s.Zone == "" || count > largest || count == largest && zone < s.Zone {
			s.Zone = zone
		}
	}
}

// UnreadableRecords tracks since when records of shards have been unreadable.
type UnreadableRecords struct{ seen map[ID]unreadableRecord }

type unreadableRecord struct {
	version uint64
	since   time.Time
}

// NewUnreadableRecords returns an empty tracker.
func NewUnreadableRecords() *UnreadableRecords {
	return &UnreadableRecords{seen: map[ID]unreadableRecord{}}
}

// Age returns how long ago a version of a shard's record that can't be parsed was first seen. The
// first call for a version records the time.
func (u *UnreadableRecords) Age(now time.Time, id ID, version uint64) time.Duration {
	r, ok := u.seen[id]
	if !ok || r.version != version {
		r = unreadableRecord{version, now}
		u.seen[id] = r
	}
	return now.Sub(r.since)
}
