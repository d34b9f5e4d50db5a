package leadership

import (
	"testing"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// Repeated leader changes lengthen the lease. With a short lease, leaders of a large fleet were too
// busy to renew it, left the same work to the next leader, and none ever completed it.
func TestTTLGrowsWithLeaderChanges(t *testing.T) {
	p, now := NewTTLPolicy(baseTTL), start
	if got := p.TTL(now, false); got != baseTTL {
		t.Errorf("lease of %s without changes, want %s", got, baseTTL)
	}
	for i, want := range []time.Duration{2 * baseTTL, 2 * baseTTL, 4 * baseTTL, 4 * baseTTL} {
		p.LeaderChanged(now)
		if got := p.TTL(now, false); got != want {
			t.Errorf("after %d changes: lease of %s, want %s", i+1, got, want)
		}
	}
	now = now.Add(changeWindow + time.Second)
	if got := p.TTL(now, false); got != baseTTL {
		t.Errorf("lease of %s after changeWindow without changes, want %s", got, baseTTL)
	}
}

// Unresponsive peers count as one leader change. A loss to overload gives the longest lease until
// overloadWindow has passed.
func TestTTL(t *testing.T) {
	for _, test := range []struct {
		name              string
		changes           int
		peersUnresponsive bool
		lost              time.Duration // time since the loss to overload; 0: never
		want              time.Duration
	}{
		{"no changes", 0, false, 0, baseTTL},
		{"unresponsive peers", 0, true, 0, 2 * baseTTL},
		{"unresponsive peers and a change", 1, true, 0, 2 * baseTTL},
		{"unresponsive peers and two changes", 2, true, 0, 4 * baseTTL},
		{"lost to overload", 0, false, time.Second, 4 * baseTTL},
		{"lost to overload long ago", 0, false, overloadWindow, baseTTL},
	} {
		p := NewTTLPolicy(baseTTL)
		for range test.changes {
			p.LeaderChanged(start)
		}
		if test.lost > 0 {
			p.LostToOverload(start.Add(-test.lost))
		}
		if got := p.TTL(start, test.peersUnresponsive); got != test.want {
			t.Errorf("%s: lease of %s, want %s", test.name, got, test.want)
		}
	}
}

func TestMajorityZone(t *testing.T) {
	for _, test := range []struct {
		name     string
		machines map[string]int
		want     string
	}{
		{"no machines", nil, ""},
		{"too few machines", map[string]int{"a": 2}, ""},
		{"one zone", map[string]int{"a": 3}, "a"},
		{"exactly two thirds", map[string]int{"a": 4, "b": 2}, ""},
		{"more than two thirds", map[string]int{"a": 2, "b": 5}, "b"},
		{"three zones", map[string]int{"a": 2, "b": 2, "c": 2}, ""},
	} {
		zone, ok := MajorityZone(test.machines)
		if zone != test.want || ok != (test.want != "") {
			t.Errorf("%s: zone %q, found %t; want %q", test.name, zone, ok, test.want)
		}
	}
}

// Values that cannot be decoded are ignored. A list of all keys clears what it does not
// contain, except for the preferred zone.
func TestView(t *testing.T) {
	var v view
	for _, test := range []struct {
		name      string
		items     []protocol.KeyValue
		newLeader bool
		want      view
	}{
		{"nothing", nil, false, view{}},
		{"a leader", []protocol.KeyValue{leaderItem("n1", 4, 1, 20, 9), termItem(4, 20), zoneItem("b"), {Key: records.KeySharded}}, true,
			view{leader: records.Leader{Controller: "n1", Zone: "a", Term: 4, Incarnation: 1}, leaderVersion: 20, leaderLease: 9, term: 4, termVersion: 20, preferredZone: "b", sharded: true}},
		{"undecodable values", []protocol.KeyValue{{Key: records.KeyLeader, Value: []byte(`"?"`), Version: 30}, {Key: records.KeyTerm, Value: []byte("{"), Version: 30}}, false,
			view{preferredZone: "b"}},
		{"no leader", []protocol.KeyValue{termItem(4, 20)}, false, view{term: 4, termVersion: 20, preferredZone: "b"}},
	} {
		if got := v.replace(test.items); got != test.newLeader || v != test.want {
			t.Errorf("%s: new leader %t, view %+v", test.name, got, v)
		}
	}
}

// fakeLeaseHolder is a LeaseHolder that counts its calls.
type fakeLeaseHolder struct {
	holds                  bool
	sent, renewed, expired int
}

func (h *fakeLeaseHolder) NeedsLease() bool { return h.holds }
func (h *fakeLeaseHolder) RenewalSent()     { h.sent++ }
func (h *fakeLeaseHolder) LeaseRenewed()    { h.renewed++ }
func (h *fakeLeaseHolder) LeaseExpired()    { h.expired++ }

// A lease is renewed at intervals of three tenths of its time to live, after renewalRetryDelay if
// a renewal failed, and no longer once it has expired or its holder does not need it.
func TestLeaseRenewal(t *testing.T) {
	for _, test := range []struct {
		name    string
		renewal Renewal
		keeps   bool          // whether the holder still needs the lease when the response arrives
		next    time.Duration // until the next renewal; -1: never
		valid   bool          // whether the renewal extends ValidUntil
	}{
		{"renewed", RenewalSucceeded, true, baseTTL * 3 / 10, true},
		{"no response", RenewalUnknown, true, renewalRetryDelay, false},
		{"expired", RenewalExpired, true, -1, false},
		{"no longer needed", RenewalSucceeded, false, -1, false},
	} {
		h, holder := newHarness(), &fakeLeaseHolder{holds: true}
		lease := NewLease(77, baseTTL, h.now)
		granted := lease.ValidUntil
		h.advance(time.Second)
		KeepLeaseAlive(h, h, &lease, holder)
		sent := h.now
		h.advance(100 * time.Millisecond) // until the response; the lease counts from the request
		holder.holds = test.keeps
		h.renewals[0](test.renewal)
		want := granted
		if test.valid {
			want = sent.Add(baseTTL - MaxClockDrift(baseTTL))
		}
		if !lease.ValidUntil.Equal(want) {
			t.Errorf("%s: lease counts as valid %s longer than expected", test.name, lease.ValidUntil.Sub(want))
		}
		if test.next < 0 {
			if h.advance(time.Hour); len(h.renewals) != 1 {
				t.Errorf("%s: renewed again, want no further renewal", test.name)
			}
			continue
		}
		if h.advance(test.next - 1); len(h.renewals) != 1 {
			t.Errorf("%s: renewed again before %s", test.name, test.next)
		}
		if h.advance(1); len(h.renewals) != 2 || holder.sent != 2 {
			t.Errorf("%s: %d renewals after %s", test.name, len(h.renewals), test.next)
		}
	}
}
