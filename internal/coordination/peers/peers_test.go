package peers

import (
	"testing"
	"time"
)

var start = time.Date(2026, 9, 21, 12, 0, 0, 0, time.UTC)

// A peer's status counts as fresh until statusTTL, and makes the peer eligible until eligibilityTTL,
// after its last message.
func TestStatus(t *testing.T) {
	for _, test := range []struct {
		name            string
		status          Status
		age             time.Duration
		fresh, eligible bool
	}{
		{"just received", Status{StoreReachable: true}, 0, true, true},
		{"just before eligibility ends", Status{StoreReachable: true}, eligibilityTTL - 1, true, true},
		{"too old to be eligible", Status{StoreReachable: true}, eligibilityTTL, true, false},
		{"too old to be fresh", Status{StoreReachable: true}, statusTTL, false, false},
		{"state service not reachable", Status{}, 0, true, false},
		{"disconnected", Status{StoreReachable: true, Disconnected: true}, 0, true, false},
		{"workers not reachable", Status{StoreReachable: true, WorkersUnreachable: true}, 0, true, true},
	} {
		test.status.LastReceivedAt = start
		now := start.Add(test.age)
		if fresh, eligible := test.status.Fresh(now), test.status.Eligible(now); fresh != test.fresh || eligible != test.eligible {
			t.Errorf("%s: fresh %t, eligible %t; want %t, %t", test.name, fresh, eligible, test.fresh, test.eligible)
		}
		table := Table{"n1": &test.status}
		if table.AnyFresh(now) != test.fresh || table.AnyEligible(now) != test.eligible || table.StoreReachable(now) != (test.fresh && test.status.StoreReachable) {
			t.Errorf("%s: results of the table differ from those of the status", test.name)
		}
	}
}

// Only peers with a recent status are counted, each once.
func TestConnectivity(t *testing.T) {
	table := Table{
		"a": {LastReceivedAt: start, StoreReachable: true},
		"b": {LastReceivedAt: start, StoreReachable: true, Disconnected: true},
		"c": {LastReceivedAt: start, Disconnected: true},
		"d": {LastReceivedAt: start},
		"e": {LastReceivedAt: start.Add(-statusTTL), StoreReachable: true, Disconnected: true},
	}
	if eligible, disconnected := table.Connectivity(start); eligible != 1 || disconnected != 2 {
		t.Errorf("%d peers eligible, %d disconnected; want 1, 2", eligible, disconnected)
	}
}

// The progress that a leader reports counts for progressTTL, and only within that leader's
// term.
func TestProgress(t *testing.T) {
	for _, test := range []struct {
		name  string
		after time.Duration // from the progress until the next message
		next  Message
		known bool
	}{
		{"at once", 0, Message{Term: 4}, true},
		{"just before it expires", progressTTL, Message{Term: 4}, true},
		{"after it has expired", progressTTL + 1, Message{Term: 4}, false},
		{"another term", time.Second, Message{Term: 5}, false},
		{"no longer the leader", time.Second, Message{}, false},
	} {
		table := Table{}
		table.Receive(&Message{Sender: "n1", Term: 4, Progress: map[string]JobProgress{"run-000001": {3, 2}}}, start)
		test.next.Sender = "n1"
		now := start.Add(test.after)
		table.Receive(&test.next, now)
		p, known := table["n1"].Progress("run-000001", now)
		if known != test.known || known && (p.Done() != 3 || p.Running() != 2) {
			t.Errorf("%s: progress %v, known %t; want [3 2] if known, known %t", test.name, p, known, test.known)
		}
	}
}

// A message is decoded as it was encoded, and its entries take no more bytes than OutcomeSize
// and ProgressSize return.
func TestMessage(t *testing.T) {
	const job = "run-000001"
	empty := Message{Sender: "n1", Progress: map[string]JobProgress{"x": {}}, Done: map[string]int{"x": 0}}
	one := Message{Sender: "n1", Progress: map[string]JobProgress{"x": {}, job: {99999, 99999}}, Done: map[string]int{"x": 0, job: 99999}}
	if grown := len(one.Encode()) - len(empty.Encode()); grown > ProgressSize(job)+OutcomeSize(job) {
		t.Errorf("two entries take %d bytes, more than the upper bound of %d", grown, ProgressSize(job)+OutcomeSize(job))
	}
	got, err := Decode(one.Encode())
	if err != nil || got.Sender != "n1" || got.Done[job] != 99999 || got.Progress[job].Running() != 99999 {
		t.Errorf("decoded %+v, error %v", got, err)
	}
	if _, err := Decode([]byte("{")); err == nil {
		t.Error("truncated message decoded without an error")
	}
}
