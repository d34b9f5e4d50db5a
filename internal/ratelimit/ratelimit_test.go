package ratelimit

import (
	"testing"
	"time"
)

func TestTokenBucket(t *testing.T) {
	now := time.Date(2026, 9, 21, 12, 0, 0, 0, time.UTC)
	b := NewTokenBucket(10, 5, now)
	if !b.TryTake(now, 5) || b.TryTake(now, 1) {
		t.Error("an initially full bucket doesn't hold exactly five tokens")
	}
	if w := b.Wait(now, 2); w != 200*time.Millisecond {
		t.Errorf("wait of %s for two tokens, want 200ms", w)
	}
	now = now.Add(time.Minute)
	if got := b.Available(now); got != 5 {
		t.Errorf("%g tokens after a minute, want 5", got)
	}
	b.Spend(now, 8)
	if b.TryTake(now.Add(300*time.Millisecond), 1) {
		t.Error("token taken while the balance is still negative after an overdraft")
	}
}

func TestWait(t *testing.T) {
	start := time.Date(2026, 9, 21, 12, 0, 0, 0, time.UTC)
	for _, test := range []struct {
		name        string
		rate, burst float64
		spent, take float64       // tokens that Spend and Wait are called with
		after       time.Duration // time between Spend and Wait
		wait        time.Duration // expected result of Wait
	}{
		{name: "enough tokens", rate: 10, burst: 5, spent: 4, take: 1},
		{name: "one token short", rate: 10, burst: 5, spent: 5, take: 1, wait: 100 * time.Millisecond},
		{name: "partly refilled", rate: 10, burst: 5, spent: 5, take: 1, after: 60 * time.Millisecond, wait: 40 * time.Millisecond},
		{name: "overdrawn", rate: 10, burst: 5, spent: 8, take: 1, wait: 400 * time.Millisecond},
		{name: "more than the bucket holds", rate: 10, burst: 5, spent: 5, take: 50, wait: 500 * time.Millisecond},
		{name: "burst below one", rate: 2, burst: 0.5, spent: 1, take: 1, wait: 500 * time.Millisecond},
		{name: "clock went backwards", rate: 10, burst: 5, spent: 5, take: 1, after: -time.Second, wait: 100 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := NewTokenBucket(test.rate, test.burst, start)
			b.Spend(start, test.spent)
			if got := b.Wait(start.Add(test.after), test.take); got.Round(time.Microsecond) != test.wait {
				t.Errorf("Wait returned %s, want %s", got, test.wait)
			}
		})
	}
}
