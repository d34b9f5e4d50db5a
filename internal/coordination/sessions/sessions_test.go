package sessions

import (
	"errors"
	"testing"
	"time"
)

var start = time.Date(2026, 9, 21, 12, 0, 0, 0, time.UTC)

func servedSession(term uint64) *Session { return &Session{Epoch: &Epoch{Term: term, Since: start}} }

func TestClassifyHeartbeat(t *testing.T) {
	s := servedSession(1)
	if got := s.ClassifyHeartbeat(Message{Incarnation: 3, Sequence: 9}); got != Newest {
		t.Errorf("first heartbeat of an unregistered worker: arrival %d, want Newest, %d", got, Newest)
	}
	s.Registered = true
	s.Apply(Message{Incarnation: 3, Sequence: 9}, start)
	s.RecordAnswer(9, start)
	s.Apply(Message{Incarnation: 3, Sequence: 12}, start) // a response to a call
	for _, test := range []struct {
		name                  string
		incarnation, sequence uint64
		want                  Arrival
	}{
		{"that is a duplicate", 3, 9, Stale},
		{"older than the latest heartbeat", 3, 4, Stale},
		{"of an earlier incarnation", 2, 40, Stale},
		{"overtaken by the response", 3, 11, Overtaken},
		{"newer than the response", 3, 13, Newest},
		{"of the next incarnation", 4, 1, Newest},
	} {
		if got := s.ClassifyHeartbeat(Message{Incarnation: test.incarnation, Sequence: test.sequence, Heartbeat: true}); got != test.want {
			t.Errorf("heartbeat %s: arrival %d, want %d (Newest is %d, Overtaken %d, Stale %d)", test.name, got, test.want, Newest, Overtaken, Stale)
		}
	}
}

func TestTokensIncreaseAndNeverWrap(t *testing.T) {
	s := servedSession(7)
	if s.Token() != 7<<TokenBits || TermOf(s.Token()) != 7 {
		t.Fatalf("first token %x of term %d, want the lowest of term 7", s.Token(), TermOf(s.Token()))
	}
	if err := s.RaiseToken(s.Token()-1, start); err != nil || s.Token() != 7<<TokenBits {
		t.Errorf("RaiseToken above a lower token: token %x, want no change; error %v", s.Token(), err)
	}
	for range 1<<TokenBits - 1 {
		before := s.Token()
		if err := s.RaiseToken(before, start); err != nil || s.Token() <= before {
			t.Fatalf("token %x after %x, want a higher one; error %v", s.Token(), before, err)
		}
	}
	last := s.Token()
	if err := s.RaiseToken(last, start); !errors.Is(err, ErrTokensExhausted) || s.Token() != last || TermOf(last) != 7 {
		t.Errorf("RaiseToken above the last token: token %x, want no change; error %v, want ErrTokensExhausted", s.Token(), err)
	}
}

func TestProvesReached(t *testing.T) {
	s := servedSession(1)
	heartbeat := func(token uint64) Message { return Message{Incarnation: 1, Sequence: 1, Token: token, Heartbeat: true} }
	if _, proven := s.ProvesReached(heartbeat(s.Token()), start); proven {
		t.Error("heartbeat proves contact with a token that no heartbeat response has carried")
	}
	s.RecordAnswer(1, start)
	later := start.Add(time.Second)
	if at, proven := s.ProvesReached(heartbeat(s.Token()), later); !proven || !at.Equal(start) {
		t.Errorf("heartbeat with the token of the first response: proven %t, at %s; want true, at the time of the response", proven, at)
	}
	if _, proven := s.ProvesReached(heartbeat(s.Token()), later); proven {
		t.Error("heartbeat proves contact again with a token that was confirmed before")
	}
	if err := s.RaiseToken(s.Token(), later); err != nil {
		t.Fatal(err)
	}
	if _, proven := s.ProvesReached(heartbeat(s.Token()-1), later); proven {
		t.Error("heartbeat proves contact with an older token")
	}
	if at, proven := s.ProvesReached(heartbeat(s.Token()), later.Add(time.Second)); !proven || !at.Equal(later) {
		t.Errorf("heartbeat with a raised token: proven %t, at %s; want true, at the time when it was raised", proven, at)
	}
	if at, proven := s.ProvesReached(Message{}, later); !proven || !at.Equal(later) {
		t.Errorf("call response: proven %t, at %s; want true, now", proven, at)
	}
}

