package statestore

import (
	"slices"
	"strings"
	"testing"
	"time"

	"brasskeel/internal/protocol"
)

// guard is the condition on all transactions in these tests.
var guard = protocol.Condition{Key: "guard", Version: 5}

// newTestCommitter returns a committer with at most three operations per transaction and a
// budget of ten operations per second.
func newTestCommitter() (*fakeHost, *fakeSource, *Committer) {
	h, c := newTestClient()
	s := &fakeSource{}
	return h, s, NewCommitter(c, s, guard, 3, 10/rateShare)
}

// sentTxn returns the oldest unanswered transaction, or nil if there is none.
func sentTxn(t *testing.T, h *fakeHost) *protocol.Txn {
	t.Helper()
	for _, r := range h.sent {
		if r.Target == protocol.PathTransactions {
			txn, err := protocol.ParseTxn(r.Body)
			if err != nil {
				t.Fatal(err)
			}
			return txn
		}
	}
	return nil
}

// The result of a transaction is reported to its batch, once, and decides whether the next
// transaction is delayed.
func TestTransactionResults(t *testing.T) {
	for _, test := range []struct {
		name     string
		response Response
		history  string
		pause    bool // before the next transaction
	}{
		{name: "applied", response: answered(200, protocol.EncodeRevision(7)), history: "applied [a b] at 7"},
		{name: "conflict", response: answered(409, protocol.EncodeFailedConditions([]string{"b"}, 9)), history: "conflict on [b]"},
		{name: "refused", response: answered(503, nil), history: "refused [a b]", pause: true},
		{name: "rate limited", response: answered(429, nil), history: "refused [a b]", pause: true},
		{name: "not sent", response: Response{NotSent: true}, history: "refused [a b]", pause: true},
		{name: "no response", response: Response{}, history: "unknown [a b]"},
		{name: "fault", response: answered(500, nil), history: "unknown [a b]"},
		{name: "invalid response", response: answered(200, nil), history: "unknown [a b]"},
		{name: "status 400, which means an ended lease, although none is named", response: answered(400, nil), history: "unknown [a b]"},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, s, c := newTestCommitter()
			s.keys = []string{"a", "b"}
			c.Flush()
			s.keys = []string{"c"}
			if c.Flush(); len(h.sent) != 1 {
				t.Fatalf("%d transactions in flight, want 1", len(h.sent))
			}
			txn := sentTxn(t, h)
			if len(txn.Ops) != 2 || len(txn.Conditions) != 3 || txn.Conditions[0] != guard {
				t.Errorf("sent %+v, want two operations under three conditions, the guard first", txn)
			}
			h.answer(t, test.response)
			if len(s.history) != 1 || s.history[0] != test.history {
				t.Errorf("results %q, want %q", s.history, test.history)
			}
			c.Flush()
			if paused := sentTxn(t, h) == nil; paused != test.pause {
				t.Errorf("paused before the next transaction: %t, want %t", paused, test.pause)
			}
			h.run(250*time.Millisecond, c.Flush)
			if sentTxn(t, h) == nil {
				t.Error("no transaction is sent after the pause")
			}
		})
	}
}

// A result isn't reported to a source that has ended, and nothing more is sent for it.
func TestEndedSource(t *testing.T) {
	h, s, c := newTestCommitter()
	s.keys = []string{"a"}
	c.Flush()
	s.ended = true
	h.answer(t, answered(200, protocol.EncodeRevision(7)))
	s.keys = []string{"b"}
	c.Flush()
	if len(s.history) != 0 || len(h.sent) != 0 {
		t.Errorf("results %q, %d requests in flight; want none of either", s.history, len(h.sent))
	}
}

