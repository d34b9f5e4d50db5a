package ratelog

import "time"

// Intervals of a Throttle.
const (
	ChangeInterval = 5 * time.Second  // minimum time before a changed status is logged
	RepeatInterval = 30 * time.Second // minimum time before the same status is logged again
)

// Throttle decides when to log a status: when it changes, and at intervals while it persists.
// The zero value has an empty status.
type Throttle struct {
	status   string // last logged; empty: none
	loggedAt time.Time
}

// Allow reports whether a status should be logged now, and records it as logged if so. An empty
// status means that there is nothing to report; it is logged only once after a non-empty one.
func (t *Throttle) Allow(now time.Time, status string) bool {
	since := now.Sub(t.loggedAt)
	if status == t.status && since < RepeatInterval || status != t.status && since < ChangeInterval {
		return false
	}
	if status == "" && t.status == "" {
		return false
	}
	t.status, t.loggedAt = status, now
	return true
}

// MayLog reports whether a changed status would be logged now. Callers whose status is expensive to
// compute call it first.
func (t *Throttle) MayLog(now time.Time) bool { return now.Sub(t.loggedAt) >= ChangeInterval }
