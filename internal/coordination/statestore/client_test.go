package statestore

import (
	"slices"
	"testing"
	"time"

	"brasskeel/internal/protocol"
)

func TestGet(t *testing.T) {
	found := protocol.EncodeKeyValue(item("a", 7))
	for _, test := range []struct {
		name     string
		response Response
		status   ReadStatus
		version  uint64
	}{
		{name: "found", response: answered(200, found), status: Found, version: 7},
		{name: "absent", response: answered(404, nil), status: Absent},
		{name: "invalid response", response: answered(200, []byte(`{}`))},
		{name: "refused", response: answered(503, nil)},
		{name: "rate limited", response: answered(429, nil)},
		{name: "no response", response: Response{}},
		{name: "not sent", response: Response{NotSent: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, c := newTestClient()
			var got []ReadResult
			c.Get("a", func(r ReadResult) { got = append(got, r) })
			h.answer(t, test.response)
			if len(got) != 1 || got[0].Status != test.status || got[0].Item.Version != test.version {
				t.Errorf("results %+v, want one with the status and contents of this case", got)
			}
		})
	}
}

// A read that must succeed is retried after a delay until its result is known, and no longer
// than its caller is alive.
func TestGetWithRetry(t *testing.T) {
	h, c := newTestClient()
	alive, results := true, 0
	c.GetWithRetry("a", func() bool { return alive }, func(ReadResult) { results++ })
	for range 3 {
		h.answer(t, Response{})
		if h.run(200*time.Millisecond, func() {}); len(h.sent) != 0 {
			t.Fatal("retried before the retry delay")
		}
		h.run(100*time.Millisecond, func() {})
		h.sent = slices.DeleteFunc(h.sent, func(r sentRequest) bool { return r.Target == protocol.KeyTarget("probe") })
	}
	h.answer(t, answered(404, nil))
	if results != 1 {
		t.Fatalf("%d results after the first answered read, want 1", results)
	}
	c.GetWithRetry("a", func() bool { return alive }, func(ReadResult) { results++ })
	alive = false
	h.answer(t, answered(404, nil))
	if results != 1 {
		t.Error("result reported although alive returned false")
	}
}

// A list continues after each page, retries a page that failed, and reports the revision of its
// first page and the time when that page was requested.
func TestList(t *testing.T) {
	h, c := newTestClient()
	var got []ListResult
	c.List("c/", always, func(r ListResult) { got = append(got, r) })
	h.answer(t, Response{})
	h.run(time.Second, func() {})
	requested := h.now.Add(-time.Second + 300*time.Millisecond) // after the retry delay
	h.sent = slices.DeleteFunc(h.sent, func(r sentRequest) bool { return r.Target == protocol.KeyTarget("probe") })
	h.answer(t, answered(200, protocol.EncodeRange([]protocol.KeyValue{item("c/1", 3)}, true, 9)))
	second := h.answer(t, answered(200, protocol.EncodeRange([]protocol.KeyValue{item("c/2", 4)}, false, 12)))
	if second.Target != protocol.RangeTarget("c/", "c/1", pageSize) {
		t.Errorf("second page requested with target %s, want the range after c/1", second.Target)
	}
	if len(got) != 1 || len(got[0].Items) != 2 || got[0].Revision != 9 || !got[0].RequestedAt.Equal(requested) {
		t.Errorf("got %+v, want one result with two items, revision 9 and request time %s", got, requested)
	}
}

// An empty page that announces more pages is retried only after a delay: a list continues after the
// last key of the previous page, so it would request the same page forever.
func TestListRefusesEmptyPageWithMore(t *testing.T) {
	h, c := newTestClient()
	c.List("c/", always, func(ListResult) { t.Error("list completed with an empty page that announces more") })
	h.answer(t, answered(200, protocol.EncodeRange([]protocol.KeyValue{}, true, 9)))
	if len(h.sent) != 0 {
		t.Error("page requested again without the retry delay")
	}
}

func TestWatch(t *testing.T) {
	for _, test := range []struct {
		name     string
		response Response
		status   WatchStatus
		revision uint64
	}{
		{name: "changes", response: answered(200, protocol.EncodeEvents([]protocol.Event{{Key: "c/1", Deleted: true, Version: 12}}, 12)), status: WatchEvents, revision: 12},
		{name: "none", response: answered(200, protocol.EncodeEvents(nil, 9)), status: WatchEvents, revision: 9},
		{name: "revision compacted", response: answered(410, nil), status: WatchCompacted},
		{name: "invalid response", response: answered(200, []byte(`{}`))},
		{name: "refused", response: answered(503, nil)},
		{name: "no response", response: Response{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, c := newTestClient()
			var got []WatchResult
			c.Watch("c/", 9, time.Second, func(r WatchResult) { got = append(got, r) })
			h.answer(t, test.response)
			if len(got) != 1 || got[0].Status != test.status || got[0].Revision != test.revision {
				t.Errorf("results %+v, want one with the status and contents of this case", got)
			}
		})
	}
}

