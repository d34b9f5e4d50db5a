package coordination

import (
	"time"

	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/sessions"
	"brasskeel/internal/protocol"
)

// deferredHeartbeat is a worker's heartbeat that waits for a leader to be known.
type deferredHeartbeat struct {
	id       uint64 // of the request
	body     []byte
	deadline time.Time // when it is answered without a leader
}

const (
	// maxHeartbeatDeferral is how long a heartbeat is deferred at the most: a worker waits 4 s,
	// and an election takes about a leader's lease.
	maxHeartbeatDeferral = 2500 * time.Millisecond
	// A leader broadcasts its status every second. One heard lately that now says nothing for
	// leaderSuspectAfter may have lost its power; one that said nothing until
	// leaderSuspectUntil is rather partitioned from this controller alone.
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
	quiet := c.now.Sub(p.HeardAt)
	return quiet > leaderSuspectAfter && quiet < leaderSuspectUntil
}

// deferredHeartbeats wait in the order in which they came. All are deferred for the same time
// at the most, so that the first is the first to expire.
type deferredHeartbeats struct {
	queue       []deferredHeartbeat
	expiryTimer *timer // of the first one; nil without any
	// requeueDeadline is that of a heartbeat that was deferred before and is taken up again;
	// zero while none is.
	requeueDeadline time.Time
}

// takeAll empties the queue.
func (h *deferredHeartbeats) takeAll() []deferredHeartbeat {
	queue := h.queue
	h.queue = nil
	return queue
}

// deferHeartbeat keeps a heartbeat until a leader is known. A worker that is sent to a
// machine without power waits there for 4 s, and where all controllers but one are
// silent it went from one to the next until its lease was over.
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

// armDeferralTimer sets the timer for the heartbeat that is the first to expire.
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

// expireDeferred answers the heartbeats that were deferred for long enough.
func (c *Controller) expireDeferred() {
	h := &c.deferred
	for len(h.queue) > 0 && !h.queue[0].deadline.After(c.now) {
		c.reply(h.queue[0].id, 421, protocol.EncodeRedirect(c.election.OtherLeader()))
		h.queue = h.queue[1:]
	}
}

// resumeDeferred takes up the deferred heartbeats once a leader is known. One that has just
// been elected knows no cancellation yet, and must not answer.
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

// redirector says where a controller that neither serves a worker nor leads redirects it. The
// leader knows who serves it; but where the worker can't reach the leader, it came back from
// there after a time-out, was redirected there again, and never tried the controller that
// serves it until its lease expired. Without a name it tries all of them in turn.
type redirector struct {
	controller   *Controller
	redirectedAt map[string]time.Time // to the leader, by machine
}

const (
	// redirectReturnWindow is within which time a worker that was redirected to the leader and
	// comes back is taken not to have reached it: the time-out of a heartbeat, the pause after
	// it, and as much again.
	redirectReturnWindow = 2 * sessions.LostHeartbeatDelay
	// maxRememberedRedirects bounds how many are remembered before old ones are dropped.
	maxRememberedRedirects = 1024
	// leaderHeardWindow is how long ago a leader that was heard before must have been heard to
	// be named.
	leaderHeardWindow = 3 * time.Second
)

func newRedirector(c *Controller) redirector {
	return redirector{controller: c, redirectedAt: map[string]time.Time{}}
}

// target names the controller that a machine's worker is to try, empty for the next one in turn.
func (r *redirector) target(machine string) string {
	c := r.controller
	leader := c.election.OtherLeader()
	if p := c.peers[leader]; p != nil && (p.WorkersUnreachable || c.now.Sub(p.HeardAt) > leaderHeardWindow) {
		return ""
	}
	if at, ok := r.redirectedAt[machine]; ok && c.now.Sub(at) < redirectReturnWindow {
		delete(r.redirectedAt, machine) // it may be redirected there the next time
		return ""
	}
	r.recordRedirect(machine)
	return leader
}

// recordRedirect notes that a machine's worker was redirected to the leader.
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
