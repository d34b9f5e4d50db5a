// Package ratelimit provides the token bucket that keeps controllers within the rate limits
// of the services they call. It has no clock: each call is passed the current time.
//
// golang.org/x/time/rate isn't used, because its bursts are whole numbers and it refuses to
// take more than a burst at once. Here bursts are fractions of a service's rate, and requests
// that can't wait may overdraw the bucket.
package ratelimit

import "time"

// TokenBucket is a token bucket that may be overdrawn. Create one with NewTokenBucket. It isn't
// safe for concurrent use.
type TokenBucket struct {
	rate, burst, tokens float64
	filledAt            time.Time // time at which tokens was last updated
}

// NewTokenBucket returns a full bucket that holds burst tokens, at least one, and is refilled
// with rate tokens per second.
func NewTokenBucket(rate, burst float64, now time.Time) *TokenBucket {
	return &TokenBucket{rate: rate, burst: max(burst, 1), tokens: max(burst, 1), filledAt: now}
}

func (b *TokenBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
		b.filledAt = now
	}
}

// Available returns the number of tokens; it is negative while the bucket is overdrawn.
func (b *TokenBucket) Available(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// TryTake takes n tokens if they are available, and reports whether it did.
func (b *TokenBucket) TryTake(now time.Time, n float64) bool {
	b.refill(now)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// Spend takes n tokens even if fewer are available. Later callers wait until the deficit is
// refilled.
func (b *TokenBucket) Spend(now time.Time, n float64) {
	b.refill(now)
	b.tokens -= n
}

// Wait returns how long it takes until n tokens are available, or until the bucket is full if
// it never holds n tokens.
func (b *TokenBucket) Wait(now time.Time, n float64) time.Duration {
	b.refill(now)
	if b.tokens >= n {
		return 0
	}
	return time.Duration((min(n, b.burst) - b.tokens) / b.rate * float64(time.Second))
}
