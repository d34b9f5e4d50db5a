package ratelog

import "time"

// Intervals of a Throttle.
const (
	ChangeInterval = 5 * time.Second  // least time between lines that tell a new status
	RepeatInterval = 30 * time.Second // least time between lines that tell the same status
)

// Throttle decides when a status that changes and lasts is logged: when it changes, and from
// time to time while it lasts. The zero value is one with nothing to tell.
type Throttle struct {
	status   string // last logged; empty: none
	loggedAt time.Time
}

// Allow reports whether a status is to be logged now, and counts it as logged if so. An empty
// status means that there is nothing to tell: it is logged once, after another one.
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

// MayLog reports whether any status could be logged now. Callers whose status is dear to find
// ask it first.
func (t *Throttle) MayLog(now time.Time) bool { return now.Sub(t.loggedAt) >= ChangeInterval }
