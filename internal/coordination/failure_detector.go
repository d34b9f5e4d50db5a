package coordination

import (
	"time"

	"brasskeel/internal/coordination/sessions"
)

// detectorInterval is how often the failure detector looks at all machines.
const detectorInterval = 250 * time.Millisecond

// detectFailures looks for machines that don't respond. Silence proves nothing; releasing
// the machine does, and takes a moment.
func (l *leader) detectFailures() {
	c := l.controller
	stalled := l.detector.Scan(c.now)
	if l.phase == phaseReconciling && l.shards == nil && c.now.Sub(l.loadedAt) > probeDelay {
		l.probeUnreached()
	}
	if l.phase != phaseActive {
		return
	}
	if stalled || c.store.Unavailable() || !l.holdsLease() {
		// Nothing could be moved now, and workers that got no answer from this
		// controller look for another: their silence counts anew from here.
		l.detector.Reset(c.now)
		return
	}
	s := l.assessReachability()
	l.detector.SetSuspectZones(s.suspectZones)
	l.probeBatch(s.toProbe)
	if l.shards == nil && l.resignIfDisconnected(s) || l.shards != nil && l.shards.resignIfDisconnected() {
		return
	}
	l.releaseUnresponsive(s)
}

// probeUnreached probes the workers that nothing sent has reached yet.
func (l *leader) probeUnreached() {
	var unreached []*machine
	for _, m := range l.fleetList {
		if !m.session.LastReached.IsZero() {
			continue
		}
		// One that came by itself soon shows a token of this epoch in its next heartbeat.
		if !m.session.Registered && m.inherited || m.session.Registered && l.controller.now.Sub(m.session.RegisteredAt) > tokenEchoTimeout {
			unreached = append(unreached, m)
		}
	}
	l.probeBatch(unreached)
}

// fleetReachability is how a leader's machines respond at a moment.
type fleetReachability struct {
	unresponsive []*machine // to be given up
	toProbe      []*machine
	domains      map[failureDomain]*sessions.DomainHealth
	suspectZones map[string]bool
	contact      sessions.FleetContact
}

func (l *leader) assessReachability() *fleetReachability {
	s := &fleetReachability{domains: map[failureDomain]*sessions.DomainHealth{}, suspectZones: map[string]bool{}}
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
	since = m.session.LastSeen
	if !m.session.Registered {
		if len(m.attempts) == 0 {
			return since, false
		}
		// It ran tasks for an earlier leader. Those that were probed since the records
		// were read have been silent since then.
		since = l.reconciledAt
		if m.session.FailedProbes >= sessions.UnansweringProbeThreshold {
			since = l.loadedAt
		}
	}
	if l.shards != nil {
		heard, ok := l.shards.ownerHeardSince(m)
		if !ok {
			return l.controller.now, true // nobody tells of it
		}
		since = sessions.Latest(since, heard)
	}
	return sessions.Latest(since, l.detector.ResetAt()), true
}

// countInherited counts a machine that an earlier leader knew.
func (s *fleetReachability) countInherited(m *machine) {
	s.contact.Inherited++
	switch {
	case m.session.Registered:
		s.contact.InheritedRegistered++
	case m.session.FailedProbes >= sessions.UnansweringProbeThreshold:
		s.contact.InheritedUnanswering++
	}
}

// add takes in a machine that was silent for a time.
func (s *fleetReachability) add(l *leader, m *machine, unseen time.Duration) {
	key := l.failureDomain(m)
	domain := s.domains[key]
	if domain == nil {
		domain = &sessions.DomainHealth{}
		s.domains[key] = domain
	}
	domain.Machines++
	if unseen > l.controller.timing().SuspectAfter() || m.session.FailedProbes > 0 {
		domain.Suspect++
	}
	if m.session.FailedProbes > 0 {
		s.suspectZones[m.Zone] = true
	}
	if m.session.Registered {
		s.contact.Registered++
		if m.session.FailedProbes >= sessions.UnreachableProbeThreshold {
			s.contact.Unreachable++
		}
	}
	if l.needsProbe(m, unseen) {
		s.toProbe = append(s.toProbe, m)
	}
	if l.presumedDead(m, unseen) {
		s.unresponsive = append(s.unresponsive, m)
	}
}

