// Package ratelimit holds the token bucket by which controllers keep within what a service
// lets them ask of it. It owns no clock: every call is told the time.
//
// golang.org/x/time/rate isn't used. Its bursts are whole numbers and it refuses to take more
// than a burst at once, while here bursts are fractions of a service's rate, and requests that
// can't wait are taken on credit.
package ratelimit

import "time"

// TokenBucket is a token bucket that may be overdrawn. Make one with NewTokenBucket. It isn't
// safe for concurrent use.
type TokenBucket struct {
	rate, burst, tokens float64
	filledAt            time.Time // as of when tokens are counted
}

// NewTokenBucket returns a full bucket that holds burst tokens, one at the least, and gets
// rate tokens a second.
func NewTokenBucket(rate, burst float64, now time.Time) *TokenBucket {
	return &TokenBucket{rate: rate, burst: max(burst, 1), tokens: max(burst, 1), filledAt: now}
}

func (b *TokenBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
		b.filledAt = now
	}
}

// Available is how many tokens there are; below zero for a bucket that is overdrawn.
func (b *TokenBucket) Available(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// TryTake takes n tokens if they are there, and reports whether it did.
func (b *TokenBucket) TryTake(now time.Time, n float64) bool {
	b.refill(now)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// Spend takes n tokens whether or not they are there. What is missing delays later takers.
func (b *TokenBucket) Spend(now time.Time, n float64) {
	b.refill(now)
	b.tokens -= n
}

// Wait is how long until n tokens are there, or the bucket is full if it never holds as many.
func (b *TokenBucket) Wait(now time.Time, n float64) time.Duration {
	b.refill(now)
	if b.tokens >= n {
		return 0
	}
	return time.Duration((min(n, b.burst) - b.tokens) / b.rate * float64(time.Second))
}
