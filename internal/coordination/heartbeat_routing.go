package coordination

import (
	"time"

	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/protocol"
)

// deferredHeartbeat is a worker's heartbeat that waits until a leader is known.
type deferredHeartbeat struct {
	id       uint64 // request ID
	body     []byte
	deadline time.Time // when it is answered even without a leader
}

const (
	// maxHeartbeatDeferral is the longest time for which a heartbeat is deferred: a worker
	// waits 4 s for the response, and an election takes about as long as a leader's lease.
	maxHeartbeatDeferral = 2500 * time.Millisecond
	// leaderSuspectAfter and leaderSuspectUntil bound the time without a message for which a
	// leader is suspected to have failed. A leader broadcasts its status every second. If no
	// message arrives for leaderSuspectAfter, it may have failed; if none arrives for
	// leaderSuspectUntil, it is more likely partitioned from this controller alone.
	leaderSuspectAfter = 2200 * time.Millisecond
	leaderSuspectUntil = 15 * time.Second
)

// leaderSuspect reports whether no other controller is known to lead, or the leader may have failed:
// its last message is older than leaderSuspectAfter, but not than leaderSuspectUntil. A leader from
// which no message has been received yet is not suspected.
func (c *Controller) leaderSuspect() bool {
	name := c.election.OtherLeader()
	if name == "" {
		return true
	}
	p := c.peers[name]
	if p == nil {
		return false
	}
	age := c.now.Sub(p.LastReceivedAt)
	return age > leaderSuspectAfter && age < leaderSuspectUntil
}

// deferredHeartbeats is a queue of heartbeats in order of arrival. Since all are deferred for
// at most the same time, the first one expires first.
type deferredHeartbeats struct {
	queue []deferredHeartbeat
	// expiryTimer fires at the deadline of the heartbeat that was first in the queue when the timer
	// was set. It stays set when takeAll empties the queue, and is nil if no timer is set.
	expiryTimer *timer
	// requeueDeadline is the deadline of the deferred heartbeat that is being handled again,
	// in case it has to be deferred once more. It is zero while none is being handled again.
	requeueDeadline time.Time
}

// takeAll empties the queue and returns its entries.
func (h *deferredHeartbeats) takeAll() []deferredHeartbeat {
	queue := h.queue
	h.queue = nil
	return queue
}

// deferHeartbeat keeps a heartbeat until a leader is known, or redirects it without a target if too
// many are deferred. A worker that is redirected to a controller that is down waits 4 s for a
// response. When heartbeats weren't deferred and all controllers but one were down, workers tried one
// controller after the other until their leases had expired.
func (c *Controller) deferHeartbeat(id uint64, body []byte) {
	if len(c.deferred.queue) >= c.maxDeferredHeartbeats() {
		c.limits.Reached(limits.DeferredHeartbeats)
		c.reply(id, 421, protocol.EncodeRedirect(""))
		return
	}
	deadline := c.deferred.requeueDeadline
	if deadline.IsZero() {
		deadline = c.now.Add(maxHeartbeatDeferral)
	}
	c.deferred.queue = append(c.deferred.queue, deferredHeartbeat{id: id, body: body, deadline: deadline})
	c.armDeferralTimer()
}

// armDeferralTimer sets the expiry timer for the first heartbeat in the queue, unless the timer is
// already set or the queue is empty.
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

// expireDeferred answers the heartbeats whose deadline has passed with a redirect.
func (c *Controller) expireDeferred() {
	h := &c.deferred
	for len(h.queue) > 0 && !h.queue[0].deadline.After(c.now) {
		c.reply(h.queue[0].id, 421, protocol.EncodeRedirect(c.election.OtherLeader()))
		h.queue = h.queue[1:]
	}
}

// resumeDeferred handles the deferred heartbeats once a leader is known that isn't suspected to have
// failed. If this controller is the leader, it must not answer them before it has read the jobs,
// because until then it does not know which are cancelled.
func (c *Controller) resumeDeferred() {
	if len(c.deferred.queue) == 0 || c.leader == nil && c.leaderSuspect() || c.leader != nil && c.leader.jobsKnownAt.IsZero() {
		return
	}
	for _, deferred := range c.deferred.takeAll() {
		c.deferred.requeueDeadline = deferred.deadline
		c.handleHeartbeat(deferred.id, deferred.body)
	}
	c.deferred.requeueDeadline = time.Time{}
}

// redirector chooses the target when a controller that neither leads nor serves a worker
// redirects it. The target is the leader, which knows the controller that serves the worker. A worker
// that can't reach the leader contacts this controller again after a timeout. It is then redirected
// without a target, and tries all controllers in turn. When such workers were redirected to the
// leader again instead, their leases expired before they tried the controller that serves them.
type redirector struct {
	controller   *Controller
	redirectedAt map[string]time.Time // when a worker was last redirected to the leader, by machine
}

const (
	// redirectReturnWindow is the time within which a worker that contacts this controller again
	// after a redirect is assumed not to have reached the leader: twice the sum of a heartbeat's
	// timeout and the pause after it.
	redirectReturnWindow = 2 * sessions.LostHeartbeatDelay
	// maxRememberedRedirects is the number of remembered redirects from which on those older than
	// redirectReturnWindow are dropped, to limit memory use.
	maxRememberedRedirects = 1024
	// leaderContactWindow is how recent the last message from the leader must be for workers to
	// be redirected to it, if it has sent any.
	leaderContactWindow = 3 * time.Second
)

func newRedirector(c *Controller) redirector {
	return redirector{controller: c, redirectedAt: map[string]time.Time{}}
}

// target returns the controller that a machine's worker should try: the leader, or "" for the next
// one in turn. It is "" if the leader reported that it doesn't reach its workers, if the leader's last
// message is too old, if no leader is known, or if the worker was redirected to the leader a short
// time ago and has come back.
func (r *redirector) target(machine string) string {
	c := r.controller
	leader := c.election.OtherLeader()
	if p := c.peers[leader]; p != nil && (p.WorkersUnreachable || c.now.Sub(p.LastReceivedAt) > leaderContactWindow) {
		return ""
	}
	if at, ok := r.redirectedAt[machine]; ok && c.now.Sub(at) < redirectReturnWindow {
		delete(r.redirectedAt, machine) // the next redirect may name the leader again
		return ""
	}
	r.recordRedirect(machine)
	return leader
}

// recordRedirect remembers that a machine's worker was redirected to the leader.
func (r *redirector) recordRedirect(machine string) {
	if len(r.redirectedAt) >= maxRememberedRedirects {
		for name, at := range r.redirectedAt {
			if r.controller.now.Sub(at) >= redirectReturnWindow {
				delete(r.redirectedAt, name)
			}
		}
	}
	r.redirectedAt[machine] = r.controller.now
}