func TestTerminationProofAt(t *testing.T) {
	const lease = 15 * time.Second
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	for _, test := range []struct {
		name                           string
		predecessor, seen, began, last time.Time
		want                           time.Time
	}{
		{name: "never in contact", predecessor: at(20), want: at(35)},
		{name: "has seen a token of the epoch", predecessor: at(20), seen: at(5), want: at(20)},
		{name: "was answered since", predecessor: at(20), seen: at(5), last: at(9), want: at(24)},
		{name: "answered, and hasn't seen the token", predecessor: at(20), last: at(9), want: at(35)},
		{name: "began an incarnation", predecessor: at(20), seen: at(5), last: at(9), began: at(12), want: at(27)},
	} {
		s := servedSession(1)
		s.Epoch.PredecessorUntil, s.EpochSeenAt, s.IncarnationSince, s.LastAnswered = test.predecessor, test.seen, test.began, test.last
		if got := s.TerminationProofAt(lease); !got.Equal(test.want) {
			t.Errorf("%s: after %s, want %s", test.name, got.Sub(start), test.want.Sub(start))
		}
	}
}

// A message that begins an incarnation is detected. It sets IncarnationSince, from which
// TerminationProofAt counts a full lease, and resets the heartbeat sequence.
func TestApplyDetectsNewIncarnation(t *testing.T) {
	s := servedSession(1)
	if !s.Apply(Message{Incarnation: 1, Sequence: 5}, start) {
		t.Error("first message not reported as the beginning of an incarnation")
	}
	s.RecordAnswer(5, start)
	if s.Apply(Message{Incarnation: 1, Sequence: 6}, start.Add(time.Second)) {
		t.Error("second message reported as the beginning of an incarnation")
	}
	if later := start.Add(time.Minute); !s.Apply(Message{Incarnation: 2, Sequence: 1}, later) || !s.IncarnationSince.Equal(later) || s.HeartbeatSequence != 0 {
		t.Errorf("next incarnation not detected, or its state not reset: %+v", s.MessageOrder)
	}
}

func TestEvaluateAbsence(t *testing.T) {
	const base = 5 << TokenBits
	heartbeat := Message{Incarnation: 3, Sequence: 20, Token: base + 1, Heartbeat: true}
	response := Message{Incarnation: 3, Sequence: 20, Token: base + 1}
	for _, test := range []struct {
		name     string
		delivery Delivery
		message  Message
		want     Absence
		reason   string
	}{
		{"never sent", Delivery{}, heartbeat, NotStarted, ""},
		{"was reported", Delivery{Reported: true, DirectPending: true}, heartbeat, Terminated, ReasonNoLongerReported},
		{"inherited, token seen", Delivery{Inherited: true}, heartbeat, Terminated, ReasonNotHeld},
		{"inherited, token not seen", Delivery{Inherited: true}, Message{Token: base - 1, Heartbeat: true}, Undecided, ""},
		{"direct start in flight", Delivery{DirectPending: true, DirectToken: base, DirectIncarnation: 1}, heartbeat, Undecided, ""},
		{"unanswered direct start, fenced", Delivery{DirectToken: base, DirectIncarnation: 3}, heartbeat, NotStarted, ""},
		{"unanswered direct start, not fenced", Delivery{DirectToken: base + 1, DirectIncarnation: 3}, heartbeat, Unfenced, ""},
		{"unanswered direct start, another incarnation", Delivery{DirectToken: base + 9, DirectIncarnation: 2}, response, Terminated, ReasonLeaseExpired},
		{"sent to an earlier incarnation", Delivery{SentIncarnation: 2, SentSequence: 40}, response, Terminated, ReasonLeaseExpired},
		{"sent with a heartbeat response, next heartbeat", Delivery{SentIncarnation: 3, SentSequence: 19}, heartbeat, NotStarted, ""},
		{"sent with a heartbeat response, call response", Delivery{SentIncarnation: 3, SentSequence: 19}, response, Undecided, ""},
		{"sent with a later heartbeat response", Delivery{SentIncarnation: 3, SentSequence: 20}, heartbeat, Undecided, ""},
	} {
		got, reason := test.delivery.EvaluateAbsence(test.message, base)
		if got != test.want || reason != test.reason {
			t.Errorf("%s: verdict %d, reason %q, want %d, %q (Undecided is %d, Terminated %d, Unfenced %d, NotStarted %d)",
				test.name, got, reason, test.want, test.reason, Undecided, Terminated, Unfenced, NotStarted)
		}
	}
}