// Unknown versions are read, with retries, before the next transaction is sent.
func TestRereadBlocksTransactions(t *testing.T) {
	h, s, c := newTestCommitter()
	versions := map[int]uint64{}
	c.RereadVersions([]string{"a", "b"}, func(index int, version uint64) { versions[index] = version })
	s.keys = []string{"c"}
	c.Flush()
	h.answer(t, answered(200, protocol.EncodeKeyValue(item("a", 7))))
	h.answer(t, Response{})
	if c.Flush(); sentTxn(t, h) != nil || len(versions) != 1 || versions[0] != 7 {
		t.Fatalf("versions %v while a read is retried, want only that of the first key, 7", versions)
	}
	h.run(260*time.Millisecond, c.Flush)
	h.answer(t, answered(404, nil))
	if version, known := versions[1]; !known || version != 0 {
		t.Errorf("versions %v, want 0 for the second key, which is absent", versions)
	}
	if c.Flush(); sentTxn(t, h) == nil {
		t.Error("no transaction is sent although all versions are known")
	}
}

// Without keys RereadVersions doesn't hold transactions back.
func TestRereadWithoutKeys(t *testing.T) {
	h, s, c := newTestCommitter()
	c.RereadVersions(nil, func(int, uint64) { t.Error("version reported although no keys were given") })
	s.keys = []string{"a"}
	if c.Flush(); sentTxn(t, h) == nil {
		t.Error("no transaction is sent")
	}
}

// Records that don't fit into a transaction are written by the next one, and records that exceed the
// write budget wait.
func TestRoomAndBudget(t *testing.T) {
	h, s, c := newTestCommitter()
	s.keys = strings.Split("abcdefghijklmn", "")
	start := h.now
	var sizes []int
	step := func() {
		c.Flush()
		for sentTxn(t, h) != nil {
			sizes = append(sizes, len(sentTxn(t, h).Ops))
			h.answer(t, answered(200, protocol.EncodeRevision(7)))
			c.Flush()
		}
	}
	step()
	if !slices.Equal(sizes, []int{3, 3, 2}) {
		t.Fatalf("transactions sent at first have %v operations, want 3, 3 and 2", sizes)
	}
	h.run(time.Second, step)
	if len(s.keys) != 0 {
		t.Errorf("%d keys unwritten after %s", len(s.keys), h.now.Sub(start))
	}
	if c.Spend(20); c.Available() > -10 {
		t.Errorf("%g operations available after others wrote twenty, want at most -10", c.Available())
	}
}

// A lazy write is sent when it is due. Of several requested timers only the earliest is kept.
func TestLazyWrites(t *testing.T) {
	h, s, c := newTestCommitter()
	s.pending = Pending{Any: true, Delay: time.Second}
	c.Flush()
	s.pending.Delay = 100 * time.Millisecond
	c.Flush()
	fired := 0
	h.run(200*time.Millisecond, func() { fired++ })
	if fired != 1 {
		t.Errorf("%d timers fired, want 1", fired)
	}
	s.pending = Pending{}
	if c.Flush(); len(h.sent) != 0 {
		t.Error("request sent although nothing is pending")
	}
	// A source may announce pending writes and then add none to the transaction.
	s.pending = Pending{Any: true}
	if c.Flush(); len(h.sent) != 0 {
		t.Error("empty transaction sent")
	}
}

func TestTransactionHasRoom(t *testing.T) {
	large := []byte(strings.Repeat("1", maxTransactionBytes))
	for _, test := range []struct {
		name string
		fill func(*Transaction)
		room bool
	}{
		{name: "empty", fill: func(*Transaction) {}, room: true},
		{name: "one of two", fill: func(t *Transaction) { t.Delete("a") }, room: true},
		{name: "two of two", fill: func(t *Transaction) { t.Delete("a"); t.Put("b", nil) }},
		{name: "conditions count as bytes only", fill: func(t *Transaction) { t.Require("a", 1); t.Require("a", 1); t.Require("b", 0) }, room: true},
		{name: "too many bytes", fill: func(t *Transaction) { t.Put("a", large) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			var txn Transaction
			txn.reset(2)
			test.fill(&txn)
			if txn.HasRoom() != test.room {
				t.Errorf("has room: %t, want %t", txn.HasRoom(), test.room)
			}
			if txn.reset(2); !txn.HasRoom() || len(txn.txn.Ops)+len(txn.txn.Conditions) != 0 {
				t.Errorf("not empty after a reset: %+v", txn)
			}
		})
	}
}
