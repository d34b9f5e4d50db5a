package coordination

import (
	"time"

	"brasskeel/internal/coordination/statestore"
)

// watchWait is how long a watch waits for events.
const watchWait = 8 * time.Second

// jobsWatchWait is how long a watch of jobs waits for events. Leaders and shard owners learn of
// cancellations from this watch, and their knowledge is as old as the latest watch that was answered.
// So the wait is a quarter of maxAnswerStaleness, but between 250 ms and one second.
func (c *Controller) jobsWatchWait() time.Duration {
	return min(max(c.maxAnswerStaleness()/4, 250*time.Millisecond), time.Second)
}

// maxConditions is the maximum number of conditions of one transaction.
func (c *Controller) maxConditions() int { return statestore.MaxConditions(c.cfg.MaxTxnOps) }

// storeHost gives the client of the state service a controller's clock, timers and calls.
type storeHost struct{ controller *Controller }

// Now implements statestore.Host.
func (h storeHost) Now() time.Time { return h.controller.now }

// After implements statestore.Host.
func (h storeHost) After(d time.Duration, f func()) statestore.Timer {
	return h.controller.after(d, f)
}

// Jitter implements statestore.Host.
func (h storeHost) Jitter(d time.Duration) time.Duration { return h.controller.jitter(d) }

// Send implements statestore.Host.
func (h storeHost) Send(r statestore.Request, done func(statestore.Response)) {
	h.controller.call(StateService, "", r.Method, r.Target, r.Body, r.Timeout, func(o Outcome) {
		done(statestore.Response{Status: o.Status, Body: o.Body, Answered: o.Answered, NotSent: o.NotSent})
	})
}

// Stop implements statestore.Timer.
func (t *timer) Stop() { t.run = nil }
