package leadership

import (
	"encoding/json"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// view is what the store last showed of the leadership.
type view struct {
	leader        records.Leader
	leaderVersion uint64 // 0: nobody leads
	leaderLease   uint64 // 0: not known
	term          uint64
	termVersion   uint64
	preferredZone string
	sharded       bool // machines are divided into shards
}

// replace takes a list of all keys. It reports whether they show a leader of a term that
// wasn't known, which every leader is to a view that was just emptied. The preferred zone
// stays when no key tells of one.
func (v *view) replace(items []protocol.KeyValue) (newLeader bool) {
	*v = view{preferredZone: v.preferredZone}
	for _, it := range items {
		newLeader = v.put(it.Key, it.Value, it.Version) || newLeader
		if it.Key == records.KeyLeader {
			v.leaderLease = it.Lease
		}
	}
	return newLeader
}

// put takes the value of one key, and reports whether it shows a leader of a later term. A
// value that can't be read changes nothing.
func (v *view) put(key string, value json.RawMessage, version uint64) (newLeader bool) {
	switch key {
	case records.KeyLeader:
		var leader records.Leader
		if json.Unmarshal(value, &leader) == nil {
			newLeader = leader.Term > v.leader.Term
			v.leader, v.leaderVersion, v.leaderLease = leader, version, 0
		}
	case records.KeyTerm:
		var term records.Term
		if json.Unmarshal(value, &term) == nil {
			v.term, v.termVersion = term.Term, version
		}
	case records.KeySharded:
		v.sharded = true
	case records.KeyPreferredZone:
		var preference records.PreferredZone
		if json.Unmarshal(value, &preference) == nil {
			v.preferredZone = preference.Zone
		}
	}
	return newLeader
}

// remove takes the end of one key.
func (v *view) remove(key string) {
	switch key {
	case records.KeyLeader:
		v.leader, v.leaderVersion = records.Leader{}, 0
	case records.KeySharded:
		v.sharded = false
	}
}