func TestNeverSent(t *testing.T) {
	for name, change := range map[string]func(*Delivery){
		"inherited":      func(d *Delivery) { d.Inherited = true },
		"owner notified": func(d *Delivery) { d.OwnerNotified = true },
		"reported":       func(d *Delivery) { d.Reported = true },
		"in a response":  func(d *Delivery) { d.MarkSent(1, 2) },
		"by a call":      func(d *Delivery) { d.MarkDirectSent(1, 2) },
	} {
		var d Delivery
		if !d.NeverSent() {
			t.Fatal("zero value counts as sent")
		}
		if change(&d); d.NeverSent() {
			t.Errorf("%s: counts as never sent", name)
		}
	}
}

func TestPresumedDead(t *testing.T) {
	timing := Timing{HeartbeatInterval: 2 * time.Second, WorkerLease: 15 * time.Second}
	for _, test := range []struct {
		name string
		loss ContactLoss
		want bool
	}{
		{"in contact", ContactLoss{Unseen: 2 * time.Second}, false},
		{"no messages", ContactLoss{Unseen: 5*time.Second + 1}, true},
		{"no messages for less", ContactLoss{Unseen: 5 * time.Second, FailedProbes: 2}, false},
		{"doesn't answer probes", ContactLoss{Unseen: 4 * time.Second, FailedProbes: 3}, true},
		{"doesn't answer probes, was seen", ContactLoss{Unseen: 3 * time.Second, FailedProbes: 3}, false},
		{"nothing reaches it", ContactLoss{Unreached: 11 * time.Second, FailedProbes: 4}, true},
		{"nothing reaches it, for less", ContactLoss{Unreached: 10 * time.Second, FailedProbes: 4}, false},
		{"nothing is proven to reach it, but it answers probes", ContactLoss{Unreached: time.Minute}, false},
		{"its heartbeats aren't answered", ContactLoss{Unanswered: 31 * time.Second}, true},
		{"its heartbeats aren't answered, for less", ContactLoss{Unanswered: 30 * time.Second}, false},
	} {
		if got := timing.PresumedDead(test.loss); got != test.want {
			t.Errorf("%s: presumed dead: %t, want %t", test.name, got, test.want)
		}
	}
}

func TestPartitioned(t *testing.T) {
	for _, test := range []struct {
		machines, suspect int
		want              bool
	}{{2, 2, false}, {3, 3, true}, {10, 6, false}, {10, 7, true}, {100, 3, false}} {
		h := DomainHealth{Machines: test.machines, Suspect: test.suspect}
		if got := h.Partitioned(); got != test.want {
			t.Errorf("%d of %d machines suspect: partitioned: %t, want %t", test.suspect, test.machines, got, test.want)
		}
	}
}

// Unanswered and Unreached count from the registration, and from a later Reset.
func TestContactLossCountsFromReset(t *testing.T) {
	var d Detector
	s := servedSession(1)
	s.RegisteredAt = start
	now := start.Add(time.Minute)
	if d.Unanswered(s, now) != 0 || d.Unreached(s, now) != 0 {
		t.Error("unregistered worker counts as out of contact")
	}
	s.Registered = true
	if d.Unanswered(s, now) != time.Minute || d.Unreached(s, now) != time.Minute {
		t.Error("time out of contact isn't counted from the registration")
	}
	d.Reset(now.Add(-time.Second))
	if d.Unanswered(s, now) != time.Second || d.Unreached(s, now) != time.Second {
		t.Error("time out of contact isn't counted from the reset")
	}
}

// A scan more than stalledAfter, one second, after the previous one reports a stall.
func TestScanDetectsStalls(t *testing.T) {
	var d Detector
	d.Scan(start)
	if d.Scan(start.Add(time.Second)) {
		t.Error("scan a second after the previous one reports a stall")
	}
	if !d.Scan(start.Add(2*time.Second + 1)) {
		t.Error("scan more than a second after the previous one reports no stall")
	}
}

// Five rounds of four probes reach each of ten workers two or three times, but for the worker whose
// probe is in flight.
func TestProbeRoundRobin(t *testing.T) {
	var d Detector
	probed := make([]int, 10)
	for range 5 {
		d.ProbeRoundRobin(len(probed), 4, func(i int) bool {
			if i == 3 {
				return false // its probe is in flight
			}
			probed[i]++
			return true
		})
	}
	for i, count := range probed {
		if i != 3 && (count < 2 || count > 3) {
			t.Errorf("worker %d was probed %d times, want 2 or 3: %v", i, count, probed)
		}
	}
}
