package coordination

import (
	"time"

	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/statestore"
	"brasskeel/internal/protocol"
)

// Bounds of what admission keeps in memory: a small part of what the smallest controllers
// have. What is forgotten is read again from the state service.
const (
	maxCachedOutcomes     = 50_000
	maxCachedAcceptedJobs = 50_000
)

// admission serves users. It works the same on every controller: jobs and their final states
// are written to the state service before the user is told, and the leader learns of them from
// there. It never tells a user of a state that it hasn't written, or read since the request.
type admission struct {
	limits                  *limits.Counters
	maxPendingAnnouncements int
	outcomes                map[string]jobOutcome // told or read; can't change any more
	accepted                map[string]struct{}   // accepted jobs
	pendingQueries          []statusQuery         // wait for the next check
	lastCheckSentAt         time.Time             // when the last check was sent
	checkInFlight           bool
	pendingAnnouncements    []outcomeAnnouncement // final states that peers are to be told
	openRequests            int

	pendingSubmissions []*submission // wait for the next transaction
	submissionInFlight bool
}

// outcomeAnnouncement is a final state on its way to the peers.
type outcomeAnnouncement struct {
	job       string
	outcome   jobOutcome
	sendCount int // it was told
}

// jobOutcome is a job's final state and the number of its tasks that were done.
type jobOutcome struct {
	state protocol.JobState
	done  int
}

// statusQuery is a request for a job's status that waits for a check.
type statusQuery struct {
	id  uint64
	job string
}

func (a *admission) init(c *Controller) {
	a.limits, a.maxPendingAnnouncements = &c.limits, c.maxUnannounced()
	a.outcomes = map[string]jobOutcome{}
	a.accepted = map[string]struct{}{}
}

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

// publishOutcome is cacheOutcome for what this controller wrote or learned as a leader: its peers
// hear of it, so that they need not read it for each user who asks them.
func (a *admission) publishOutcome(job string, s protocol.JobState, done int) {
	if _, ok := a.outcomes[job]; !ok {
		a.announceOutcome(outcomeAnnouncement{job: job, outcome: jobOutcome{s, done}})
	}
	a.cacheOutcome(job, s, done)
}

// announceOutcome lets the peers hear of a final state with the next lines.
func (a *admission) announceOutcome(f outcomeAnnouncement) {
	if len(a.pendingAnnouncements) >= a.maxPendingAnnouncements {
		a.limits.Reached(limits.OutcomesToBroadcast)
		return
	}
	a.pendingAnnouncements = append(a.pendingAnnouncements, f)
}

func (a *admission) cacheAccepted(job string) {
	if len(a.accepted) >= maxCachedAcceptedJobs {
		a.limits.Reached(limits.CachedAcceptedJobs)
		clear(a.accepted)
	}
	a.accepted[job] = struct{}{}
}

// routeRequest hands a request to whoever serves it, and answers those for nobody.
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

// replyHealth is honest about the cases in which other controllers may serve users and this
// one can't: the state service refuses it while a peer still reaches it, or it is
// cut off from both. In an outage that peers confirm, no controller is better than
// another, and leaving the balancer would only cost time when it ends.
func (c *Controller) replyHealth(id uint64) {
	if c.store.Unavailable() && len(c.cfg.Peers) > 0 && (c.peers.StoreReachable(c.now) || !c.peers.AnyFresh(c.now)) {
		c.refuse(id, 503, "the state service refuses this node")
		return
	}
	c.reply(id, 200, []byte(`{"ok":true}`))
}

// refuseStoreUnavailable refuses what needs the state service. The connection is
// closed: its user would go on asking this controller, perhaps the only one that is cut
// off, while a new connection may lead to another.
func (c *Controller) refuseStoreUnavailable(id uint64) {
	c.effects.Replies = append(c.effects.Replies, Reply{ID: id, Status: 503, RetryAfter: 1, Close: true,
		Body: protocol.EncodeError("the state service does not answer")})
}

// refuseRetryLater sends a user away whose request is one too many at the moment. Not all
// are told to come back at the same time.
func (c *Controller) refuseRetryLater(id uint64) {
	c.effects.Replies = append(c.effects.Replies, Reply{ID: id, Status: 503, RetryAfter: 1 + c.rng.IntN(3),
		Body: protocol.EncodeError("too much at once")})
}

// refuseFailedTxn refuses a request whose transaction was neither applied nor compared. The
// state service may only have too much to do; that it doesn't answer another controller can
// help with.
func (c *Controller) refuseFailedTxn(id uint64, r statestore.CommitResult) {
	if r.Status == statestore.CommitRefused && !c.store.Unavailable() {
		c.refuseRetryLater(id)
	} else {
		c.refuseStoreUnavailable(id)
	}
}
