package coordination

import (
	"brasskeel/internal/coordination/statestore"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// jobPresence says whether a job exists, according to a fresh read.
type jobPresence uint8

const (
	presenceUnknown jobPresence = iota // the state service didn't answer, or its response was invalid
	jobAbsent                          // the job was never accepted
	jobPresent
)

// jobRead is the result of a fresh read of a job.
type jobRead struct {
	presence jobPresence
	state    protocol.JobState // set if the job is present
}

// readJobState reads a job's state from the state service. The job's record is read before its
// outcome: if the record is already deleted by the first read, the outcome exists by the second.
func (c *Controller) readJobState(job string, done func(jobRead)) {
	c.store.Get(records.KeyActive(job), func(active statestore.ReadResult) {
		if active.Status == statestore.ReadUnknown {
			done(jobRead{})
			return
		}
		c.store.Get(records.KeyOutcome(job), func(outcome statestore.ReadResult) {
			switch {
			case outcome.Status == statestore.ReadUnknown:
				done(jobRead{})
			case outcome.Status == statestore.Found:
				s, count, err := records.DecodeOutcome(outcome.Item.Value)
				if err != nil {
					done(jobRead{})
					return
				}
				c.admission.cacheOutcome(job, s, count)
				done(jobRead{jobPresent, s})
			case active.Status == statestore.Found:
				c.admission.cacheAccepted(job)
				s, _, _ := c.knownProgress(job)
				done(jobRead{jobPresent, s})
			default:
				done(jobRead{presence: jobAbsent})
			}
		})
	})
}

// cancel handles a request to cancel a job. A job that already has an outcome keeps it, and the reply
// names it.
func (c *Controller) cancel(id uint64, job string) {
	if !protocol.ValidJobID(job) {
		c.reply(id, 404, protocol.EncodeError("no such job"))
		return
	}
	if outcome, ok := c.admission.outcomes[job]; ok {
		c.reply(id, 200, protocol.EncodeJobState(job, outcome.state))
		return
	}
	if c.store.Unavailable() {
		c.refuseStoreUnavailable(id)
		return
	}
	c.admission.openRequests++
	finish := func(r jobRead) {
		c.admission.openRequests--
		switch {
		case r.presence == jobPresent && r.state.Final():
			c.reply(id, 200, protocol.EncodeJobState(job, r.state))
		case r.presence == jobAbsent:
			c.reply(id, 404, protocol.EncodeError("no such job"))
		default:
			c.refuseStoreUnavailable(id)
		}
	}
	c.store.Get(records.KeyActive(job), func(active statestore.ReadResult) {
		switch active.Status {
		case statestore.ReadUnknown:
			finish(jobRead{})
		case statestore.Absent:
			c.readJobState(job, finish)
		default:
			c.writeCancellation(job, active.Item.Version, finish)
		}
	})
}

// writeCancellation records that a job is cancelled, unless the job already has an outcome or its
// record no longer has the given version.
func (c *Controller) writeCancellation(job string, version uint64, finish func(jobRead)) {
	_, done, _ := c.knownProgress(job)
	// The outcome is created at most once, by this transaction or by the leader's write of "done".
	// The second of them fails, and its sender reads the outcome that the first wrote. The user
	// gets a reply only when the outcome is known to exist.
	c.store.Commit(&protocol.Txn{
		Conditions: []protocol.Condition{{Key: records.KeyActive(job), Version: version}, {Key: records.KeyOutcome(job)}},
		Ops:        []protocol.Op{{Put: records.KeyOutcome(job), Value: records.EncodeOutcome(protocol.Cancelled, done)}},
	}, func(r statestore.CommitResult) {
		switch r.Status {
		case statestore.CommitApplied:
			c.admission.publishOutcome(job, protocol.Cancelled, done)
			finish(jobRead{jobPresent, protocol.Cancelled})
		case statestore.CommitConflict, statestore.CommitUnknown:
			c.readJobState(job, finish)
		default:
			finish(jobRead{})
		}
	})
}
