package coordination

import (
	"time"

	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/statestore"
	"brasskeel/internal/protocol"
)

// Limits on what admission caches: a small part of the memory of the smallest controllers. What
// is evicted is read again from the state service when it is needed.
const (
	maxCachedOutcomes     = 50_000
	maxCachedAcceptedJobs = 50_000
)

// admission serves users' requests. It works the same on every controller: jobs and their final
// states are written to the state service before the user gets a reply, and the leader reads them
// from there. A final state may be served from the cache, as it never changes; any other state is
// reported only if this controller wrote it, or read it after the request arrived.
type admission struct {
	limits                  *limits.Counters
	maxPendingAnnouncements int
	outcomes                map[string]jobOutcome // final states by job ID; they never change
	accepted                map[string]struct{}   // IDs of accepted jobs without a known outcome
	pendingQueries          []statusQuery         // waiting for the next status check
	lastCheckSentAt         time.Time
	checkInFlight           bool                  // a status check is in flight or scheduled
	pendingAnnouncements    []outcomeAnnouncement // final states to broadcast to the peers
	openRequests            int                   // requests that wait for the state service

	pendingSubmissions []*submission // waiting for the next transaction
	submissionInFlight bool
}

// outcomeAnnouncement is a final state that is being broadcast to the peers.
type outcomeAnnouncement struct {
	job       string
	outcome   jobOutcome
	sendCount int // number of broadcasts so far
}

// jobOutcome is a job's final state and the number of its tasks that completed.
type jobOutcome struct {
	state protocol.JobState
	done  int
}

// statusQuery is a request for a job's status that waits for a status check.
type statusQuery struct {
	id  uint64 // request ID
	job string
}

func (a *admission) init(c *Controller) {
	a.limits, a.maxPendingAnnouncements = &c.limits, c.maxPendingAnnouncements()
	a.outcomes = map[string]jobOutcome{}
	a.accepted = map[string]struct{}{}
}

// cacheOutcome caches a job's final state. If the cache is full, about a tenth of its entries,
// chosen arbitrarily, are evicted first.
func (a *admission) cacheOutcome(job string, s protocol.JobState, done int) {
	if len(a.outcomes) >= maxCachedOutcomes {
		a.limits.Reached(limits.CachedOutcomes)
		for k := range a.outcomes {
			delete(a.outcomes, k)
			if len(a.outcomes) < maxCachedOutcomes*9/10 {
				break
			}
		}
	}
	a.outcomes[job] = jobOutcome{s, done}
	delete(a.accepted, job)
}

// publishOutcome caches a final state that this controller wrote. Unless it was cached before, it
// is also announced to the peers, so that they need not read it for each status query that they
// get.
func (a *admission) publishOutcome(job string, s protocol.JobState, done int) {
	if _, ok := a.outcomes[job]; !ok {
		a.announceOutcome(outcomeAnnouncement{job: job, outcome: jobOutcome{s, done}})
	}
	a.cacheOutcome(job, s, done)
}

// announceOutcome queues a final state for the next broadcasts to the peers. If the queue is full,
// the final state is not broadcast, and the peers read it from the state service.
func (a *admission) announceOutcome(announcement outcomeAnnouncement) {
	if len(a.pendingAnnouncements) >= a.maxPendingAnnouncements {
		a.limits.Reached(limits.OutcomesToBroadcast)
		return
	}
	a.pendingAnnouncements = append(a.pendingAnnouncements, announcement)
}

// cacheAccepted caches that a job was accepted. A full cache is cleared first.
func (a *admission) cacheAccepted(job string) {
	if len(a.accepted) >= maxCachedAcceptedJobs {
		a.limits.Reached(limits.CachedAcceptedJobs)
		clear(a.accepted)
	}
	a.accepted[job] = struct{}{}
}

// routeRequest passes a request to its handler. It refuses requests that have none, and, except for
// health checks and heartbeats, requests beyond maxOpenRequests.
func (c *Controller) routeRequest(id uint64, method, target string, body []byte) {
	route, job := protocol.ParseTarget(target)
	want := "POST"
	switch route {
	case protocol.RouteNone:
		c.reply(id, 404, protocol.EncodeError("no such resource"))
		return
	case protocol.RouteJob, protocol.RouteHealth:
		want = "GET"
	}
	if method != want {
		c.reply(id, 405, protocol.EncodeError("use "+want))
		return
	}
	switch route {
	case protocol.RouteHealth:
		c.replyHealth(id)
		return
	case protocol.RouteHeartbeat:
		c.requestCounts.Heartbeats++
		c.handleHeartbeat(id, body)
		return
	}
	if c.admission.openRequests >= c.maxOpenRequests() {
		c.limits.Reached(limits.OpenRequests)
		c.refuse(id, 429, "too many requests at once")
		return
	}
	switch route {
	case protocol.RouteJobs:
		c.requestCounts.Submissions++
		c.submit(id, body)
	case protocol.RouteJob:
		c.requestCounts.StatusQueries++
		c.queryStatus(id, job)
	case protocol.RouteCancel:
		c.cancel(id, job)
	}
}

// replyHealth answers a health check. The controller reports itself unhealthy only while it can't
// serve users but other controllers may: when the state service fails for this controller while a
// peer still reaches it, or when this controller has lost both the state service and its peers. In
// an outage that the peers confirm, or without peers, no controller is better than another, and
// leaving the load balancer would only cost time when the outage ends.
func (c *Controller) replyHealth(id uint64) {
	if c.store.Unavailable() && len(c.cfg.Peers) > 0 && (c.peers.StoreReachable(c.now) || !c.peers.AnyFresh(c.now)) {
		c.refuse(id, 503, "the state service refuses this node")
		return
	}
	c.reply(id, 200, []byte(`{"ok":true}`))
}

// refuseStoreUnavailable refuses a request that needs the state service, and closes the
// connection. On the same connection the user would keep sending requests to this controller, which
// may be the only one without access to the state service, while a new connection may reach another.
func (c *Controller) refuseStoreUnavailable(id uint64) {
	c.effects.Replies = append(c.effects.Replies, Reply{ID: id, Status: 503, RetryAfter: 1, Close: true,
		Body: protocol.EncodeError("the state service does not answer")})
}

// refuseRetryLater refuses a request with a Retry-After of one to three seconds. The time is random,
// so that not all users retry at once.
func (c *Controller) refuseRetryLater(id uint64) {
	c.effects.Replies = append(c.effects.Replies, Reply{ID: id, Status: 503, RetryAfter: 1 + c.rng.IntN(3),
		Body: protocol.EncodeError("too much at once")})
}

// refuseFailedTxn refuses a request whose transaction was neither applied nor rejected by its
// conditions. If the state service is only overloaded, the user retries on this controller;
// if it doesn't answer, another controller may still reach it.
func (c *Controller) refuseFailedTxn(id uint64, r statestore.CommitResult) {
	if r.Status == statestore.CommitRefused && !c.store.Unavailable() {
		c.refuseRetryLater(id)
	} else {
		c.refuseStoreUnavailable(id)
	}
}
