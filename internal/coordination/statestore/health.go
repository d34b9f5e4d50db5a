package statestore

import "time"

// Thresholds for assessing the service's health.
const (
	probeInterval        = 300 * time.Millisecond  // time between probes while the service fails
	probeAfterIdle       = 1500 * time.Millisecond // time without a response after which a working service is probed
	unavailableAfter     = 1200 * time.Millisecond // failures count as an outage once they last longer than this
	recoveryLogThreshold = time.Second             // a recovery is logged if the failures lasted longer than this
	healthyWithin        = 5 * time.Second         // time after a response in which the service counts as healthy
)

// health is the service's state for this controller, derived from its responses.
type health struct {
	answeredAt   time.Time // latest response with a status below 500 other than 429
	failingSince time.Time // first failure since that response; zero while the service works
}

// Start begins the assessment of the service's health: the service counts as healthy now.
func (c *Client) Start() { c.health.answeredAt = c.host.Now() }

// observe updates the service's health from a response.
func (c *Client) observe(r Response) {
	h, now := &c.health, c.host.Now()
	switch {
	case r.Answered && r.Status == 429:
		// The service works, but limits the rate of requests. Such a response neither begins nor
		// ends a failure.
	case r.Answered && r.Status < 500:
		if failed := now.Sub(h.failingSince); !h.failingSince.IsZero() && failed > recoveryLogThreshold {
			c.log.Info("state service recovered", "duration", failed)
		}
		h.answeredAt, h.failingSince = now, time.Time{}
	default:
		if h.failingSince.IsZero() {
			h.failingSince = now
			c.host.After(probeInterval, c.probeUntilRecovered)
		}
	}
}

// probeUntilRecovered probes the service until it answers again. While the service counts as
// unavailable, users' requests are refused without a request to the service, so nothing else might
// ever detect the recovery: in an earlier version without these probes, a follower that sent no other
// requests considered the service unavailable forever.
func (c *Client) probeUntilRecovered() {
	if c.health.failingSince.IsZero() {
		return
	}
	c.Get(c.probeKey, func(ReadResult) { c.host.After(probeInterval, c.probeUntilRecovered) })
}

// ProbeIfIdle probes the service if it hasn't answered for longer than probeAfterIdle. A watch whose
// connection has failed shows no failure for many seconds, and without other requests the controller
// would still report itself healthy.
func (c *Client) ProbeIfIdle() {
	if c.health.failingSince.IsZero() && c.host.Now().Sub(c.health.answeredAt) > probeAfterIdle {
		c.Get(c.probeKey, func(ReadResult) {})
	}
}

// Unavailable reports whether this controller's requests have failed for longer than
// unavailableAfter: they were answered with a status from 500 on, or not at all. Responses with
// status 429 and watches without a response don't count.
func (c *Client) Unavailable() bool {
	h := &c.health
	return !h.failingSince.IsZero() && c.host.Now().Sub(h.failingSince) > unavailableAfter
}

// Healthy reports whether the service is available and has answered within healthyWithin.
func (c *Client) Healthy() bool {
	return !c.Unavailable() && c.host.Now().Sub(c.health.answeredAt) < healthyWithin
}
