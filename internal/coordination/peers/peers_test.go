package peers

import (
	"testing"
	"time"
)

var start = time.Date(2026, 9, 21, 12, 0, 0, 0, time.UTC)

// What a peer said of itself counts for a short time.
func TestStatus(t *testing.T) {
	for _, test := range []struct {
		name            string
		status          Status
		age             time.Duration
		fresh, eligible bool
	}{
		{"just heard", Status{StoreReachable: true}, 0, true, true},
		{"just eligible", Status{StoreReachable: true}, eligibilityTTL - 1, true, true},
		{"too old to lead", Status{StoreReachable: true}, eligibilityTTL, true, false},
		{"old", Status{StoreReachable: true}, statusTTL, false, false},
		{"without the state service", Status{}, 0, true, false},
		{"disconnected", Status{StoreReachable: true, Disconnected: true}, 0, true, false},
		{"without workers", Status{StoreReachable: true, WorkersUnreachable: true}, 0, true, true},
	} {
		test.status.HeardAt = start
		now := start.Add(test.age)
		if fresh, eligible := test.status.Fresh(now), test.status.Eligible(now); fresh != test.fresh || eligible != test.eligible {
			t.Errorf("%s: fresh %t, eligible %t", test.name, fresh, eligible)
		}
		table := Table{"n1": &test.status}
		if table.AnyFresh(now) != test.fresh || table.AnyEligible(now) != test.eligible || table.StoreReachable(now) != (test.fresh && test.status.StoreReachable) {
			t.Errorf("%s: the table differs", test.name)
		}
	}
}

// Only peers that were heard lately are counted, each once.
func TestConnectivity(t *testing.T) {
	table := Table{
		"a": {HeardAt: start, StoreReachable: true},
		"b": {HeardAt: start, StoreReachable: true, Disconnected: true},
		"c": {HeardAt: start, Disconnected: true},
		"d": {HeardAt: start},
		"e": {HeardAt: start.Add(-statusTTL), StoreReachable: true, Disconnected: true},
	}
	if eligible, disconnected := table.Connectivity(start); eligible != 1 || disconnected != 2 {
		t.Errorf("%d eligible, %d disconnected", eligible, disconnected)
	}
}

// A leader's word on a job counts for progressTTL, and as long as the leader's term.
func TestProgress(t *testing.T) {
	for _, test := range []struct {
		name  string
		after time.Duration
		next  Message // heard then
		known bool
	}{
		{"at once", 0, Message{Term: 4}, true},
		{"as long as it counts", progressTTL, Message{Term: 4}, true},
		{"later", progressTTL + 1, Message{Term: 4}, false},
		{"in another term", time.Second, Message{Term: 5}, false},
		{"from one that leads no more", time.Second, Message{}, false},
	} {
		table := Table{}
		table.Receive(&Message{Sender: "n1", Term: 4, Progress: map[string]JobProgress{"run-000001": {3, 2}}}, start)
		test.next.Sender = "n1"
		now := start.Add(test.after)
		table.Receive(&test.next, now)
		p, known := table["n1"].Progress("run-000001", now)
		if known != test.known || known && (p.Done() != 3 || p.Running() != 2) {
			t.Errorf("%s: %v %t", test.name, p, known)
		}
	}
}

// A message is read as it was written, and its entries take no more than their sizes say.
func TestMessage(t *testing.T) {
	const job = "run-000001"
	empty := Message{Sender: "n1", Progress: map[string]JobProgress{"x": {}}, Done: map[string]int{"x": 0}}
	one := Message{Sender: "n1", Progress: map[string]JobProgress{"x": {}, job: {99999, 99999}}, Done: map[string]int{"x": 0, job: 99999}}
	if grown := len(one.Encode()) - len(empty.Encode()); grown > ProgressSize(job)+OutcomeSize(job) {
		t.Errorf("two entries take %d bytes, sizes say %d", grown, ProgressSize(job)+OutcomeSize(job))
	}
	got, err := Decode(one.Encode())
	if err != nil || got.Sender != "n1" || got.Done[job] != 99999 || got.Progress[job].Running() != 99999 {
		t.Errorf("got %+v, %v", got, err)
	}
	if _, err := Decode([]byte("{")); err == nil {
		t.Error("half a message is read")
	}
}