// resignIfDisconnected lets another controller lead that may reach machines which this one
// doesn't, and reports whether it did.
//
// Only machines that this leader has heard count as lost: another controller may still reach
// them. Where it doesn't, it won't have heard them either and stays. Counting all, leaders
// of a cluster that had lost most machines for good handed over to one another without
// end. It comes before any release: a leader that an outage kept from seeing it in time
// returned its whole fleet.
//
// Nor is it the one to lead if it never heard most of those that the leader before knew,
// while another controller hasn't tried. Those that don't answer calls either needn't be
// waited for: with two controllers in a row that were cut off from the workers, all leases
// were over before the third led.
func (l *leader) resignIfDisconnected(s *fleetReachability) bool {
	c := l.controller
	if s.contact.MostUnreachable() && c.now.Sub(l.reconciledAt) > 2*time.Second && c.resignDisconnected("most machines are out of reach") {
		return true
	}
	waited := s.contact.MostUnanswering() || c.now.Sub(l.loadedAt) > c.timing().RegistrationTimeout()
	return s.contact.FewRegistered() && waited && c.resignDisconnected("few machines are heard")
}

// releaseUnresponsive returns machines that are presumed dead, but for those that a
// partition rather parts from the leader, and those that are kept for their replicas.
func (l *leader) releaseUnresponsive(s *fleetReachability) {
	c := l.controller
	deferral := l.newReleaseDeferral()
	for _, m := range s.unresponsive {
		if l.serves(m) {
			l.terminateExpired(m)
		}
		quiet := c.now.Sub(sessions.Latest(m.session.LastSeen, m.session.LastReached, l.detector.ResetAt(), l.electedAt))
		if s.domains[l.failureDomain(m)].Partitioned() && quiet <= c.cfg.WorkerLease {
			continue
		}
		if m.lifecycle.releasing() || !deferral.defers(m, quiet) {
			l.release(m, reasonUnresponsive)
		}
	}
	l.autoscaler.displacedReplicas = deferral.unplaced
	if len(deferral.unplaced) > 0 {
		l.scheduleScaleOut()
	}
}

// presumedDead reports whether a machine that was silent for a time is to be given up.
func (l *leader) presumedDead(m *machine, unseen time.Duration) bool {
	silence := sessions.Silence{Unseen: unseen, Unreached: l.unreachedFor(m), Unanswered: l.unansweredFor(m), FailedProbes: m.session.FailedProbes}
	if l.shards != nil {
		// All of it is the word of who serves the machine: while nobody is heard it says
		// nothing, and what was told before is no older than since it is heard again.
		since, heard := l.shards.ownerHeardSince(m)
		if !heard {
			return false
		}
		told := l.controller.now.Sub(since)
		silence.Unreached, silence.Unanswered = min(silence.Unreached, told), min(silence.Unanswered, told)
	}
	return l.controller.timing().PresumedDead(silence)
}

// failureDomain is the machines that a network partition would part from their controller
// together: those of a zone that one controller serves.
type failureDomain struct{ owner, zone string }

func (l *leader) failureDomain(m *machine) failureDomain {
	if l.shards == nil {
		return failureDomain{zone: m.Zone}
	}
	return failureDomain{l.shards.sharding.ownerName(m.shard), m.Zone}
}

// hasPeersInOtherZones reports whether another controller runs in another zone than this.
func (c *Controller) hasPeersInOtherZones() bool {
	for i := range c.cfg.Peers {
		if c.cfg.Peers[i].Zone != c.cfg.Zone {
			return true
		}
	}
	return false
}
