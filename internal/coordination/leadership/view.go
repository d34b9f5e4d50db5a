package leadership

import (
	"encoding/json"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// view holds the latest known values of the election keys.
type view struct {
	leader        records.Leader
	leaderVersion uint64 // 0: no leader
	leaderLease   uint64 // 0: unknown
	term          uint64
	termVersion   uint64
	preferredZone string
	sharded       bool // machines are divided into shards
}

// replace rebuilds the view from a list of all keys and reports whether the list contains a
// leader. Since the view is cleared first, that leader always counts as new. The preferred
// zone is kept if no key sets it.
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

// put updates the view with the value of one key. It reports whether the value is a leader whose
// term is higher than that of the leader in the view, if any. A value that cannot be decoded is ignored.
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

// remove updates the view after the deletion of a key. It ignores deletions of the term and of the
// preferred zone, whose last known values remain.
func (v *view) remove(key string) {
	switch key {
	case records.KeyLeader:
		v.leader, v.leaderVersion = records.Leader{}, 0
	case records.KeySharded:
		v.sharded = false
	}
}
