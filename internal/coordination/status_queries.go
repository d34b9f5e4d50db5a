package coordination

import (
	"time"

	"brasskeel/internal/coordination/statestore"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// statusCheckDivisor bounds the status checks of one controller: they use at most one in
// statusCheckDivisor of the state service's request rate. A check serves dozens of queries, and the
// more queries arrive, the more of them share one. When each check was sent as soon as the previous
// one was answered, the checks of three controllers alone exceeded the service's rate limit, and
// submissions were refused.
const statusCheckDivisor = 12

// statusCheckInterval is the minimum time between two status checks.
func (c *Controller) statusCheckInterval() time.Duration {
	return max(10*time.Millisecond, time.Duration(statusCheckDivisor/c.cfg.StateRPS*float64(time.Second)))
}

// queryStatus handles a request for a job's status. A final state that is known here is reported at
// once, any other only after a status check.
func (c *Controller) queryStatus(id uint64, job string) {
	if !protocol.ValidJobID(job) {
		c.reply(id, 404, protocol.EncodeError("no such job"))
		return
	}
	if outcome, ok := c.admission.outcomes[job]; ok {
		c.reply(id, 200, protocol.EncodeJobStatus(job, outcome.state, outcome.done, 0))
		return
	}
	if c.overload.ShouldShed() {
		c.refuse(id, 503, "busy")
		return
	}
	// Another controller may have ended the job in the meantime, so a state that isn't final is
	// reported only after a status check. Without the state service the query is refused.
	if c.store.Unavailable() {
		c.refuseStoreUnavailable(id)
		return
	}
	c.admission.openRequests++
	c.admission.pendingQueries = append(c.admission.pendingQueries, statusQuery{id, job})
	c.checkStatuses()
}

// answerStatus replies with the state that is known here. The caller must have checked, after the
// request arrived, whether the job has a final state.
func (c *Controller) answerStatus(id uint64, job string) {
	s, done, running := c.knownProgress(job)
	if outcome, ok := c.admission.outcomes[job]; ok {
		s, done, running = outcome.state, outcome.done, 0
	}
	c.reply(id, 200, protocol.EncodeJobStatus(job, s, done, running))
}

// statusCheck is a read-only transaction. It checks for some jobs whether each has an outcome and,
// for jobs that this controller doesn't know to be accepted, whether they exist. It requires that
// these keys don't exist, so the conditions that fail name those that do. All results are as of the
// same revision.
type statusCheck struct {
	txn     *protocol.Txn
	queries []statusQuery
	unknown map[string]bool // jobs not known to exist
}

// nextCheck moves pending queries into a check, as many as the limit on its conditions allows.
func (a *admission) nextCheck(maxConditions int) statusCheck {
	check := statusCheck{txn: &protocol.Txn{}, unknown: map[string]bool{}}
	listed := map[string]bool{}
	count := 0
	for _, q := range a.pendingQueries {
		if !listed[q.job] {
			if len(check.txn.Conditions)+2 > maxConditions {
				break
			}
			listed[q.job] = true
			check.txn.Conditions = append(check.txn.Conditions, protocol.Condition{Key: records.KeyOutcome(q.job)})
			if _, ok := a.accepted[q.job]; !ok {
				check.unknown[q.job] = true
				check.txn.Conditions = append(check.txn.Conditions, protocol.Condition{Key: records.KeyActive(q.job)})
			}
		}
		count++
	}
	check.queries = a.pendingQueries[:count:count]
	a.pendingQueries = append([]statusQuery(nil), a.pendingQueries[count:]...)
	return check
}

// checkStatuses answers the pending status queries, many with each check. One check is in flight
// at a time, and checks are at least statusCheckInterval apart.
func (c *Controller) checkStatuses() {
	a := &c.admission
	if a.checkInFlight || len(a.pendingQueries) == 0 {
		return
	}
	a.checkInFlight = true
	if wait := a.lastCheckSentAt.Add(c.statusCheckInterval()).Sub(c.now); wait > 0 {
		c.after(wait, func() { a.checkInFlight = false; c.checkStatuses() })
		return
	}
	a.lastCheckSentAt = c.now
	check := a.nextCheck(c.maxConditions())
	c.store.Commit(check.txn, func(r statestore.CommitResult) {
		a.checkInFlight = false
		a.openRequests -= len(check.queries)
		c.answerCheck(check, r)
		c.checkStatuses()
	})
}

// answerCheck answers the queries of a check. The keys that exist are those whose conditions
// failed.
func (c *Controller) answerCheck(check statusCheck, r statestore.CommitResult) {
	exists := map[string]bool{}
	for _, key := range r.Failed {
		exists[key] = true
	}
	reads := map[string][]uint64{} // queries for jobs whose outcome must be read, by job
	for _, q := range check.queries {
		_, final := c.admission.outcomes[q.job]
		switch {
		case r.Status != statestore.CommitApplied && r.Status != statestore.CommitConflict:
			c.refuseFailedTxn(q.id, r)
		case final:
			c.answerStatus(q.id, q.job)
		case exists[records.KeyOutcome(q.job)]:
			reads[q.job] = append(reads[q.job], q.id)
		case check.unknown[q.job] && !exists[records.KeyActive(q.job)]:
			c.reply(q.id, 404, protocol.EncodeError("no such job"))
		default:
			c.admission.cacheAccepted(q.job)
			c.answerStatus(q.id, q.job)
		}
	}
	for _, q := range check.queries {
		if ids := reads[q.job]; ids != nil {
			delete(reads, q.job)
			c.answerFromOutcomeRecord(q.job, ids)
		}
	}
}

// answerFromOutcomeRecord reads the outcome of a finished job and answers the queries for it.
func (c *Controller) answerFromOutcomeRecord(job string, ids []uint64) {
	c.admission.openRequests += len(ids)
	c.store.Get(records.KeyOutcome(job), func(r statestore.ReadResult) {
		c.admission.openRequests -= len(ids)
		if r.Status == statestore.Found {
			if s, done, err := records.DecodeOutcome(r.Item.Value); err == nil {
				c.admission.cacheOutcome(job, s, done)
			}
		}
		for _, id := range ids {
			if _, ok := c.admission.outcomes[job]; ok {
				c.answerStatus(id, job)
			} else {
				c.refuseRetryLater(id)
			}
		}
	})
}

// knownProgress returns what this controller knows of an unfinished job's progress, for display.
func (c *Controller) knownProgress(job string) (s protocol.JobState, done, running int) {
	if c.leader != nil {
		if j := c.leader.jobs[job]; j != nil {
			done, running = j.doneTasks, j.runningTasks
		}
	} else if p := c.peers[c.election.LeaderName()]; p != nil {
		if progress, ok := p.Progress(job, c.now); ok {
			done, running = progress.Done(), progress.Running()
		}
	}
	if running > 0 || done > 0 {
		return protocol.JobRunning, done, running
	}
	return protocol.Queued, done, running
}
