// Package overload measures how far a controller's event loop is behind.
//
// The only input is scheduling lag: by how much a timer ran after its time. From it follow
// the levels at which work is deferred, restricted or shed, and whether the process has
// been overloaded for long. A Monitor reads no clock and starts nothing. It must never
// decide what is deferred or shed: each user of a level does that for itself.
package overload

import "time"

// Lags above which the process has more to do than its share of the processor allows.
// Above Deferring, work that can wait does. Above Overloaded, only critical work and that
// within quotas is started. Above Shedding, users who only ask are refused at once, so that
// the leader lease, heartbeats and submissions are served: a leader that loses its lease
// for being late leaves the next one with even more to do.
const (
	DeferThreshold    = 150 * time.Millisecond
	OverloadThreshold = 400 * time.Millisecond
	ShedThreshold     = time.Second
)

const (
	// recoveryGap is the pause between two overloaded timers after which the process has
	// kept up in between.
	recoveryGap = 2 * time.Second
	// persistentAfter is how long overload lasts without such a pause before the process has
	// more to serve than its share allows.
	persistentAfter = 5 * time.Second
)

// Monitor follows the scheduling lag of one process. The zero value has seen no lag.
type Monitor struct {
	lag           time.Duration // of the last timer
	peak          time.Duration // since TakePeak
	overloadedAt  time.Time     // when the lag was last above Overloaded
	overloadSince time.Time     // the start of overload that lasts, but for short pauses
}

// Observe takes the lag of a timer that ran at now.
func (m *Monitor) Observe(now time.Time, lag time.Duration) {
	m.lag = max(0, lag)
	m.peak = max(m.peak, m.lag)
	if m.lag <= OverloadThreshold {
		return
	}
	if now.Sub(m.overloadedAt) > recoveryGap {
		m.overloadSince = now
	}
	m.overloadedAt = now
}

// Lag is that of the last timer.
func (m *Monitor) Lag() time.Duration { return m.lag }

// ShouldDefer reports whether work that can wait should.
func (m *Monitor) ShouldDefer() bool { return m.lag > DeferThreshold }

// Overloaded reports whether only critical work and that within quotas should start.
func (m *Monitor) Overloaded() bool { return m.lag > OverloadThreshold }

// ShouldShed reports whether status queries should be refused.
func (m *Monitor) ShouldShed() bool { return m.lag > ShedThreshold }

// OverloadedWithin reports whether the process was overloaded less than age ago.
func (m *Monitor) OverloadedWithin(now time.Time, age time.Duration) bool {
	return !m.overloadedAt.IsZero() && now.Sub(m.overloadedAt) < age
}

// Persistent reports whether the process has been overloaded for so long that more machines
// would only make it answer all of them less often.
func (m *Monitor) Persistent(now time.Time) bool {
	return !m.overloadedAt.IsZero() && now.Sub(m.overloadedAt) <= recoveryGap && now.Sub(m.overloadSince) > persistentAfter
}

// TakePeak is the highest lag since it was last taken.
func (m *Monitor) TakePeak() time.Duration {
	peak := m.peak
	m.peak = 0
	return peak
}
