package statestore

import "time"

// Times by which the service's health is judged.
const (
	probeInterval        = 300 * time.Millisecond  // between probes while it fails
	probeAfterSilence    = 1500 * time.Millisecond // without an answer, and it is probed
	unavailableAfter     = 1200 * time.Millisecond // of failures; less is a hiccup
	recoveryLogThreshold = time.Second             // of failures, whose end is logged
	healthyWithin        = 5 * time.Second
)

// health is what the responses so far tell of the service, as it is for this controller.
type health struct {
	answeredAt   time.Time // when it last answered as it should
	failingSince time.Time // its first failure since; zero while it works
}

// Start begins to judge the service's health.
func (c *Client) Start() { c.health.answeredAt = c.host.Now() }

// observe notes what a response tells of the service.
func (c *Client) observe(r Response) {
	h, now := &c.health, c.host.Now()
	switch {
	case r.Answered && r.Status == 429:
		// It works, and is asked too much.
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

// probeUntilRecovered asks the service until it answers again. While it is taken for
// unavailable users are refused without asking it, so that nothing else might ever find out:
// a follower that sends no requests of its own stayed so for good.
func (c *Client) probeUntilRecovered() {
	if c.health.failingSince.IsZero() {
		return
	}
	c.Get(c.probeKey, func(ReadResult) { c.host.After(probeInterval, c.probeUntilRecovered) })
}

// ProbeIfSilent asks the service when nothing else has for a while. A watch that is cut says
// nothing for many seconds, and a controller without other requests would still call itself
// healthy.
func (c *Client) ProbeIfSilent() {
	if c.health.failingSince.IsZero() && c.host.Now().Sub(c.health.answeredAt) > probeAfterSilence {
		c.Get(c.probeKey, func(ReadResult) {})
	}
}

// Unavailable reports whether the service has refused or ignored this controller for longer
// than a hiccup.
func (c *Client) Unavailable() bool {
	h := &c.health
	return !h.failingSince.IsZero() && c.host.Now().Sub(h.failingSince) > unavailableAfter
}

// Healthy reports whether the service isn't unavailable and has answered lately.
func (c *Client) Healthy() bool {
	return !c.Unavailable() && c.host.Now().Sub(c.health.answeredAt) < healthyWithin
}
