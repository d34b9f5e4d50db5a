package coordination

import (
	"slices"
	"time"
)

// registrationTimeout is when every live worker has found this leader: the longest interval
// between reports, and a report or two that were lost on nodes that are gone.
func (l *leader) registrationTimeout() time.Duration {
	return l.controller.cfg.HeartbeatInterval*5/4 + 6*time.Second
}

// detectFailures looks for machines that have fallen silent. Silence proves
// nothing; releasing the machine does, and takes a moment.
func (l *leader) detectFailures() {
	c := l.controller
	stalled := l.stalled()
	if l.phase == phaseReconciling && l.shards == nil && c.now.Sub(l.loadedAt) > probeAfter {
		l.probeUnreached()
	}
	if l.phase != phaseActive {
		return
	}
	if stalled || c.storeDown() || !l.holdsLease() {
		// Nothing could be moved now, and workers that got no answer from this
		// node look for another: their silence counts anew from here.
		l.detectorResetAt = c.now
		return
	}
	s := l.assessReachability()
	l.suspectZones = s.suspectZones
	l.probeBatch(s.toProbe)
	if l.shards == nil && l.resignIfDisconnected(s) || l.shards != nil && l.shards.resignIfIsolated() {
		return
	}
	l.releaseUnresponsive(s)
}

// probeUnreached asks the workers that nothing of ours has reached yet.
func (l *leader) probeUnreached() {
	var unreached []*machine
	for _, m := range l.fleetList {
		// One that came by itself soon shows our token in its next report.
		if m.lastReached.IsZero() && (!m.registered && m.inherited || m.registered && l.controller.now.Sub(m.registeredAt) > tokenShownWithin) {
			unreached = append(unreached, m)
		}
	}
	l.probeBatch(unreached)
}

// fleetReachability is how the machines were at a moment.
type fleetReachability struct {
	unresponsive []*machine // to be given up
	toProbe      []*machine // to be asked
	groups       map[failureDomain]*domainHealth
	suspectZones map[string]bool
	// Of those that were up for this leader, those that don't answer calls.
	registered, unreachable int
	// Of those that an earlier leader knew, those that were heard, and those that don't
	// answer calls either.
	inherited, inheritedRegistered, inheritedUnreachable int
}

func (l *leader) assessReachability() *fleetReachability {
	s := &fleetReachability{groups: map[failureDomain]*domainHealth{}, suspectZones: map[string]bool{}}
	for _, m := range l.fleetList {
		since, expected := l.unresponsiveSince(m)
		if m.inherited && expected { // others may be booting yet
			s.countInherited(m)
		}
		if expected {
			s.add(l, m, l.controller.now.Sub(since))
		}
	}
	return s
}

// unresponsiveSince is since when a machine is silent, if its worker should be up.
func (l *leader) unresponsiveSince(m *machine) (since time.Time, expected bool) {
	since = m.lastSeen
	if !m.registered {
		if len(m.attempts) == 0 {
			return since, false
		}
		// It ran tasks for an earlier leader. Those that were asked since the records
		// were read have been silent since then.
		since = l.reconciledAt
		if m.failedProbes >= 3 {
			since = l.loadedAt
		}
	}
	if l.shards != nil {
		heard, ok := l.shards.heardSince(m)
		if !ok {
			return l.controller.now, true // nobody tells of it
		}
		since = latest(since, heard)
	}
	return latest(since, l.detectorResetAt), true
}

func (s *fleetReachability) countInherited(m *machine) {
	s.inherited++
	switch {
	case m.registered:
		s.inheritedRegistered++
	case m.failedProbes >= 3:
		s.inheritedUnreachable++
	}
}

// add takes in a machine that was silent for a time.
func (s *fleetReachability) add(l *leader, m *machine, silent time.Duration) {
	key := l.failureDomain(m)
	z := s.groups[key]
	if z == nil {
		z = &domainHealth{}
		s.groups[key] = z
	}
	z.machines++
	if silent > l.suspectAfter() || m.failedProbes > 0 {
		z.suspect++
	}
	if m.failedProbes > 0 {
		s.suspectZones[m.Zone] = true
	}
	if m.registered {
		s.registered++
		if m.failedProbes >= unreachableProbes {
			s.unreachable++
		}
	}
	if l.wantsProbe(m, silent) {
		s.toProbe = append(s.toProbe, m)
	}
	if l.presumedDead(m, silent) {
		s.unresponsive = append(s.unresponsive, m)
	}
}

