package coordination

import (
	"encoding/json"
	"errors"
	"slices"

	"brasskeel/internal/coordination/statestore"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// submission is a job whose record is to be written, with the requests that wait for it.
type submission struct {
	job      *protocol.Job
	record   json.RawMessage
	requests []uint64
}

// submit handles the submission of a job. Submissions are idempotent by job ID: for a job that
// already exists, the reply is its state.
func (c *Controller) submit(id uint64, body []byte) {
	job, err := protocol.ParseJob(body)
	if err != nil {
		c.reply(id, 400, protocol.EncodeError(err.Error()))
		return
	}
	if outcome, ok := c.admission.outcomes[job.ID]; ok {
		c.reply(id, 200, protocol.EncodeJobState(job.ID, outcome.state))
		return
	}
	if len(c.types) == 0 || c.store.Unavailable() {
		c.refuse(id, 503, "not ready to decide")
		return
	}
	c.admission.openRequests++
	if err := c.checkRunnable(job); err != nil {
		c.rejectUnlessKnown(id, job, err)
		return
	}
	record := records.Encode(records.Job{SubmittedAt: records.UnixMillis(c.now), BlockSize: records.TasksPerBlock(c.cfg.MaxValueBytes), Spec: job})
	if len(record) > c.cfg.MaxValueBytes {
		c.admission.openRequests--
		c.reply(id, 400, protocol.EncodeError("the job's description is too long"))
		return
	}
	for _, s := range c.admission.pendingSubmissions {
		if s.job.ID == job.ID {
			s.requests = append(s.requests, id)
			return
		}
	}
	c.admission.pendingSubmissions = append(c.admission.pendingSubmissions, &submission{job, record, []uint64{id}})
	c.writeSubmissions()
}

// rejectUnlessKnown rejects the submission of a job that could never run. If the job already
// exists, the reply is its state, even if the limits have changed since.
func (c *Controller) rejectUnlessKnown(id uint64, job *protocol.Job, reason error) {
	c.readJobState(job.ID, func(r jobRead) {
		c.admission.openRequests--
		switch r.presence {
		case jobPresent:
			c.reply(id, 200, protocol.EncodeJobState(job.ID, r.state))
		case jobAbsent:
			c.reply(id, 422, protocol.EncodeError(reason.Error()))
		default:
			c.refuseStoreUnavailable(id)
		}
	})
}

// maxSubmissionBytes limits the size of the records in one transaction of several submissions.
const maxSubmissionBytes = 32 << 10

// nextSubmissions moves pending submissions into a transaction. It uses at most half of the
// operations that a transaction may have, because the state service refuses a whole transaction if
// its remaining write capacity is too small for it.
func (a *admission) nextSubmissions(txnOps int) ([]*submission, *protocol.Txn) {
	t := &protocol.Txn{}
	count, size := 0, 0
	for _, s := range a.pendingSubmissions {
		if count == max(1, txnOps/2) || count > 0 && size+len(s.record) > maxSubmissionBytes {
			break
		}
		// The job exists once the transaction is applied, and the user gets a reply only then. The
		// condition that there is no outcome keeps a delayed duplicate from recreating a
		// finished job whose record was already deleted.
		t.Conditions = append(t.Conditions, protocol.Condition{Key: records.KeyActive(s.job.ID)}, protocol.Condition{Key: records.KeyOutcome(s.job.ID)})
		t.Ops = append(t.Ops, protocol.Op{Put: records.KeyActive(s.job.ID), Value: s.record})
		count, size = count+1, size+len(s.record)
	}
	group := a.pendingSubmissions[:count:count]
	a.pendingSubmissions = append([]*submission(nil), a.pendingSubmissions[count:]...)
	return group, t
}

// writeSubmissions writes the records of pending submissions, unless a transaction of submissions is in
// flight: then they share the next one, which is sent once that one is answered.
func (c *Controller) writeSubmissions() {
	a := &c.admission
	if a.submissionInFlight || len(a.pendingSubmissions) == 0 {
		return
	}
	a.submissionInFlight = true
	group, t := a.nextSubmissions(c.cfg.MaxTxnOps)
	c.store.Commit(t, func(r statestore.CommitResult) {
		a.submissionInFlight = false
		var retries []*submission
		for _, s := range group {
			switch {
			case r.Status == statestore.CommitApplied:
				c.replyAccepted(s)
			case r.Status == statestore.CommitConflict && (slices.Contains(r.Failed, records.KeyActive(s.job.ID)) || slices.Contains(r.Failed, records.KeyOutcome(s.job.ID))):
				c.replyExisting(s)
			case r.Status == statestore.CommitConflict:
				retries = append(retries, s) // another job of the group already exists
			default:
				c.refuseSubmission(s, r)
			}
		}
		a.pendingSubmissions = append(retries, a.pendingSubmissions...)
		c.writeSubmissions()
	})
}

// refuseSubmission refuses all requests for a job whose record couldn't be written.
func (c *Controller) refuseSubmission(s *submission, r statestore.CommitResult) {
	c.admission.openRequests -= len(s.requests)
	for _, id := range s.requests {
		c.refuseFailedTxn(id, r)
	}
}

// replyAccepted replies to the requests for a job whose record was written: 201 to the first, 200 to
// the duplicates.
func (c *Controller) replyAccepted(s *submission) {
	c.admission.openRequests -= len(s.requests)
	c.admission.cacheAccepted(s.job.ID)
	c.log.Debug("job accepted", "job", s.job.ID, "class", s.job.Class, "tasks", s.job.Tasks,
		"estimate", s.job.EstimatedRuntime, "deadline", s.job.Deadline, "image", s.job.Image, "gb", s.job.ImageGB)
	for i, id := range s.requests {
		status := 201
		if i > 0 {
			status = 200
		}
		c.reply(id, status, protocol.EncodeJobState(s.job.ID, protocol.Queued))
	}
}

// replyExisting replies to the requests for a job that already existed.
func (c *Controller) replyExisting(s *submission) {
	c.readJobState(s.job.ID, func(r jobRead) {
		c.admission.openRequests -= len(s.requests)
		for _, id := range s.requests {
			if r.presence != jobPresent {
				c.refuseStoreUnavailable(id)
				continue
			}
			c.reply(id, 200, protocol.EncodeJobState(s.job.ID, r.state))
		}
	})
}

// Reasons why a job can never run. Users see the texts.
var (
	errUnknownTeam          = errors.New("unknown team")
	errNoFittingMachineType = errors.New("a task fits no allowed machine type")
	errOverTeamLimit        = errors.New("the job needs more than its team's limit")
)

// checkRunnable returns the reason why a job can never run, or nil.
func (c *Controller) checkRunnable(j *protocol.Job) error {
	team := c.teams[j.Team]
	if team == nil {
		return errUnknownTeam
	}
	fits := false
	for _, t := range c.types {
		if j.AllowsType(t.Name) && t.Fits(j) {
			fits = true
			break
		}
	}
	if !fits {
		return errNoFittingMachineType
	}
	concurrentTasks := 1.0 // tasks that must run at the same time
	if j.Kind != protocol.Batch {
		concurrentTasks = float64(j.Tasks)
	}
	if concurrentTasks*j.CPUs > team.MaxCPUs+protocol.Epsilon || concurrentTasks*j.GPUs > team.MaxGPUs+protocol.Epsilon {
		return errOverTeamLimit
	}
	return nil
}
