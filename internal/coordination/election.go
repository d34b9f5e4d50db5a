package coordination

import (
	"time"

	"brasskeel/internal/coordination/leadership"
	"brasskeel/internal/coordination/statestore"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// overloadLossWindow: an overload of this controller counts as the cause of a loss of leadership if
// it occurred within this time before the loss.
const overloadLossWindow = 3 * time.Second

func (c *Controller) newElection() *leadership.Election {
	settings := leadership.Settings{Name: c.cfg.Name, Zone: c.cfg.Zone, BootID: c.bootID, BaseTTL: c.operator.LeaderLease()}
	host := electionHost{c}
	return leadership.New(settings, c.log, host, host, host)
}

// electionHost adapts the controller to the interfaces that an election requires: the clock,
// the store, and the reactions to the election's results.
type electionHost struct{ controller *Controller }

// Now implements leadership.Clock.
func (h electionHost) Now() time.Time { return h.controller.now }

// After implements leadership.Clock.
func (h electionHost) After(d time.Duration, f func()) { h.controller.after(d, f) }

// Jitter implements leadership.Clock.
func (h electionHost) Jitter(limit time.Duration) time.Duration { return h.controller.jitter(limit) }

// List implements leadership.Store.
func (h electionHost) List(prefix string, wanted func() bool, done func([]protocol.KeyValue, uint64)) {
	h.controller.store.List(prefix, wanted, func(list statestore.ListResult) { done(list.Items, list.Revision) })
}

// Watch implements leadership.Store.
func (h electionHost) Watch(prefix string, after uint64, done func(leadership.WatchResponse)) {
	h.controller.store.Watch(prefix, after, watchWait, func(r statestore.WatchResult) {
		response := leadership.WatchResponse{Status: leadership.WatchFailed, Events: r.Events, Revision: r.Revision}
		switch r.Status {
		case statestore.WatchEvents:
			response.Status = leadership.WatchDelivered
		case statestore.WatchCompacted:
			response.Status = leadership.WatchCompacted
		}
		done(response)
	})
}

// GrantLease implements leadership.Store.
func (h electionHost) GrantLease(ttl time.Duration, done func(lease uint64, granted bool)) {
	h.controller.store.GrantLease(ttl, done)
}

// RenewLease implements leadership.Store. Renewals are not subject to a request budget.
func (h electionHost) RenewLease(lease uint64, timeout time.Duration, done func(leadership.Renewal)) {
	h.controller.store.RenewLease(lease, timeout, func(status statestore.LeaseStatus) {
		switch status {
		case statestore.LeaseHeld:
			done(leadership.RenewalSucceeded)
		case statestore.LeaseEnded:
			done(leadership.RenewalExpired)
		default:
			done(leadership.RenewalUnknown)
		}
	})
}

// RevokeLease implements leadership.Store.
func (h electionHost) RevokeLease(lease uint64) {
	h.controller.store.RevokeLease(lease)
}

// Commit implements leadership.Store.
func (h electionHost) Commit(t *protocol.Txn, done func(applied bool, revision uint64)) {
	h.controller.store.Commit(t, func(r statestore.CommitResult) { done(r.Status == statestore.CommitApplied, r.Revision) })
}

// Elected implements leadership.Host.
func (h electionHost) Elected(t leadership.LeaderTerm) { h.controller.becomeLeader(t) }

// LeadershipEnded implements leadership.Host. It discards the in-memory state of the leader.
func (h electionHost) LeadershipEnded() {
	h.controller.leader.ended = true
	h.controller.leader = nil
}

// ElectionKeysChanged implements leadership.Host. It handles the deferred heartbeats if a leader is
// known now.
func (h electionHost) ElectionKeysChanged() { h.controller.resumeDeferred() }

// LostToOverload implements leadership.Host.
func (h electionHost) LostToOverload() bool {
	c := h.controller
	return c.leader.phase == phaseActive && c.overload.OverloadedWithin(c.now, overloadLossWindow)
}

// PeersUnresponsive implements leadership.Host.
func (h electionHost) PeersUnresponsive() bool {
	c := h.controller
	return len(c.cfg.Peers) > 0 && len(c.peers) > 0 && !c.peers.AnyFresh(c.now)
}

// resignDisconnected resigns leadership because this controller lost connectivity to workers.
// It reports whether it did; see leadership.Election.MarkDisconnected.
func (c *Controller) resignDisconnected(reason string) bool {
	if !c.election.MarkDisconnected(c.countPeers()) {
		return false
	}
	c.broadcastStatus()
	c.election.Resign(reason, leadership.HandOverPause)
	return true
}

// The following methods make the leader the holder of its lease (leadership.LeaseHolder).

// NeedsLease implements leadership.LeaseHolder.
func (l *leader) NeedsLease() bool { return l.alive() }

// RenewalSent implements leadership.LeaseHolder. It logs that the leader is fenced, at most once until
// the lease is renewed. A fenced leader answers no workers, but keeps its state. It is fenced when its
// lease and grace period have ended, or when it may not know of all recent cancellations (holdsLease).
// A leader that hasn't read the jobs yet doesn't answer workers either, but that is part of its
// recovery and isn't logged.
//
// The leader keeps its state because the state service may not end leases during its own outage. If a
// renewal succeeds after the outage, the lease has never ended in the service, so no other controller
// can have led in the meantime.
func (l *leader) RenewalSent() {
	if l.fencingLogged || l.holdsLease() || l.jobsKnownAt.IsZero() {
		return
	}
	l.fencingLogged = true
	l.controller.log.Warn("fenced until leader lease is renewed", "term", l.term)
}

// LeaseRenewed implements leadership.LeaseHolder.
func (l *leader) LeaseRenewed() { l.fencingLogged = false }

// LeaseExpired implements leadership.LeaseHolder.
func (l *leader) LeaseExpired() { l.controller.election.StepDown("leader lease expired") }

// preferMajorityZone keeps the leader in the zone that holds most machines, so that a
// partition between zones separates it from as few of them as possible. It records that zone
// as preferred, and resigns in favor of that zone only if a controller there recently reported that
// it can lead.
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
	if c.election.ShouldHandOverTo(zone) && c.hasEligiblePeerIn(zone) {
		c.election.Resign("most machines are in zone "+zone, leadership.HandOverPause)
	}
}

// liveMachinesByZone counts the machines with a recent message from their worker, by zone.
func (l *leader) liveMachinesByZone() map[string]int {
	count := map[string]int{}
	for _, m := range l.fleetList {
		if m.session.Registered && l.controller.now.Sub(m.session.LastSeen) < l.controller.timing().SuspectAfter() {
			count[m.Zone]++
		}
	}
	return count
}