// resignIfDisconnected lets another node lead that may reach machines which this one doesn't, and
// reports whether it did.
//
// Only machines that this leader has heard count as lost: another node may still reach
// them. Where it doesn't, it won't have heard them either and stays. Counting all, leaders
// of a cluster that had lost most machines for good handed over to one another without
// end. It comes before any release: a leader that an outage kept from seeing it in time
// returned its whole fleet.
//
// Nor is it the one to lead if it never heard most of those that the leader before knew,
// while another node hasn't tried. Those that don't answer calls either needn't be waited
// for: with two nodes in a row that were cut off from the workers, all leases were over
// before the third led.
func (l *leader) resignIfDisconnected(s *fleetReachability) bool {
	c := l.controller
	if s.registered > 2 && s.unreachable*2 > s.registered && c.now.Sub(l.reconciledAt) > 2*time.Second && c.resignDisconnected("most machines are out of reach") {
		return true
	}
	unheard := s.inherited > 2 && s.inheritedRegistered*3 < s.inherited
	waited := s.inheritedUnreachable*3 > s.inherited*2 || c.now.Sub(l.loadedAt) > l.registrationTimeout()
	return unheard && waited && c.resignDisconnected("few machines are heard")
}

// releaseUnresponsive returns silent machines, but for those whose zone is rather cut off, and those
// that are kept for their replicas.
func (l *leader) releaseUnresponsive(s *fleetReachability) {
	c := l.controller
	deferral := l.newReleaseDeferral()
	for _, m := range s.unresponsive {
		if l.serves(m) {
			l.terminateExpired(m)
		}
		quiet := c.now.Sub(latest(m.lastSeen, m.lastReached, l.detectorResetAt, l.electedAt))
		if s.groups[l.failureDomain(m)].partitioned() && quiet <= c.cfg.WorkerLease {
			continue
		}
		if m.releasing || !deferral.defers(m, quiet) {
			l.release(m, releaseUnresponsiveReason)
		}
	}
	l.autoscaler.displacedReplicas = deferral.unplaced
	if len(deferral.unplaced) > 0 {
		l.scheduleScaleOut()
	}
}

// presumedDead reports whether a machine that was silent for a time is to be given up.
func (l *leader) presumedDead(m *machine, silent time.Duration) bool {
	unreached, unreported := l.unreachedFor(m), l.unansweredFor(m)
	if l.shards != nil {
		// All of it is the word of who serves the machine: while nobody is heard it says
		// nothing, and what was told before is no older than since it is heard again.
		since, heard := l.shards.heardSince(m)
		if !heard {
			return false
		}
		shownFor := l.controller.now.Sub(since)
		unreached, unreported = min(unreached, shownFor), min(unreported, shownFor)
	}
	return silent > l.unresponsiveAfter() || silent > failedProbesReleaseAfter && m.failedProbes >= 3 ||
		unreached > l.unreachedReleaseAfter() && m.failedProbes >= 4 || unreported > 2*l.controller.cfg.WorkerLease
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}

// failureDomain is machines that a cut would part from their controller together: those of a
// zone that one controller serves.
type failureDomain struct{ owner, zone string }

func (l *leader) failureDomain(m *machine) failureDomain {
	if l.shards == nil {
		return failureDomain{zone: m.Zone}
	}
	return failureDomain{l.shards.sharding.ownerName(m.shard), m.Zone}
}

// domainHealth is how many machines of a group answer.
type domainHealth struct{ machines, suspect int }

// partitioned reports whether the silence of a group's machines speaks for a cut rather
// than for their deaths: most of them are late at once. Reports come at different
// times, so those that are only late by now count, too.
func (h *domainHealth) partitioned() bool { return h.suspect > 2 && h.suspect*5 > h.machines*3 }

func (c *Controller) hasPeersInOtherZones() bool {
	for i := range c.cfg.Peers {
		if c.cfg.Peers[i].Zone != c.cfg.Zone {
			return true
		}
	}
	return false
}
