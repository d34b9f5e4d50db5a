// Package overload measures by how much a controller's event loop is behind schedule.
//
// The only input is scheduling lag, the time by which a timer ran late. From it the package
// derives the levels at which work is deferred, restricted or shed, and whether the process
// has been overloaded for a long time. A Monitor reads no clock, and starts no goroutine
// and no timer. It never decides which work is deferred or shed; its callers do.
package overload

import "time"

// Scheduling lags above which the process has more work than its share of the processor
// allows. Above DeferThreshold, work that can wait is deferred. Above OverloadThreshold, only
// critical work and work within quotas is started. Above ShedThreshold, status queries are
// refused at once, so that the leader lease, heartbeats and submissions are still served: a
// leader that loses its lease because it renews it too late leaves even more work to its successor.
const (
	DeferThreshold    = 150 * time.Millisecond
	OverloadThreshold = 400 * time.Millisecond
	ShedThreshold     = time.Second
)

const (
	// recoveryGap is the time between two overloaded timers above which the process counts as
	// having recovered in between.
	recoveryGap = 2 * time.Second
	// persistentAfter is how long overload must last, without recovery in between, until the
	// process counts as having more to serve than its CPU share allows.
	persistentAfter = 5 * time.Second
)

// Monitor tracks the scheduling lag of one process. The zero value is ready for use.
type Monitor struct {
	lag           time.Duration // of the timer observed last
	peak          time.Duration // highest lag since the last call of TakePeak
	overloadedAt  time.Time     // when the lag was last above OverloadThreshold
	overloadSince time.Time     // when the current overload began; gaps up to recoveryGap don't end it
}

// Observe records the lag of a timer that ran at now.
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

// Lag returns the lag of the timer that was observed last.
func (m *Monitor) Lag() time.Duration { return m.lag }

// ShouldDefer reports whether work that can wait should be deferred.
func (m *Monitor) ShouldDefer() bool { return m.lag > DeferThreshold }

// Overloaded reports whether only critical work and work within quotas should be started.
func (m *Monitor) Overloaded() bool { return m.lag > OverloadThreshold }

// ShouldShed reports whether status queries should be refused.
func (m *Monitor) ShouldShed() bool { return m.lag > ShedThreshold }

// OverloadedWithin reports whether the process was overloaded less than age ago.
func (m *Monitor) OverloadedWithin(now time.Time, age time.Duration) bool {
	return !m.overloadedAt.IsZero() && now.Sub(m.overloadedAt) < age
}

// Persistent reports whether the process is overloaded and has been so for more than persistentAfter.
// Additional machines would then only reduce how often it can answer each of them. The process counts as
// overloaded up to recoveryGap after the last overloaded timer.
func (m *Monitor) Persistent(now time.Time) bool {
	return !m.overloadedAt.IsZero() && now.Sub(m.overloadedAt) <= recoveryGap && now.Sub(m.overloadSince) > persistentAfter
}

// TakePeak returns the highest lag since the last call of TakePeak.
func (m *Monitor) TakePeak() time.Duration {
	peak := m.peak
	m.peak = 0
	return peak
}
