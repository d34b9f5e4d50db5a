package leadership

import (
	"testing"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// A controller campaigns only while nobody is seen to lead, and later where others should
// come first.
func TestCampaignDelay(t *testing.T) {
	for _, test := range []struct {
		name   string
		keys   []protocol.KeyValue
		before func(h *harness)
		delay  time.Duration // -1: none
	}{
		{name: "nobody leads", delay: 0},
		{name: "another controller leads", keys: []protocol.KeyValue{leaderItem("n1", 4, 1, 20, 9)}, delay: -1},
		{name: "its zone is the preferred one", keys: []protocol.KeyValue{zoneItem("a")}, delay: 0},
		{name: "another zone is", keys: []protocol.KeyValue{zoneItem("b")}, delay: otherZoneDelay},
		{name: "it is disconnected", before: func(h *harness) { h.MarkDisconnected(PeerCounts{Configured: 2}) }, delay: disconnectedDelay},
		{name: "both", keys: []protocol.KeyValue{zoneItem("b")}, before: func(h *harness) { h.MarkDisconnected(PeerCounts{Configured: 2}) },
			delay: otherZoneDelay + disconnectedDelay},
		{name: "it resigned", before: func(h *harness) { h.BecomeLeader(LeaderTerm{Term: 1}); h.Resign("test", 20*time.Second) }, delay: 20 * time.Second},
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
				t.Errorf("%s: it campaigns", test.name)
			}
			continue
		}
		if h.advance(test.delay - 1); len(h.grants) > 0 {
			t.Errorf("%s: it campaigns before %s", test.name, test.delay)
		}
		if h.advance(1); len(h.grants) != 1 || h.Role() != Candidate {
			t.Errorf("%s: %d campaigns after %s, role %d", test.name, len(h.grants), test.delay, h.Role())
		}
	}
}

// A scheduled campaign is given up when somebody leads by then.
func TestScheduledCampaignIsCancelled(t *testing.T) {
	h := newHarness()
	h.Follow()
	h.answerList(zoneItem("b"))
	item := leaderItem("n1", 3, 1, 20, 9)
	h.answerWatch(WatchResponse{Status: WatchDelivered, Revision: 41, Events: []protocol.Event{{Key: item.Key, Value: item.Value, Version: 41}}})
	h.advance(time.Hour)
	if len(h.grants) != 0 || h.Role() != Follower || h.OtherLeader() != "n1" {
		t.Errorf("%d campaigns, role %d, leader %q", len(h.grants), h.Role(), h.OtherLeader())
	}
}

// A candidate is elected only while nobody leads and in the term after the one it read, and
// its key goes with its lease: a transaction that is carried out late elects nobody.
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
		t.Fatalf("%d mandates, role %d", len(h.leaderTerms), h.Role())
	}
	m := h.leaderTerms[0]
	if m.Term != 5 || m.KeyVersion != 50 || m.Lease.ID != 77 || m.ElectedAt != h.now {
		t.Errorf("mandate %+v", m)
	}
	if end := granted.Add(baseTTL - MaxClockDrift(baseTTL)); m.Lease.ValidUntil.After(end) {
		t.Errorf("the lease counts from %s after it was asked for", m.Lease.ValidUntil.Sub(end))
	}
	if term, version := h.Term(); term != 5 || version != 50 {
		t.Errorf("term %d in version %d", term, version)
	}
}

// checkClaim checks a candidate's transaction with lease 77, after a term of version 33.
func checkClaim(t *testing.T, txn *protocol.Txn) {
	t.Helper()
	demands := map[string]uint64{}
	for _, condition := range txn.Conditions {
		demands[condition.Key] = condition.Version
	}
	leader, demanded := demands[records.KeyLeader]
	if !demanded || leader != 0 || demands[records.KeyTerm] != 33 {
		t.Errorf("elected under %+v", txn.Conditions)
	}
	if txn.Ops[0].Put != records.KeyLeader || txn.Ops[0].Lease != 77 {
		t.Errorf("the key goes with lease %d", txn.Ops[0].Lease)
	}
}

// A campaign that fails leaves no lease behind, and is repeated on keys that are read anew.
func TestFailedCampaign(t *testing.T) {
	for _, test := range []struct {
		name    string
		granted bool
		revoked int
	}{
		{"no lease", false, 0},
		{"the transaction isn't applied for certain", true, 1},
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
			t.Errorf("%s: %d leases revoked, %d mandates", test.name, len(h.revoked), len(h.leaderTerms))
		}
		h.advance(retryDelay)
		if len(h.lists) != 2 || h.wanted[0]() {
			t.Fatalf("%s: the keys were read %d times", test.name, len(h.lists))
		}
		h.answerList(termItem(9, 60))
		h.advance(time.Second)
		h.grants[1](78, true)
		if got := h.txns[len(h.txns)-1].Conditions[1].Version; got != 60 {
			t.Errorf("%s: repeated on version %d of the term", test.name, got)
		}
	}
}

