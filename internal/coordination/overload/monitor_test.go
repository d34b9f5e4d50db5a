package overload

import (
	"testing"
	"time"
)

var start = time.Date(2026, 9, 21, 12, 0, 0, 0, time.UTC)

// Each level begins when the lag exceeds its threshold, and ends with the next timer that runs on time.
func TestLevels(t *testing.T) {
	for _, test := range []struct {
		lag                       time.Duration
		defers, overloaded, sheds bool
	}{
		{-time.Second, false, false, false},
		{DeferThreshold, false, false, false},
		{DeferThreshold + 1, true, false, false},
		{OverloadThreshold, true, false, false},
		{OverloadThreshold + 1, true, true, false},
		{ShedThreshold, true, true, false},
		{ShedThreshold + 1, true, true, true},
	} {
		var m Monitor
		m.Observe(start, test.lag)
		if m.ShouldDefer() != test.defers || m.Overloaded() != test.overloaded || m.ShouldShed() != test.sheds {
			t.Errorf("%s: defers %t, overloaded %t, sheds %t", test.lag, m.ShouldDefer(), m.Overloaded(), m.ShouldShed())
		}
		m.Observe(start, 0)
		if m.ShouldDefer() || m.Lag() != 0 {
			t.Errorf("%s: work is still deferred after a timer that ran on time", test.lag)
		}
	}
}

// Overload is persistent once it has lasted for more than persistentAfter without a pause of
// more than recoveryGap, and ends with such a pause.
func TestPersistent(t *testing.T) {
	for _, test := range []struct {
		name     string
		interval time.Duration // between overloaded timers
		timers   int           // number of overloaded timers
		later    time.Duration // from the last timer until Persistent is called
		want     bool
	}{
		{"never overloaded", 0, 0, 0, false},
		{"overloaded once", 0, 1, 0, false},
		{"for exactly persistentAfter", time.Second, 6, 0, false},
		{"for longer than persistentAfter", time.Second, 7, 0, true},
		{"timers recoveryGap apart", recoveryGap, 4, 0, true},
		{"timers more than recoveryGap apart", recoveryGap + 1, 10, 0, false},
		{"ended recoveryGap ago", time.Second, 7, recoveryGap, true},
		{"ended more than recoveryGap ago", time.Second, 7, recoveryGap + 1, false},
	} {
		var m Monitor
		now := start
		for i := range test.timers {
			now = start.Add(time.Duration(i) * test.interval)
			m.Observe(now, OverloadThreshold+1)
		}
		if got := m.Persistent(now.Add(test.later)); got != test.want {
			t.Errorf("%s: persistent: %t, want %t", test.name, got, test.want)
		}
	}
}

// A past overload and the peak lag are still reported after later timers ran on time.
func TestRecentOverloadAndPeak(t *testing.T) {
	var m Monitor
	if m.OverloadedWithin(start, time.Hour) {
		t.Error("reports an overload before any timer")
	}
	m.Observe(start, 2*OverloadThreshold)
	m.Observe(start.Add(time.Second), time.Millisecond)
	if now := start.Add(time.Second); !m.OverloadedWithin(now, time.Second+1) || m.OverloadedWithin(now, time.Second) {
		t.Error("OverloadedWithin must report an overload of 1 s ago for an age of more than 1 s, and not for 1 s")
	}
	if peak := m.TakePeak(); peak != 2*OverloadThreshold {
		t.Errorf("peak %s, want twice OverloadThreshold", peak)
	}
	if peak := m.TakePeak(); peak != 0 {
		t.Errorf("peak %s after it was taken, want 0", peak)
	}
}
