package coordination

import (
	"brasskeel/internal/coordination/leadership"
	"brasskeel/internal/records"
)

// preferMajorityZone keeps the leader in the zone that holds most machines, so that
// a cut between zones parts it from as few of them as can be. It hands over
// only to a zone with a controller that lately said it can lead.
func (l *leader) preferMajorityZone() {
	c := l.controller
	if !c.hasPeersInOtherZones() || c.store.Unavailable() {
		return
	}
	zone, ok := leadership.MajorityZone(l.liveMachinesByZone())
	if !ok {
		return
	}
	if c.election.PreferredZone() != zone && l.requestedZone != zone {
		l.requestedZone = zone
		l.writer.put(records.KeyPreferredZone, records.Encode(records.PreferredZone{Zone: zone}))
	}
	if c.election.HandsOverTo(zone) && c.eligiblePeerIn(zone) {
		c.election.Resign("most machines are in zone "+zone, leadership.HandOverPause)
	}
}

// liveMachinesByZone counts the machines whose workers were heard lately.
func (l *leader) liveMachinesByZone() map[string]int {
	count := map[string]int{}
	for _, m := range l.fleetList {
		if m.session.Registered && l.controller.now.Sub(m.session.LastSeen) < l.controller.timing().SuspectAfter() {
			count[m.Zone]++
		}
	}
	return count
}