// A leader that sees a later one steps down; an older copy of the key deposes nobody.
func TestStepsDownForLaterLeader(t *testing.T) {
	for _, test := range []struct {
		name    string
		version uint64
		role    Role
	}{
		{"an older leader", 20, Leader},
		{"itself", 50, Leader},
		{"a later one", 51, Follower},
	} {
		h := newHarness()
		h.elect()
		item := leaderItem("n1", 6, 1, test.version, 0)
		h.answerWatch(WatchResponse{Status: WatchDelivered, Revision: test.version,
			Events: []protocol.Event{{Key: item.Key, Value: item.Value, Version: test.version}}})
		if h.Role() != test.role || h.leadershipsEnded != map[Role]int{Leader: 0, Follower: 1}[test.role] {
			t.Errorf("%s: role %d, deposed %d times", test.name, h.Role(), h.leadershipsEnded)
		}
	}
}

// A leader that resigns revokes its lease, so that nobody has to wait for its end; one that
// steps down leaves it.
func TestResignation(t *testing.T) {
	h := newHarness()
	h.elect()
	h.StepDown("test")
	if h.leadershipsEnded != 1 || len(h.revoked) != 0 {
		t.Errorf("after it stepped down: deposed %d times, leases %v revoked", h.leadershipsEnded, h.revoked)
	}
	h.StepDown("test")
	if h.leadershipsEnded != 1 {
		t.Error("a follower stepped down")
	}
	h = newHarness()
	h.elect()
	h.Resign("test", HandOverPause)
	if h.leadershipsEnded != 1 || len(h.revoked) != 1 || h.revoked[0] != 77 {
		t.Errorf("after it resigned: deposed %d times, leases %v revoked", h.leadershipsEnded, h.revoked)
	}
}

// The lease of this controller's earlier process is revoked at once; nobody else's is.
func TestLeaseOfPreviousProcessIsRevoked(t *testing.T) {
	for _, test := range []struct {
		name    string
		leader  protocol.KeyValue
		revoked int
	}{
		{"its earlier process", leaderItem("n0", 4, 6, 20, 9), 1},
		{"its earlier process, under a lease that isn't known", leaderItem("n0", 4, 6, 20, 0), 0},
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

// A watch goes on from where it ended. One whose changes are lost reads the keys anew at once,
// one that failed does after a pause, and answers to an older watch are dropped.
func TestWatch(t *testing.T) {
	for _, test := range []struct {
		result         WatchStatus
		watches, lists int // after the answer
		later          int // reads after a pause
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
			t.Errorf("result %d: %d watches, %d reads", test.result, len(h.watches), len(h.lists))
		}
		h.advance(watchRetryDelay)
		if len(h.lists) != test.later {
			t.Errorf("result %d: %d reads after a pause", test.result, len(h.lists))
		}
	}
	h := newHarness()
	h.Follow()
	h.answerList(leaderItem("n1", 3, 1, 20, 9))
	h.Follow()
	h.answerWatch(WatchResponse{Status: WatchDelivered, Events: []protocol.Event{{Key: records.KeyLeader, Deleted: true}}})
	if h.OtherLeader() != "n1" || len(h.watches) != 1 {
		t.Error("an answer to an older watch counts")
	}
}

// A leader that lost connectivity to its workers resigns once, unless all others did the
// same, and again only for another controller that may reach them.
func TestMarkDisconnected(t *testing.T) {
	for _, test := range []struct {
		name   string
		again  bool
		peers  PeerCounts
		resign bool
	}{
		{"for the first time", false, PeerCounts{Configured: 2}, true},
		{"while one of two others did", false, PeerCounts{Configured: 2, Disconnected: 1}, true},
		{"as all others did", false, PeerCounts{Configured: 2, Disconnected: 2}, false},
		{"without others", false, PeerCounts{}, false},
		{"again, and nobody is eligible", true, PeerCounts{Configured: 2, Disconnected: 1}, false},
		{"again, while another is eligible", true, PeerCounts{Configured: 2, Eligible: 1}, true},
	} {
		h := newHarness()
		if test.again {
			h.MarkDisconnected(PeerCounts{Configured: 2})
		}
		if got := h.MarkDisconnected(test.peers); got != test.resign {
			t.Errorf("%s: resigns %t", test.name, got)
		}
		if got := h.Disconnected(); got != (test.resign || test.again) {
			t.Errorf("%s: disconnected %t", test.name, got)
		}
		h.advance(disconnectedPeriod)
		if h.Disconnected() {
			t.Errorf("%s: disconnected for longer than %s", test.name, disconnectedPeriod)
		}
	}
}

// The leadership is handed over to the zone that the store calls the better one, once the
// leader has been there for a while.
func TestShouldHandOverTo(t *testing.T) {
	for _, test := range []struct {
		name, preferred, zone string
		after                 time.Duration
		want                  bool
	}{
		{"the preferred zone", "b", "b", minTermDuration, true},
		{"too soon", "b", "b", minTermDuration - 1, false},
		{"its own zone", "a", "a", minTermDuration, false},
		{"a zone that isn't recorded yet", "a", "b", minTermDuration, false},
		{"without a preference", "", "b", minTermDuration, false},
	} {
		h := newHarness()
		h.Follow()
		h.answerList(zoneItem(test.preferred))
		h.BecomeLeader(LeaderTerm{Term: 5, KeyVersion: 50, ElectedAt: h.now})
		h.now = h.now.Add(test.after)
		if got := h.ShouldHandOverTo(test.zone); got != test.want {
			t.Errorf("%s: %t", test.name, got)
		}
	}
}

// A leadership that was lost to overload makes the next lease longer.
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
			t.Errorf("overloaded %t: %s, want %s", overloaded, got, want)
		}
	}
}
