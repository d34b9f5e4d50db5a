package coordination

import (
	"time"

	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/protocol"
)

// deferredHeartbeat is a worker's report that waits for a leader to be known.
type deferredHeartbeat struct {
	id       uint64
	body     []byte
	deadline time.Time
}

const (
	// maxHeartbeatDeferral is how long a report is held at the most: a worker waits 4 s, and an
	// election takes about a leader's lease.
	maxHeartbeatDeferral = 2500 * time.Millisecond
	// A leader tells its peers every second how it is. One heard lately that now says
	// nothing for leaderSuspectAfter may have lost its power; one that said nothing for long is
	// rather cut off from this node alone.
	leaderSuspectAfter = 2200 * time.Millisecond
	leaderSuspectUntil = 15 * time.Second
)

// leaderSuspect reports whether nobody leads, or the leader has just fallen silent.
func (c *Controller) leaderSuspect() bool {
	name := c.election.OtherLeader()
	if name == "" {
		return true
	}
	p := c.peers[name]
	if p == nil {
		return false
	}
	quiet := c.now.Sub(p.heardAt)
	return quiet > leaderSuspectAfter && quiet < leaderSuspectUntil
}

// deferredHeartbeats are reports that wait, in the order in which they came. All are held for the
// same time at the most, so that the first is the first to be given up.
type deferredHeartbeats struct {
	queue       []deferredHeartbeat
	expiryTimer *timer // at which the first one is given up
	// until is when a report is given up that was held before and is taken up again; zero
	// while none is.
	requeueDeadline time.Time
}

// takeAll empties the list.
func (h *deferredHeartbeats) takeAll() []deferredHeartbeat {
	list := h.queue
	h.queue = nil
	return list
}

// deferHeartbeat keeps a report until a leader is known. A worker that is sent to a
// machine without power waits there for 4 s, and where all controllers but one are
// silent it went from one to the next until its lease was over.
func (c *Controller) deferHeartbeat(id uint64, body []byte) {
	if len(c.deferred.queue) >= c.maxDeferredHeartbeats() {
		c.limits.Reached(limits.HeldReports)
		c.reply(id, 421, protocol.EncodeRedirect(""))
		return
	}
	until := c.deferred.requeueDeadline
	if until.IsZero() {
		until = c.now.Add(maxHeartbeatDeferral)
	}
	c.deferred.queue = append(c.deferred.queue, deferredHeartbeat{id: id, body: body, deadline: until})
	c.armDeferralTimer()
}

// armDeferralTimer sets the timer for the report that is the first to be given up.
func (c *Controller) armDeferralTimer() {
	if c.deferred.expiryTimer != nil || len(c.deferred.queue) == 0 {
		return
	}
	c.deferred.expiryTimer = c.after(c.deferred.queue[0].deadline.Sub(c.now), func() {
		c.deferred.expiryTimer = nil
		c.expireDeferred()
		c.armDeferralTimer()
	})
}

// expireDeferred gives up the reports that were held for long enough.
func (c *Controller) expireDeferred() {
	h := &c.deferred
	for len(h.queue) > 0 && !h.queue[0].deadline.After(c.now) {
		c.reply(h.queue[0].id, 421, protocol.EncodeRedirect(c.election.OtherLeader()))
		h.queue = h.queue[1:]
	}
}

// resumeDeferred takes the reports that were held, now that a leader is known. One that
// has just been elected knows no cancellation yet, and must not answer.
func (c *Controller) resumeDeferred() {
	if len(c.deferred.queue) == 0 || c.leader == nil && c.leaderSuspect() || c.leader != nil && c.leader.jobsKnownAt.IsZero() {
		return
	}
	for _, h := range c.deferred.takeAll() {
		c.deferred.requeueDeadline = h.deadline
		c.heartbeat(h.id, h.body)
	}
	c.deferred.requeueDeadline = time.Time{}
}
