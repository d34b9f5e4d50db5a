package leadership

import (
	"testing"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// A controller campaigns only while there is no leader, and later if other controllers should
// campaign first.
func TestCampaignDelay(t *testing.T) {
	for _, test := range []struct {
		name   string
		keys   []protocol.KeyValue
		before func(h *harness) // called before Follow
		delay  time.Duration    // -1: no campaign
	}{
		{name: "no leader", delay: 0},
		{name: "another controller leads", keys: []protocol.KeyValue{leaderItem("n1", 4, 1, 20, 9)}, delay: -1},
		{name: "in the preferred zone", keys: []protocol.KeyValue{zoneItem("a")}, delay: 0},
		{name: "outside the preferred zone", keys: []protocol.KeyValue{zoneItem("b")}, delay: otherZoneDelay},
		{name: "controller disconnected", before: func(h *harness) { h.MarkDisconnected(PeerCounts{Configured: 2}) }, delay: disconnectedDelay},
		{name: "outside the preferred zone and disconnected", keys: []protocol.KeyValue{zoneItem("b")}, before: func(h *harness) { h.MarkDisconnected(PeerCounts{Configured: 2}) },
			delay: otherZoneDelay + disconnectedDelay},
		{name: "after a resignation", before: func(h *harness) { h.BecomeLeader(LeaderTerm{Term: 1}); h.Resign("test", 20*time.Second) }, delay: 20 * time.Second},
	} {
		h := newHarness()
		if test.before != nil {
			test.before(h)
		}
		h.Follow()
		h.answerList(test.keys...)
		if test.delay < 0 {
			h.advance(time.Hour)
			if len(h.grants) > 0 {
				t.Errorf("%s: the controller campaigns", test.name)
			}
			continue
		}
		if h.advance(test.delay - 1); len(h.grants) > 0 {
			t.Errorf("%s: the controller campaigns before %s", test.name, test.delay)
		}
		if h.advance(1); len(h.grants) != 1 || h.Role() != Candidate {
			t.Errorf("%s: %d campaigns after %s, role %d", test.name, len(h.grants), test.delay, h.Role())
		}
	}
}

// A scheduled campaign does not take place if there is a leader when it is due.
func TestScheduledCampaignIsCancelled(t *testing.T) {
	h := newHarness()
	h.Follow()
	h.answerList(zoneItem("b"))
	item := leaderItem("n1", 3, 1, 20, 9)
	h.answerWatch(WatchResponse{Status: WatchDelivered, Revision: 41, Events: []protocol.Event{{Key: item.Key, Value: item.Value, Version: 41}}})
	h.advance(time.Hour)
	if len(h.grants) != 0 || h.Role() != Follower || h.OtherLeader() != "n1" {
		t.Errorf("%d campaigns, role %d, leader %q; want none, Follower, n1", len(h.grants), h.Role(), h.OtherLeader())
	}
}

// A candidate is elected only while there is no leader and the term is still the one it read,
// and its key is bound to its lease. A transaction that is applied too late therefore elects no
// leader.
func TestElectionIsConditional(t *testing.T) {
	h := newHarness()
	h.Follow()
	h.answerList(termItem(4, 33))
	h.advance(time.Second)
	h.grants[0](77, true)
	checkClaim(t, h.txns[0])
	granted := h.now
	h.advance(100 * time.Millisecond)
	h.commits[0](true, 50)
	if len(h.leaderTerms) != 1 || h.Role() != Leader {
		t.Fatalf("elected %d times, role %d; want once, Leader", len(h.leaderTerms), h.Role())
	}
	elected := h.leaderTerms[0]
	if elected.Term != 5 || elected.KeyVersion != 50 || elected.Lease.ID != 77 || elected.ElectedAt != h.now {
		t.Errorf("elected with %+v, want term 5, key version 50, lease 77, elected now", elected)
	}
	if end := granted.Add(baseTTL - MaxClockDrift(baseTTL)); elected.Lease.ValidUntil.After(end) {
		t.Errorf("lease counts as valid %s longer than the store keeps it", elected.Lease.ValidUntil.Sub(end))
	}
	if term, version := h.Term(); term != 5 || version != 50 {
		t.Errorf("term %d, version %d; want 5, 50", term, version)
	}
}

// checkClaim checks the transaction of a candidate with lease 77 that read the term key at
// version 33.
func checkClaim(t *testing.T, txn *protocol.Txn) {
	t.Helper()
	conditions := map[string]uint64{}
	for _, condition := range txn.Conditions {
		conditions[condition.Key] = condition.Version
	}
	leader, found := conditions[records.KeyLeader]
	if !found || leader != 0 || conditions[records.KeyTerm] != 33 {
		t.Errorf("claim has the conditions %+v, want the absence of a leader and version 33 of the term", txn.Conditions)
	}
	if txn.Ops[0].Put != records.KeyLeader || txn.Ops[0].Lease != 77 {
		t.Errorf("the first operation doesn't bind the leader key to lease 77, but has lease %d", txn.Ops[0].Lease)
	}
}

// A failed campaign revokes the lease that it was granted, and is repeated after the keys were read
// again.
func TestFailedCampaign(t *testing.T) {
	for _, test := range []struct {
		name    string
		granted bool
		revoked int
	}{
		{"no lease granted", false, 0},
		{"transaction not confirmed", true, 1},
	} {
		h := newHarness()
		h.Follow()
		h.answerList(termItem(4, 33))
		h.advance(time.Second)
		h.grants[0](77, test.granted)
		if test.granted {
			h.commits[0](false, 0)
		}
		if len(h.revoked) != test.revoked || len(h.leaderTerms) != 0 {
			t.Errorf("%s: %d leases revoked, elected %d times", test.name, len(h.revoked), len(h.leaderTerms))
		}
		h.advance(retryDelay)
		if len(h.lists) != 2 || h.wanted[0]() {
			t.Fatalf("%s: the keys were read %d times, want 2, and the first read must no longer be wanted", test.name, len(h.lists))
		}
		h.answerList(termItem(9, 60))
		h.advance(time.Second)
		h.grants[1](78, true)
		if got := h.txns[len(h.txns)-1].Conditions[1].Version; got != 60 {
			t.Errorf("%s: repeated with version %d of the term key, want 60", test.name, got)
		}
	}
}

// A leader that sees a later leader steps down; an older version of the leader key has no
// effect.
func TestStepsDownForLaterLeader(t *testing.T) {
	for _, test := range []struct {
		name    string
		version uint64
		role    Role
	}{
		{"an older leader", 20, Leader},
		{"the version of its own key", 50, Leader},
		{"a later leader", 51, Follower},
	} {
		h := newHarness()
		h.elect()
		item := leaderItem("n1", 6, 1, test.version, 0)
		h.answerWatch(WatchResponse{Status: WatchDelivered, Revision: test.version,
			Events: []protocol.Event{{Key: item.Key, Value: item.Value, Version: test.version}}})
		if h.Role() != test.role || h.leadershipsEnded != map[Role]int{Leader: 0, Follower: 1}[test.role] {
			t.Errorf("%s: role %d, leadership ended %d times", test.name, h.Role(), h.leadershipsEnded)
		}
	}
}

// A leader that resigns revokes its lease, so that the next election need not wait for it to
// expire; one that steps down does not.
func TestResignation(t *testing.T) {
	h := newHarness()
	h.elect()
	h.StepDown("test")
	if h.leadershipsEnded != 1 || len(h.revoked) != 0 {
		t.Errorf("after stepping down: leadership ended %d times, leases %v revoked", h.leadershipsEnded, h.revoked)
	}
	h.StepDown("test")
	if h.leadershipsEnded != 1 {
		t.Error("StepDown of a follower ended a leadership")
	}
	h = newHarness()
	h.elect()
	h.Resign("test", HandOverPause)
	if h.leadershipsEnded != 1 || len(h.revoked) != 1 || h.revoked[0] != 77 {
		t.Errorf("after resigning: leadership ended %d times, leases %v revoked", h.leadershipsEnded, h.revoked)
	}
}

// The lease of this controller's previous process is revoked at once; other leases are not.
func TestLeaseOfPreviousProcessIsRevoked(t *testing.T) {
	for _, test := range []struct {
		name    string
		leader  protocol.KeyValue
		revoked int
	}{
		{"its previous process", leaderItem("n0", 4, 6, 20, 9), 1},
		{"its previous process, with an unknown lease", leaderItem("n0", 4, 6, 20, 0), 0},
		{"this process", leaderItem("n0", 4, 7, 20, 9), 0},
		{"another controller", leaderItem("n1", 4, 6, 20, 9), 0},
	} {
		h := newHarness()
		h.Follow()
		h.answerList(test.leader)
		if len(h.revoked) != test.revoked {
			t.Errorf("%s: %d leases revoked", test.name, len(h.revoked))
		}
	}
}

// After a watch returned events, the next watch continues from its revision. After a compaction
// the keys are read again at once, after a failure they are read again with a delay. Responses
// to an earlier watch are dropped.
func TestWatch(t *testing.T) {
	for _, test := range []struct {
		result         WatchStatus
		watches, lists int // right after the response
		later          int // lists after watchRetryDelay
	}{
		{WatchDelivered, 2, 1, 1},
		{WatchCompacted, 1, 2, 2},
		{WatchFailed, 1, 1, 2},
	} {
		h := newHarness()
		h.Follow()
		h.answerList(leaderItem("n1", 3, 1, 20, 9))
		h.answerWatch(WatchResponse{Status: test.result})
		if len(h.watches) != test.watches || len(h.lists) != test.lists {
			t.Errorf("watch status %d: %d watches, %d reads right after it", test.result, len(h.watches), len(h.lists))
		}
		h.advance(watchRetryDelay)
		if len(h.lists) != test.later {
			t.Errorf("watch status %d: %d reads after watchRetryDelay", test.result, len(h.lists))
		}
	}
	h := newHarness()
	h.Follow()
	h.answerList(leaderItem("n1", 3, 1, 20, 9))
	h.Follow()
	h.answerWatch(WatchResponse{Status: WatchDelivered, Events: []protocol.Event{{Key: records.KeyLeader, Deleted: true}}})
	if h.OtherLeader() != "n1" || len(h.watches) != 1 {
		t.Error("response to an earlier watch was applied")
	}
}

// A leader that lost connectivity to its workers resigns, unless there are no other controllers or all
// of them are disconnected too. Within disconnectedPeriod it resigns again only if another controller
// is eligible.
func TestMarkDisconnected(t *testing.T) {
	for _, test := range []struct {
		name   string
		again  bool
		peers  PeerCounts
		resign bool
	}{
		{"first time", false, PeerCounts{Configured: 2}, true},
		{"one of two peers disconnected", false, PeerCounts{Configured: 2, Disconnected: 1}, true},
		{"all peers disconnected", false, PeerCounts{Configured: 2, Disconnected: 2}, false},
		{"no peers", false, PeerCounts{}, false},
		{"again, no peer eligible", true, PeerCounts{Configured: 2, Disconnected: 1}, false},
		{"again, a peer eligible", true, PeerCounts{Configured: 2, Eligible: 1}, true},
	} {
		h := newHarness()
		if test.again {
			h.MarkDisconnected(PeerCounts{Configured: 2})
		}
		if got := h.MarkDisconnected(test.peers); got != test.resign {
			t.Errorf("%s: resigns: %t", test.name, got)
		}
		if got := h.Disconnected(); got != (test.resign || test.again) {
			t.Errorf("%s: disconnected: %t", test.name, got)
		}
		h.advance(disconnectedPeriod)
		if h.Disconnected() {
			t.Errorf("%s: disconnected for longer than %s", test.name, disconnectedPeriod)
		}
	}
}

// Leadership is handed over only to the recorded preferred zone, and only after
// minTermDuration.
func TestShouldHandOverTo(t *testing.T) {
	for _, test := range []struct {
		name, preferred, zone string
		after                 time.Duration
		want                  bool
	}{
		{"the preferred zone", "b", "b", minTermDuration, true},
		{"before minTermDuration", "b", "b", minTermDuration - 1, false},
		{"its own zone", "a", "a", minTermDuration, false},
		{"a zone not recorded as preferred", "a", "b", minTermDuration, false},
		{"no preferred zone", "", "b", minTermDuration, false},
	} {
		h := newHarness()
		h.Follow()
		h.answerList(zoneItem(test.preferred))
		h.BecomeLeader(LeaderTerm{Term: 5, KeyVersion: 50, ElectedAt: h.now})
		h.now = h.now.Add(test.after)
		if got := h.ShouldHandOverTo(test.zone); got != test.want {
			t.Errorf("%s: hands over: %t", test.name, got)
		}
	}
}

// After a loss of leadership to overload, the controller requests a longer lease.
func TestTTLAfterLossToOverload(t *testing.T) {
	for _, overloaded := range []bool{false, true} {
		h := newHarness()
		h.overloaded = overloaded
		h.elect()
		h.advance(changeWindow + time.Second)
		h.StepDown("test")
		want := baseTTL
		if overloaded {
			want = 4 * baseTTL
		}
		if got := h.CampaignTTL(); got != want {
			t.Errorf("lost to overload %t: campaigns with a lease of %s, want %s", overloaded, got, want)
		}
	}
}
