package leadership

import (
	"log/slog"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

const (
	// campaignJitter is the maximum of a random delay that keeps controllers from campaigning at
	// the same time.
	campaignJitter = 60 * time.Millisecond
	// otherZoneDelay delays campaigns outside the preferred zone, so that controllers in it
	// campaign first.
	otherZoneDelay = 700 * time.Millisecond
	// disconnectedDelay delays the campaigns of a disconnected controller, so that
	// controllers that may reach the workers campaign first.
	disconnectedDelay = 2 * time.Second
	// disconnectedPeriod is how long a leader that resigned because it lost connectivity to
	// its workers counts as disconnected: it campaigns after the others, and no leader hands
	// over to it. Without this period, such a leader became leader again because of its zone,
	// and released a whole fleet that another controller could reach.
	disconnectedPeriod = time.Minute
	// retryDelay plus a random delay of up to retryJitter is the pause after a failed campaign.
	retryDelay  = 150 * time.Millisecond
	retryJitter = 150 * time.Millisecond
	// watchRetryDelay plus a random delay of up to watchRetryJitter is the pause after a failed
	// watch.
	watchRetryDelay  = 200 * time.Millisecond
	watchRetryJitter = 100 * time.Millisecond
	// minTermDuration is the minimum time that a leader leads before it hands over to the
	// preferred zone.
	minTermDuration = 10 * time.Second
)

// HandOverPause is how long a leader does not campaign after it resigned in favour of another
// controller.
const HandOverPause = 3 * time.Second

// Role is a controller's role in the election.
type Role uint8

// Roles in the election. A follower schedules a campaign when there is no leader. When the campaign
// is due, the controller becomes a candidate and requests a lease, or a follower again if there is a
// leader by then. A candidate becomes the leader, or a follower if its campaign fails. A leader that
// steps down becomes a follower.
const (
	Follower          Role = iota
	CampaignScheduled      // a campaign starts soon, unless a leader is elected before
	Candidate              // the lease request or the election transaction is in flight
	Leader
)

// LeaderTerm describes one controller's term as the leader.
type LeaderTerm struct {
	Term       uint64
	KeyVersion uint64 // version of the leader key, a condition of every write by the leader
	Lease      Lease  // as it was granted
	ElectedAt  time.Time
}

// Settings configures the election for one controller.
type Settings struct {
	Name    string        // the controller's name
	Zone    string        // the controller's zone
	BootID  uint64        // the Incarnation in records.Leader; distinguishes this process from earlier ones with the same name
	BaseTTL time.Duration // time to live of the leader lease without recent leader changes
}

// Election follows the leader keys in the store, and campaigns when there is no leader.
type Election struct {
	settings Settings
	log      *slog.Logger
	clock    Clock
	store    Store
	host     Host

	view       view
	loaded     bool // the keys were read at least once
	generation int  // increased by each Follow; responses to the watches of earlier ones are dropped
	role       Role
	leaderTerm LeaderTerm // valid while role is Leader
	ttl        TTLPolicy

	noCampaignBefore  time.Time // set when this controller resigns
	disconnectedUntil time.Time // end of disconnectedPeriod
}

// New returns the election of one controller. It is idle until Follow is called.
func New(s Settings, log *slog.Logger, clock Clock, store Store, host Host) *Election {
	return &Election{settings: s, log: log, clock: clock, store: store, host: host, ttl: NewTTLPolicy(s.BaseTTL)}
}

// Follow reads the election keys and watches them from then on. It replaces an earlier watch.
func (e *Election) Follow() {
	e.generation++
	generation := e.generation
	wanted := func() bool { return e.generation == generation }
	e.store.List(records.PrefixElection, wanted, func(items []protocol.KeyValue, revision uint64) {
		if e.view.replace(items) {
			e.ttl.LeaderChanged(e.clock.Now())
		}
		e.loaded = true
		e.viewChanged()
		e.watch(revision, generation)
	})
}

// watch watches the election keys for changes after the given revision, until Follow starts another
// generation. If the watch fails or the store no longer has all changes, the keys are read again.
func (e *Election) watch(after uint64, generation int) {
	e.store.Watch(records.PrefixElection, after, func(response WatchResponse) {
		if e.generation != generation {
			return
		}
		switch response.Status {
		case WatchDelivered:
			e.applyEvents(response.Events)
			e.watch(max(after, response.Revision), generation)
		case WatchCompacted:
			e.Follow()
		case WatchFailed:
			e.clock.After(watchRetryDelay+e.clock.Jitter(watchRetryJitter), func() {
				if e.generation == generation {
					e.Follow()
				}
			})
		}
	})
}

// applyEvents updates the view with the events of a watch.
func (e *Election) applyEvents(events []protocol.Event) {
	for _, event := range events {
		if event.Deleted {
			e.view.remove(event.Key)
		} else if e.view.put(event.Key, event.Value, event.Version) {
			e.ttl.LeaderChanged(e.clock.Now())
		}
	}
	if len(events) > 0 {
		e.viewChanged()
	}
}

// viewChanged reacts to a change of the view. It steps down if there is a later leader, and informs the
// host. A controller that doesn't lead schedules a campaign if there is no leader. If the leader is an
// earlier process of the same controller, it revokes that process's lease, if the lease is known.
func (e *Election) viewChanged() {
	if e.role == Leader && e.view.leaderVersion > e.leaderTerm.KeyVersion {
		e.StepDown("another leader was elected")
	}
	e.host.ElectionKeysChanged()
	if e.role == Leader {
		return
	}
	if e.view.leaderVersion == 0 {
		e.scheduleCampaign()
		return
	}
	if leader := e.view.leader; leader.Controller == e.settings.Name && leader.Incarnation != e.settings.BootID && e.view.leaderLease != 0 {
		// The previous process no longer runs. Its writes may still be in flight, but they are
		// conditional on the leader key, which is deleted with this lease.
		e.log.Info("revoking lease of previous process", "term", leader.Term)
		e.store.RevokeLease(e.view.leaderLease)
	}
}

// scheduleCampaign starts a campaign after campaignDelay, if there is no leader then. It does nothing
// if one is already scheduled or in progress.
func (e *Election) scheduleCampaign() {
	if e.role != Follower || !e.loaded {
		return
	}
	e.role = CampaignScheduled
	e.clock.After(e.campaignDelay(), func() {
		if e.role != CampaignScheduled {
			return
		}
		e.role = Follower
		if e.view.leaderVersion == 0 {
			e.campaign()
		}
	})
}

// campaignDelay returns the time until the next campaign. It is longer for a controller
// outside the preferred zone, for a disconnected one, and for one that resigned recently.
func (e *Election) campaignDelay() time.Duration {
	delay := e.clock.Jitter(campaignJitter)
	if e.view.preferredZone != "" && e.view.preferredZone != e.settings.Zone {
		delay += otherZoneDelay
	}
	if e.Disconnected() {
		delay += disconnectedDelay
	}
	return max(delay, e.noCampaignBefore.Sub(e.clock.Now()))
}

// campaign tries to become leader: it requests a lease, then commits one transaction that
// creates the leader key bound to that lease and increments the term. Of two candidates only
// one can succeed, and a transaction that is delayed until after another election fails because the
// term has changed.
func (e *Election) campaign() {
	e.role = Candidate
	ttl, sent := e.CampaignTTL(), e.clock.Now()
	e.store.GrantLease(ttl, func(lease uint64, granted bool) {
		if !granted {
			e.retry()
			return
		}
		e.claim(NewLease(lease, ttl, sent))
	})
}

// claim commits the transaction that makes this controller the leader of the next term.
func (e *Election) claim(lease Lease) {
	term := e.view.term + 1
	leader := records.Leader{Controller: e.settings.Name, Zone: e.settings.Zone, Term: term, Incarnation: e.settings.BootID}
	e.store.Commit(&protocol.Txn{
		Conditions: []protocol.Condition{{Key: records.KeyLeader}, {Key: records.KeyTerm, Version: e.view.termVersion}},
		Ops: []protocol.Op{
			{Put: records.KeyLeader, Value: records.Encode(leader), Lease: lease.ID},
			{Put: records.KeyTerm, Value: records.Encode(records.Term{Term: term})},
		},
	}, func(applied bool, revision uint64) {
		if !applied {
			// The transaction may have been applied, or may be applied later. Revoking the
			// lease deletes the leader key if it exists, and the store refuses later writes
			// that are bound to the lease.
			e.store.RevokeLease(lease.ID)
			e.retry()
			return
		}
		e.view.leader, e.view.leaderVersion, e.view.leaderLease = leader, revision, lease.ID
		e.view.term, e.view.termVersion = term, revision
		e.ttl.LeaderChanged(e.clock.Now())
		e.BecomeLeader(LeaderTerm{Term: term, KeyVersion: revision, Lease: lease, ElectedAt: e.clock.Now()})
	})
}

// retry ends a failed campaign. After a delay it reads the keys again, which schedules the next campaign
// if there is no leader. It doesn't do so if this controller leads by then.
func (e *Election) retry() {
	e.role = Follower
	e.clock.After(retryDelay+e.clock.Jitter(retryJitter), func() {
		if e.role != Leader {
			e.Follow()
		}
	})
}

// BecomeLeader makes this controller the leader for a term that the store has accepted.
func (e *Election) BecomeLeader(t LeaderTerm) {
	e.role, e.leaderTerm = Leader, t
	e.host.Elected(t)
}

// StepDown ends the leadership of this controller, if it leads, and follows the keys again. It doesn't
// revoke the lease, which expires unless Resign has revoked it.
func (e *Election) StepDown(reason string) {
	if e.role != Leader {
		return
	}
	e.log.Warn("stepping down", "term", e.leaderTerm.Term, "reason", reason)
	if e.host.LostToOverload() {
		e.ttl.LostToOverload(e.clock.Now())
	}
	e.role = Follower
	e.host.LeadershipEnded()
	e.Follow()
}

// Resign ends the leadership of this controller voluntarily. It revokes the lease, so that another
// controller can be elected at once; this one does not campaign until pause has passed.
func (e *Election) Resign(reason string, pause time.Duration) {
	e.noCampaignBefore = e.clock.Now().Add(pause)
	e.store.RevokeLease(e.leaderTerm.Lease.ID)
	e.StepDown(reason)
}

// PeerCounts counts the other controllers by their state.
type PeerCounts struct {
	Configured   int // all peers in the settings
	Eligible     int // those that recently sent a message, reach the store and aren't disconnected
	Disconnected int // those that recently reported that they are disconnected
}

// MarkDisconnected marks this controller as disconnected from its workers and reports whether
// it should resign because of that. It should not, and is not marked, if there are no other
// controllers or all of them are disconnected too, as a change of leader would not help. A controller
// that is already marked resigns again only if another controller is known to be eligible.
func (e *Election) MarkDisconnected(peers PeerCounts) (resign bool) {
	if peers.Disconnected == peers.Configured || e.Disconnected() && peers.Eligible == 0 {
		return false
	}
	e.disconnectedUntil = e.clock.Now().Add(disconnectedPeriod)
	return true
}

// Disconnected reports whether MarkDisconnected marked this controller within disconnectedPeriod.
func (e *Election) Disconnected() bool { return e.clock.Now().Before(e.disconnectedUntil) }

// ShouldHandOverTo reports whether this leader should hand over to a controller in zone: it
// is another zone, it is recorded as the preferred one, and the leader has led for at least
// minTermDuration.
func (e *Election) ShouldHandOverTo(zone string) bool {
	return zone != e.settings.Zone && zone == e.view.preferredZone && e.clock.Now().Sub(e.leaderTerm.ElectedAt) >= minTermDuration
}

// CampaignTTL returns the time to live of the lease that a campaign would request now.
func (e *Election) CampaignTTL() time.Duration {
	return e.ttl.TTL(e.clock.Now(), e.host.PeersUnresponsive())
}

// Role returns this controller's current role in the election.
func (e *Election) Role() Role { return e.role }

// LeaderName returns the name of the leader, which may be this controller; empty if no leader
// is known.
func (e *Election) LeaderName() string { return e.view.leader.Controller }

// OtherLeader returns the name of the leader if it is another controller; empty if this controller
// leads or no leader is known.
func (e *Election) OtherLeader() string {
	if e.view.leaderVersion == 0 || e.view.leader.Controller == e.settings.Name {
		return ""
	}
	return e.view.leader.Controller
}

// PreferredZone returns the zone that the store records as preferred for leaders; empty if
// there is none.
func (e *Election) PreferredZone() string { return e.view.preferredZone }

// Sharded reports whether the store records that machines are divided into shards.
func (e *Election) Sharded() bool { return e.view.sharded }

// Term returns the highest known term and the version of its key.
func (e *Election) Term() (term, version uint64) { return e.view.term, e.view.termVersion }

// TermRead updates the view with the term key, which this controller has just read as the leader.
func (e *Election) TermRead(item protocol.KeyValue) { e.view.put(item.Key, item.Value, item.Version) }

// TermRaised updates the view after this controller, as the leader, raised the term.
func (e *Election) TermRaised(term, version uint64) {
	if term > e.view.term {
		e.view.term, e.view.termVersion = term, version
	}
}
