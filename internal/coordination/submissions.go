package coordination

import (
	"encoding/json"
	"slices"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// submission is a job whose record is to be written, and who asked for it.
type submission struct {
	job      *protocol.Job
	record   json.RawMessage
	requests []uint64
}

func (c *Controller) submit(id uint64, body []byte) {
	job, err := protocol.ParseJob(body)
	if err != nil {
		c.reply(id, 400, protocol.EncodeError(err.Error()))
		return
	}
	if f, ok := c.admission.outcomes[job.ID]; ok {
		c.reply(id, 200, protocol.EncodeJobState(job.ID, f.state))
		return
	}
	if len(c.types) == 0 || c.storeDown() {
		c.refuse(id, 503, "not ready to decide")
		return
	}
	c.admission.openRequests++
	if reason := c.rejectionReason(job); reason != "" {
		// A known job gets its state whatever the limits say by now.
		c.readJobState(job.ID, func(s protocol.JobState, ok bool) {
			c.admission.openRequests--
			switch {
			case !ok:
				c.refuseWithoutStore(id)
			case s == 0:
				c.reply(id, 422, protocol.EncodeError(reason))
			default:
				c.reply(id, 200, protocol.EncodeJobState(job.ID, s))
			}
		})
		return
	}
	record := records.Job{Submitted: records.Millis(c.now), Chunk: records.ChunkSize(c.cfg.ValueBytes), Spec: job}
	raw := records.Encode(record)
	if len(raw) > c.cfg.ValueBytes {
		c.admission.openRequests--
		c.reply(id, 400, protocol.EncodeError("the job's description is too long"))
		return
	}
	for _, s := range c.admission.submissions {
		if s.job.ID == job.ID {
			s.requests = append(s.requests, id)
			return
		}
	}
	c.admission.submissions = append(c.admission.submissions, &submission{job, raw, []uint64{id}})
	c.writeSubmissions()
}

// writeSubmissions writes the records of the jobs that came while the last transaction
// was under way. Half a transaction at the most: all of it is refused at once when the
// state service has too little left.
func (c *Controller) writeSubmissions() {
	a := &c.admission
	if a.submitting || len(a.submissions) == 0 {
		return
	}
	a.submitting = true
	t := &protocol.Txn{}
	count, size := 0, 0
	for _, s := range a.submissions {
		if count == max(1, c.cfg.TxnOps/2) || count > 0 && size+len(s.record) > 32<<10 {
			break
		}
		// The job exists once this is applied, and only then is the user told. The
		// outcome's absence keeps a late copy from reviving a job that is over and
		// whose record is already gone.
		t.Conditions = append(t.Conditions, protocol.Condition{Key: records.KeyActive(s.job.ID)}, protocol.Condition{Key: records.KeyOutcome(s.job.ID)})
		t.Ops = append(t.Ops, protocol.Op{Put: records.KeyActive(s.job.ID), Value: s.record})
		count, size = count+1, size+len(s.record)
	}
	group := a.submissions[:count:count]
	a.submissions = append([]*submission(nil), a.submissions[count:]...)
	c.storeTxn(t, func(r txnResult, _ uint64, failed []string) {
		a.submitting = false
		var again []*submission
		for _, s := range group {
			switch {
			case r == txnApplied:
				c.replyAccepted(s)
			case r == txnFailed && (slices.Contains(failed, records.KeyActive(s.job.ID)) || slices.Contains(failed, records.KeyOutcome(s.job.ID))):
				c.replyExisting(s)
			case r == txnFailed && len(failed) > 0:
				again = append(again, s) // another of the group was known already
			default:
				a.openRequests -= len(s.requests)
				for _, id := range s.requests {
					if r == txnRefused && !c.storeDown() {
						c.refuseForNow(id) // too much at once
					} else {
						c.refuseWithoutStore(id)
					}
				}
			}
		}
		a.submissions = append(again, a.submissions...)
		c.writeSubmissions()
	})
}

func (c *Controller) replyAccepted(s *submission) {
	c.admission.openRequests -= len(s.requests)
	c.admission.rememberAccepted(s.job.ID)
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

func (c *Controller) replyExisting(s *submission) {
	c.readJobState(s.job.ID, func(state protocol.JobState, ok bool) {
		c.admission.openRequests -= len(s.requests)
		for _, id := range s.requests {
			if !ok || state == 0 {
				c.refuseWithoutStore(id)
				continue
			}
			c.reply(id, 200, protocol.EncodeJobState(s.job.ID, state))
		}
	})
}

// rejectionReason tells why a job can't ever run; empty when it can.
func (c *Controller) rejectionReason(j *protocol.Job) string {
	team := c.teams[j.Team]
	if team == nil {
		return "unknown team"
	}
	fits := false
	for _, t := range c.types {
		if j.AllowsType(t.Name) && t.Fits(j) {
			fits = true
			break
		}
	}
	if !fits {
		return "a task fits no allowed machine type"
	}
	at := 1.0
	if j.Kind != protocol.Batch {
		at = float64(j.Tasks)
	}
	if at*j.CPUs > team.CPUsMax+protocol.Epsilon || at*j.GPUs > team.GPUsMax+protocol.Epsilon {
		return "the job needs more than its team's limit"
	}
	return ""
}
