package coordination

import (
	"time"

	"brasskeel/internal/coordination/sessions"
)

// detectorInterval is how often the failure detector scans all machines.
const detectorInterval = 250 * time.Millisecond

// detectFailures probes machines from which no messages arrive, resigns if this controller seems to
// be disconnected, and otherwise releases unresponsive machines. Missing messages don't prove that
// a machine's tasks have ended. A release that the cloud has confirmed proves it, and the cloud
// confirms releases quickly. While a leader without shards reconciles, it only probes the workers
// that nothing has reached yet.
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
		// After a stall, messages may have arrived that aren't read yet. Without the state
		// service or the lease, no task could be moved, and workers that get no response from
		// this controller try another one. Times without contact are counted anew from now.
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

// probeUnreached probes the workers that, as far as is known, no message of this controller has
// reached yet. It leaves out machines that this leader provisioned and whose workers haven't
// registered, since they may still be booting.
func (l *leader) probeUnreached() {
	var unreached []*machine
	for _, m := range l.fleetList {
		if !m.session.LastReached.IsZero() {
			continue
		}
		// The next heartbeat of a registered worker shows a token of this epoch, which proves that
		// the response to its first one arrived. It is probed only if that heartbeat is overdue.
		if !m.session.Registered && m.inherited || m.session.Registered && l.controller.now.Sub(m.session.RegisteredAt) > tokenEchoTimeout {
			unreached = append(unreached, m)
		}
	}
	l.probeBatch(unreached)
}

// fleetReachability is the result of one scan of a leader's machines.
type fleetReachability struct {
	unresponsive []*machine // presumed dead
	toProbe      []*machine
	domains      map[failureDomain]*sessions.DomainHealth
	suspectZones map[string]bool // zones with a machine whose latest probe failed
	contact      sessions.FleetContact
}

// assessReachability assesses the contact with each machine in one scan.
func (l *leader) assessReachability() *fleetReachability {
	s := &fleetReachability{domains: map[failureDomain]*sessions.DomainHealth{}, suspectZones: map[string]bool{}}
	for _, m := range l.fleetList {
		since, expected := l.unresponsiveSince(m)
		if m.inherited && expected { // machines that aren't inherited may still be booting
			s.countInherited(m)
		}
		if expected {
			s.add(l, m, l.controller.now.Sub(since))
		}
	}
	return s
}

// unresponsiveSince returns the time since which no message of a machine's worker has arrived, and
// whether its worker is expected to be running. Periods in which messages couldn't arrive, or were
// weren't read, don't count: for an expected worker, the time is never before the latest reset of the
// detector or, with shards, before contact with the owner of the machine's shard was resumed.
func (l *leader) unresponsiveSince(m *machine) (since time.Time, expected bool) {
	since = m.session.LastSeen
	if !m.session.Registered {
		if len(m.attempts) == 0 {
			return since, false
		}
		// The machine ran tasks under an earlier leader. The time counts from when the records
		// were loaded if its worker failed to answer UnansweringProbeThreshold probes, else from
		// the end of the reconciliation.
		since = l.reconciledAt
		if m.session.FailedProbes >= sessions.UnansweringProbeThreshold {
			since = l.loadedAt
		}
	}
	if l.shards != nil {
		contactSince, ok := l.shards.ownerContactSince(m)
		if !ok {
			return l.controller.now, true // without contact with the shard's owner nothing is known of the worker
		}
		since = sessions.Latest(since, contactSince)
	}
	return sessions.Latest(since, l.detector.ResetAt()), true
}

// countInherited counts a machine that was loaded from an earlier leader's record, by whether it
// registered or failed to answer probes.
func (s *fleetReachability) countInherited(m *machine) {
	s.contact.Inherited++
	switch {
	case m.session.Registered:
		s.contact.InheritedRegistered++
	case m.session.FailedProbes >= sessions.UnansweringProbeThreshold:
		s.contact.InheritedUnanswering++
	}
}

// add adds a machine to the result. unseen is the time since the latest message of its worker.
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

