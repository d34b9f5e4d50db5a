package records

import "time"

// Budget is a token bucket: what a service lets us ask per second, minus a
// share left for others.
type Budget struct {
	rate, burst, level float64
	at                 time.Time
}

// NewBudget allows rate units per second and burst units at once.
func NewBudget(rate, burst float64, now time.Time) *Budget {
	return &Budget{rate: rate, burst: max(burst, 1), level: max(burst, 1), at: now}
}

func (b *Budget) refill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.level = min(b.burst, b.level+b.rate*d.Seconds())
		b.at = now
	}
}

// Available is what may be taken at once.
func (b *Budget) Available(now time.Time) float64 {
	b.refill(now)
	return b.level
}

// Take uses n units if they are there.
func (b *Budget) Take(now time.Time, n float64) bool {
	b.refill(now)
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// Spend uses n units whether or not they are there; a debt delays later takers.
func (b *Budget) Spend(now time.Time, n float64) {
	b.refill(now)
	b.level -= n
}

// Wait is how long until n units are there.
func (b *Budget) Wait(now time.Time, n float64) time.Duration {
	b.refill(now)
	if b.level >= n {
		return 0
	}
	return time.Duration((min(n, b.burst) - b.level) / b.rate * float64(time.Second))
}