// A missing or invalid response leaves unknown whether a transaction was applied.
func TestCommit(t *testing.T) {
	for _, test := range []struct {
		name     string
		response Response
		want     CommitResult
	}{
		{name: "applied", response: answered(200, protocol.EncodeRevision(7)), want: CommitResult{Status: CommitApplied, Revision: 7}},
		{name: "applied, invalid response", response: answered(200, []byte(`{}`))},
		{name: "conflict", response: answered(409, protocol.EncodeFailedConditions([]string{"a"}, 9)), want: CommitResult{Status: CommitConflict, Failed: []string{"a"}}},
		{name: "conflict without keys", response: answered(409, protocol.EncodeFailedConditions(nil, 9))},
		{name: "refused", response: answered(503, nil), want: CommitResult{Status: CommitRefused}},
		{name: "rate limited", response: answered(429, nil), want: CommitResult{Status: CommitRefused}},
		{name: "lease ended", response: answered(400, nil), want: CommitResult{Status: CommitLeaseExpired}},
		{name: "fault", response: answered(500, nil)},
		{name: "no response", response: Response{}},
		{name: "not sent", response: Response{NotSent: true}, want: CommitResult{Status: CommitRefused}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, c := newTestClient()
			var got []CommitResult
			c.Commit(&protocol.Txn{}, func(r CommitResult) { got = append(got, r) })
			h.answer(t, test.response)
			if len(got) != 1 || got[0].Status != test.want.Status || got[0].Revision != test.want.Revision || !slices.Equal(got[0].Failed, test.want.Failed) {
				t.Errorf("results %+v, want one with the status and contents of this case", got)
			}
			if len(h.sent) != 0 {
				t.Error("transaction sent again")
			}
		})
	}
}

// A lease is granted, renewed and revoked; a response of the given kind to each request has the
// given result.
func TestLeases(t *testing.T) {
	for _, test := range []struct {
		name     string
		response Response
		granted  uint64
		renewed  LeaseStatus
	}{
		{name: "granted, renewed", response: answered(200, protocol.EncodeLease(7)), granted: 7, renewed: LeaseHeld},
		{name: "ended", response: answered(404, nil), renewed: LeaseEnded},
		{name: "refused", response: answered(503, nil)},
		{name: "no response", response: Response{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, c := newTestClient()
			var id uint64
			var granted bool
			c.GrantLease(2*time.Second, func(gotID uint64, got bool) { id, granted = gotID, got })
			h.answer(t, test.response)
			if id != test.granted || granted != (test.granted != 0) {
				t.Errorf("lease %d, granted %t, want lease %d", id, granted, test.granted)
			}
			var status LeaseStatus
			c.RenewLease(7, time.Second, func(got LeaseStatus) { status = got })
			if r := h.answer(t, test.response); r.Target != protocol.RenewLeaseTarget(7) || r.Timeout != time.Second || status != test.renewed {
				t.Errorf("renewal sent to %s with timeout %s, status %d; want the target of lease 7, 1 s and status %d", r.Target, r.Timeout, status, test.renewed)
			}
			c.RevokeLease(7)
			if r := h.answer(t, test.response); r.Method != "DELETE" || r.Target != protocol.LeaseTarget(7) {
				t.Errorf("revocation sent as %s %s, want DELETE of lease 7", r.Method, r.Target)
			}
		})
	}
}

// How a single response affects the service's health, as seen 1.3 s later.
func TestHealth(t *testing.T) {
	for _, test := range []struct {
		name        string
		response    Response
		watch       bool
		unavailable bool
	}{
		{name: "answers", response: answered(200, nil)},
		{name: "not found", response: answered(404, nil)},
		{name: "rate limited", response: answered(429, nil)},
		{name: "refuses", response: answered(503, nil), unavailable: true},
		{name: "server error", response: answered(500, nil), unavailable: true},
		{name: "no response", response: Response{}, unavailable: true},
		{name: "watch without a response", response: Response{}, watch: true},
		{name: "watch refused", response: answered(503, nil), watch: true, unavailable: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, c := newTestClient()
			if test.watch {
				c.Watch("c/", 1, time.Second, func(WatchResult) {})
			} else {
				c.Get("a", func(ReadResult) {})
			}
			h.answer(t, test.response)
			if c.Unavailable() {
				t.Error("unavailable right after a single response")
			}
			h.run(1300*time.Millisecond, func() {})
			if c.Unavailable() != test.unavailable || c.Healthy() == test.unavailable {
				t.Errorf("unavailable %t, healthy %t; want unavailable %t, healthy %t", c.Unavailable(), c.Healthy(), test.unavailable, !test.unavailable)
			}
		})
	}
}

// A failing service is probed until it answers, and not after that.
func TestProbesUntilRecovered(t *testing.T) {
	h, c := newTestClient()
	c.Get("a", func(ReadResult) {})
	h.answer(t, Response{})
	for range 5 {
		h.run(300*time.Millisecond, func() {})
		if r := h.answer(t, Response{}); r.Target != protocol.KeyTarget("probe") {
			t.Fatalf("read %s instead of the probe key", r.Target)
		}
	}
	if !c.Unavailable() {
		t.Fatal("available after 1.5 s without a response")
	}
	h.run(300*time.Millisecond, func() {})
	h.answer(t, answered(404, nil))
	h.run(10*time.Second, func() {})
	if c.Unavailable() || len(h.sent) != 0 {
		t.Errorf("after the recovery: unavailable %t, %d requests in flight; want false, 0", c.Unavailable(), len(h.sent))
	}
}

// A service that hasn't answered for a while is probed once. While it fails, probeUntilRecovered
// probes it, so ProbeIfIdle sends nothing.
func TestProbeIfIdle(t *testing.T) {
	h, c := newTestClient()
	c.ProbeIfIdle()
	if len(h.sent) != 0 {
		t.Error("probed although the service has just answered")
	}
	h.run(2*time.Second, func() {})
	c.ProbeIfIdle()
	h.answer(t, Response{})
	c.ProbeIfIdle()
	if len(h.sent) != 0 {
		t.Error("probed by ProbeIfIdle while the service fails")
	}
	if h.run(6*time.Second, func() {}); c.Healthy() {
		t.Error("healthy after 6 s without a response")
	}
}
