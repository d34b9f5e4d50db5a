package coordination

import (
	"encoding/json"
	"slices"

	"brasskeel/internal/bookkeeping"
	"brasskeel/internal/protocol"
)

// submission is a job whose record is to be written, and who asked for it.
type submission struct {
	job    *protocol.Job
	record json.RawMessage
	ids    []uint64
}

func (n *Node) submit(id uint64, body []byte) {
	job, err := protocol.ParseJob(body)
	if err != nil {
		n.reply(id, 400, protocol.ErrorAnswer(err.Error()))
		return
	}
	if f, ok := n.admission.finals[job.ID]; ok {
		n.reply(id, 200, protocol.JobAnswer(job.ID, f.state))
		return
	}
	if len(n.types) == 0 || n.storeDown() {
		n.refuse(id, 503, "not ready to decide")
		return
	}
	n.admission.waiting++
	if reason := n.neverRuns(job); reason != "" {
		// A known job gets its state whatever the limits say by now.
		n.lookup(job.ID, func(s protocol.JobState, ok bool) {
			n.admission.waiting--
			switch {
			case !ok:
				n.refuseWithoutStore(id)
			case s == 0:
				n.reply(id, 422, protocol.ErrorAnswer(reason))
			default:
				n.reply(id, 200, protocol.JobAnswer(job.ID, s))
			}
		})
		return
	}
	record := bookkeeping.Job{Submitted: bookkeeping.Millis(n.now), Chunk: bookkeeping.ChunkSize(n.cfg.ValueBytes), Spec: job}
	raw := bookkeeping.Encode(record)
	if len(raw) > n.cfg.ValueBytes {
		n.admission.waiting--
		n.reply(id, 400, protocol.ErrorAnswer("the job's description is too long"))
		return
	}
	for _, s := range n.admission.submissions {
		if s.job.ID == job.ID {
			s.ids = append(s.ids, id)
			return
		}
	}
	n.admission.submissions = append(n.admission.submissions, &submission{job, raw, []uint64{id}})
	n.writeSubmissions()
}

// writeSubmissions writes the records of the jobs that came while the last transaction
// was under way. Half a transaction at the most: all of it is refused at once when the
// state service has too little left.
func (n *Node) writeSubmissions() {
	a := &n.admission
	if a.inSubmit || len(a.submissions) == 0 {
		return
	}
	a.inSubmit = true
	t := &protocol.Txn{}
	count, size := 0, 0
	for _, s := range a.submissions {
		if count == max(1, n.cfg.TxnOps/2) || count > 0 && size+len(s.record) > 32<<10 {
			break
		}
		// The job exists once this is applied, and only then is the user told. The
		// outcome's absence keeps a late copy from reviving a job that is over and
		// whose record is already gone.
		t.If = append(t.If, protocol.Condition{Key: bookkeeping.KeyActive(s.job.ID)}, protocol.Condition{Key: bookkeeping.KeyOutcome(s.job.ID)})
		t.Then = append(t.Then, protocol.Op{Put: bookkeeping.KeyActive(s.job.ID), Value: s.record})
		count, size = count+1, size+len(s.record)
	}
	group := a.submissions[:count:count]
	a.submissions = append([]*submission(nil), a.submissions[count:]...)
	n.storeTxn(t, func(r txnResult, _ uint64, failed []string) {
		a.inSubmit = false
		var again []*submission
		for _, s := range group {
			switch {
			case r == txnApplied:
				n.accepted(s)
			case r == txnFailed && (slices.Contains(failed, bookkeeping.KeyActive(s.job.ID)) || slices.Contains(failed, bookkeeping.KeyOutcome(s.job.ID))):
				n.knownAlready(s)
			case r == txnFailed && len(failed) > 0:
				again = append(again, s) // another of the group was known already
			default:
				a.waiting -= len(s.ids)
				for _, id := range s.ids {
					if r == txnRefused && !n.storeDown() {
						n.refuseForNow(id) // too much at once
					} else {
						n.refuseWithoutStore(id)
					}
				}
			}
		}
		a.submissions = append(again, a.submissions...)
		n.writeSubmissions()
	})
}

func (n *Node) accepted(s *submission) {
	n.admission.waiting -= len(s.ids)
	n.admission.setKnown(s.job.ID)
	n.log.Debug("job accepted", "job", s.job.ID, "class", s.job.Class, "tasks", s.job.Tasks,
		"estimate", s.job.Estimate, "deadline", s.job.Deadline, "image", s.job.Image, "gb", s.job.ImageGB)
	for i, id := range s.ids {
		status := 201
		if i > 0 {
			status = 200
		}
		n.reply(id, status, protocol.JobAnswer(s.job.ID, protocol.Queued))
	}
}

func (n *Node) knownAlready(s *submission) {
	n.lookup(s.job.ID, func(state protocol.JobState, ok bool) {
		n.admission.waiting -= len(s.ids)
		for _, id := range s.ids {
			if !ok || state == 0 {
				n.refuseWithoutStore(id)
				continue
			}
			n.reply(id, 200, protocol.JobAnswer(s.job.ID, state))
		}
	})
}

// neverRuns tells why a job can't ever run; empty when it can.
func (n *Node) neverRuns(j *protocol.Job) string {
	team := n.teams[j.Team]
	if team == nil {
		return "unknown team"
	}
	fits := false
	for _, t := range n.types {
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