// resignIfDisconnected resigns leadership if another controller may reach machines that this one
// can't reach, and reports whether it did. In both of the following cases it keeps leading if
// resignDisconnected finds that a change of leaders would not help.
//
// It resigns if most registered machines are unreachable. Only registered machines count:
// another controller may still reach them, and if it can't, they won't have registered with it
// either and it keeps leading. When all machines counted, the leaders of a cluster that had
// permanently lost most machines handed over to one another endlessly. The check is made before
// any release: a leader that an outage kept from detecting this in time released its whole
// fleet.
//
// It also resigns if few of the machines that an earlier leader recorded have registered, although
// there was time for it. It doesn't wait that long if most of these machines don't answer probes
// either: when it did, all worker leases expired during the terms of two successive leaders that
// were partitioned from the workers, before a third one was elected.
func (l *leader) resignIfDisconnected(s *fleetReachability) bool {
	c := l.controller
	if s.contact.MostUnreachable() && c.now.Sub(l.reconciledAt) > 2*time.Second && c.resignDisconnected("most machines are unreachable") {
		return true
	}
	waited := s.contact.MostUnanswering() || c.now.Sub(l.loadedAt) > c.timing().RegistrationTimeout()
	return s.contact.FewRegistered() && waited && c.resignDisconnected("few machines have registered")
}

// releaseUnresponsive releases machines that are presumed dead, except for those that are more
// likely partitioned from their controller, and those kept because their replicas would find no
// capacity elsewhere. Both are kept until contact has been missing for the length of a worker's lease,
// after which their tasks have ended anyway. On machines that this leader serves itself, attempts
// count as terminated once the worker's lease has certainly expired, whether or not the machine is
// released.
func (l *leader) releaseUnresponsive(s *fleetReachability) {
	c := l.controller
	deferral := l.newReleaseDeferral()
	for _, m := range s.unresponsive {
		if l.serves(m) {
			l.terminateExpired(m)
		}
		outOfContact := c.now.Sub(sessions.Latest(m.session.LastSeen, m.session.LastReached, l.detector.ResetAt(), l.electedAt))
		if s.domains[l.failureDomain(m)].Partitioned() && outOfContact <= c.cfg.WorkerLease {
			continue
		}
		if m.lifecycle.releasing() || !deferral.defers(m, outOfContact) {
			l.release(m, reasonUnresponsive)
		}
	}
	l.autoscaler.displacedReplicas = deferral.unplaced
	if len(deferral.unplaced) > 0 {
		l.scheduleScaleOut()
	}
}

// presumedDead reports whether a machine should be treated as dead and released. unseen is the time
// since the latest message of its worker.
func (l *leader) presumedDead(m *machine, unseen time.Duration) bool {
	loss := sessions.ContactLoss{Unseen: unseen, Unreached: l.unreachedFor(m), Unanswered: l.unansweredFor(m), FailedProbes: m.session.FailedProbes}
	if l.shards != nil {
		// The owner of the machine's shard reports all of these times. While there is no contact
		// with the owner, nothing is known of the worker. After that, the times count only from
		// when contact was resumed; unresponsiveSince has limited Unseen in this way already.
		since, inContact := l.shards.ownerContactSince(m)
		if !inContact {
			return false
		}
		contactFor := l.controller.now.Sub(since)
		loss.Unreached, loss.Unanswered = min(loss.Unreached, contactFor), min(loss.Unanswered, contactFor)
	}
	return l.controller.timing().PresumedDead(loss)
}

// failureDomain identifies the machines that a network partition would cut off from their
// controller together: those in one zone that are served by one controller.
type failureDomain struct{ owner, zone string }

func (l *leader) failureDomain(m *machine) failureDomain {
	if l.shards == nil {
		return failureDomain{zone: m.Zone}
	}
	return failureDomain{l.shards.sharding.ownerName(m.shard), m.Zone}
}

// hasPeersInOtherZones reports whether any peer runs in a different zone than this controller.
func (c *Controller) hasPeersInOtherZones() bool {
	for i := range c.cfg.Peers {
		if c.cfg.Peers[i].Zone != c.cfg.Zone {
			return true
		}
	}
	return false
}
