package leadership

import (
	"log/slog"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

const (
	// campaignJitter spreads the campaigns of several controllers.
	campaignJitter = 60 * time.Millisecond
	// otherZoneDelay lets controllers in the preferred zone campaign first.
	otherZoneDelay = 700 * time.Millisecond
	// disconnectedDelay lets controllers that may reach the workers campaign first.
	disconnectedDelay = 2 * time.Second
	// disconnectedPeriod is how long a leader that resigned for lost connectivity campaigns
	// behind the others, while no leader hands over to it. One that was cut off from its
	// workers had been handed the leadership again, for its zone, and released a whole
	// fleet that another controller reached.
	disconnectedPeriod = time.Minute
	// retryDelay and retryJitter are the pause after a campaign that failed.
	retryDelay  = 150 * time.Millisecond
	retryJitter = 150 * time.Millisecond
	// watchRetryDelay and watchRetryJitter are the pause after a watch that failed.
	watchRetryDelay  = 200 * time.Millisecond
	watchRetryJitter = 100 * time.Millisecond
	// minTermDuration is how long a leader stays before it hands over to a better zone.
	minTermDuration = 10 * time.Second
)

// HandOverPause is how long a leader that resigned in favour of another controller doesn't
// campaign.
const HandOverPause = 3 * time.Second

// Role is what a controller is to the election.
type Role uint8

// The roles. A follower schedules a campaign once it sees that nobody leads, and is a
// candidate while its lease and its transaction are on their way; from each it may go back
// to follower. Only a candidate becomes leader, and a leader that steps down is a follower.
const (
	Follower          Role = iota
	CampaignScheduled      // a campaign begins soon, unless somebody leads by then
	Candidate              // the store decides about a campaign
	Leader
)

// LeaderTerm is what a leader was elected with.
type LeaderTerm struct {
	Term       uint64
	KeyVersion uint64 // of the leader key; every write of the leader's demands it
	Lease      Lease  // as it was granted
	ElectedAt  time.Time
}

// Settings are those of one controller.
type Settings struct {
	Name    string // the controller's name
	Zone    string
	BootID  uint64        // tells this process from earlier ones of the same name
	BaseTTL time.Duration // of the leader lease in calm times
}

// Election follows who leads, and campaigns when nobody does.
type Election struct {
	settings Settings
	log      *slog.Logger
	clock    Clock
	store    Store
	host     Host

	view       view
	loaded     bool // the view was read once
	generation int  // of the watch; answers to an older one are dropped
	role       Role
	leaderTerm LeaderTerm // of a leader
	ttl        TTLPolicy

	noCampaignBefore  time.Time // no campaign: the leadership was resigned
	disconnectedUntil time.Time
}

// New makes the election of one controller, which follows nothing before Follow.
func New(s Settings, log *slog.Logger, clock Clock, store Store, host Host) *Election {
	return &Election{settings: s, log: log, clock: clock, store: store, host: host, ttl: NewTTLPolicy(s.BaseTTL)}
}

// Follow reads the keys afresh and watches them from then on.
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

func (e *Election) watch(after uint64, generation int) {
	e.store.Watch(records.PrefixElection, after, func(answer WatchResponse) {
		if e.generation != generation {
			return
		}
		switch answer.Status {
		case WatchDelivered:
			e.applyEvents(answer.Events)
			e.watch(max(after, answer.Revision), generation)
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

// viewChanged acts on what is now known of the leadership.
func (e *Election) viewChanged() {
	if e.role == Leader && e.view.leaderVersion > e.leaderTerm.KeyVersion {
		e.StepDown("another leader was elected")
	}
	e.host.LeaderUpdated()
	if e.role == Leader {
		return
	}
	if e.view.leaderVersion == 0 {
		e.scheduleCampaign()
		return
	}
	if leader := e.view.leader; leader.Node == e.settings.Name && leader.Incarnation != e.settings.BootID && e.view.leaderLease != 0 {
		// This controller's earlier process led. It is gone for good and all its
		// late writes are conditional on the key that goes with this lease.
		e.log.Info("revoking lease of previous process", "term", leader.Term)
		e.store.RevokeLease(e.view.leaderLease)
	}
}

// scheduleCampaign campaigns after a short random wait.
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

// campaignDelay is longer where another zone is the better place for a leader, and for a
// controller that resigned lately.
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

// campaign tries to become leader: a lease, then one transaction that creates the
// leader key bound to it and raises the term. Two candidates can't both
// succeed, and a transaction that arrives late finds another term.
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

// claim asks the store to elect this controller in the next term.
func (e *Election) claim(lease Lease) {
	term := e.view.term + 1
	leader := records.Leader{Node: e.settings.Name, Zone: e.settings.Zone, Term: term, Incarnation: e.settings.BootID}
	e.store.Commit(&protocol.Txn{
		Conditions: []protocol.Condition{{Key: records.KeyLeader}, {Key: records.KeyTerm, Version: e.view.termVersion}},
		Ops: []protocol.Op{
			{Put: records.KeyLeader, Value: records.Encode(leader), Lease: lease.ID},
			{Put: records.KeyTerm, Value: records.Encode(records.Term{Term: term})},
		},
	}, func(applied bool, revision uint64) {
		if !applied {
			// Revoking the lease also ends what the transaction may have created,
			// or may yet create: a write with an expired lease is refused.
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

// retry reads the keys afresh after a campaign that failed, unless this controller leads by
// then.
func (e *Election) retry() {
	e.role = Follower
	e.clock.After(retryDelay+e.clock.Jitter(retryJitter), func() {
		if e.role != Leader {
			e.Follow()
		}
	})
}

// BecomeLeader makes this controller the leader under a mandate that the store gave it.
func (e *Election) BecomeLeader(m LeaderTerm) {
	e.role, e.leaderTerm = Leader, m
	e.host.Elected(m)
}

// StepDown gives the leadership up, if this controller has it, and follows again. The lease
// is left to expire.
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

// Resign gives the leadership up by choice, so that another controller can lead at once;
// this one doesn't campaign for a pause.
func (e *Election) Resign(reason string, pause time.Duration) {
	e.noCampaignBefore = e.clock.Now().Add(pause)
	e.store.RevokeLease(e.leaderTerm.Lease.ID)
	e.StepDown(reason)
}

// PeerCounts counts the other controllers.
type PeerCounts struct {
	Configured   int // all of them
	Eligible     int // heard lately, reach the store, and aren't disconnected
	Disconnected int // heard lately, and say so of themselves
}

// MarkDisconnected marks this controller as one that lost connectivity to its workers, and reports
// whether it should resign for that. Where all others lost theirs lately, it makes no
// difference who leads; and one that resigned lately does so again only for another that is
// known to be eligible.
func (e *Election) MarkDisconnected(peers PeerCounts) (resign bool) {
	if peers.Disconnected == peers.Configured || e.Disconnected() && peers.Eligible == 0 {
		return false
	}
	e.disconnectedUntil = e.clock.Now().Add(disconnectedPeriod)
	return true
}

// Disconnected reports whether this controller lately lost connectivity to its workers.
func (e *Election) Disconnected() bool { return e.clock.Now().Before(e.disconnectedUntil) }

// ShouldHandOverTo reports whether this leader should hand over to a controller of another zone,
// which the store says is the better one.
func (e *Election) ShouldHandOverTo(zone string) bool {
	return zone != e.settings.Zone && zone == e.view.preferredZone && e.clock.Now().Sub(e.leaderTerm.ElectedAt) >= minTermDuration
}

// CampaignTTL is the time to live of the lease that a campaign asks for now.
func (e *Election) CampaignTTL() time.Duration {
	return e.ttl.TTL(e.clock.Now(), e.host.PeersSilent())
}

// Role is what this controller is to the election now.
func (e *Election) Role() Role { return e.role }

// LeaderName is the name of the leader, this controller included; empty when nobody is known
// to lead.
func (e *Election) LeaderName() string { return e.view.leader.Node }

// OtherLeader is the name of the leader if that is another controller; empty otherwise.
func (e *Election) OtherLeader() string {
	if e.view.leaderVersion == 0 || e.view.leader.Node == e.settings.Name {
		return ""
	}
	return e.view.leader.Node
}

// PreferredZone is the one that leaders should be in, by the store; empty for any.
func (e *Election) PreferredZone() string { return e.view.preferredZone }

// Sharded reports whether the store says that machines are divided into shards.
func (e *Election) Sharded() bool { return e.view.sharded }

// Term is the highest term so far, and the version of its key.
func (e *Election) Term() (term, version uint64) { return e.view.term, e.view.termVersion }

// TermRead takes the key of the term as a leader read it anew.
func (e *Election) TermRead(item protocol.KeyValue) { e.view.put(item.Key, item.Value, item.Version) }

// TermRaised notes that this controller, as the leader, raised the term.
func (e *Election) TermRaised(term, version uint64) {
	if term > e.view.term {
		e.view.term, e.view.termVersion = term, version
	}
}
