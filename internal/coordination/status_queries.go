package coordination

import (
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// statusCheckShare is the part of the state service's requests that one node's checks of
// polls take at the most, as a divisor. A check serves dozens of polls, and when users
// ask ever more often, more share one: with a check as soon as the last one was over,
// those of three nodes alone took more than the service allows, and submissions were
// refused for it.
const statusCheckShare = 12

func (c *Controller) statusCheckInterval() time.Duration {
	return max(10*time.Millisecond, time.Duration(statusCheckShare/c.cfg.StateRPS*float64(time.Second)))
}

func (c *Controller) queryStatus(id uint64, job string) {
	if !protocol.ValidJobID(job) {
		c.reply(id, 404, protocol.EncodeError("no such job"))
		return
	}
	if f, ok := c.admission.outcomes[job]; ok {
		c.reply(id, 200, protocol.EncodeJobStatus(job, f.state, f.done, 0))
		return
	}
	if c.overload.Sheds() {
		c.refuse(id, 503, "busy")
		return
	}
	// Anything but a final state may have been overtaken at another node, so
	// it needs a fresh read; without one there is no answer.
	if c.storeDown() {
		c.refuseWithoutStore(id)
		return
	}
	c.admission.openRequests++
	c.admission.queries = append(c.admission.queries, statusQuery{id, job})
	c.checkStatuses()
}

func (c *Controller) answerStatus(id uint64, job string) {
	s, done, running := c.knownProgress(job)
	if f, ok := c.admission.outcomes[job]; ok {
		s, done, running = f.state, f.done, 0
	}
	c.reply(id, 200, protocol.EncodeJobStatus(job, s, done, running))
}

// checkStatuses learns of many jobs with one transaction that only compares: whether each
// has an outcome, and of those this node hasn't heard of, whether they exist. Both are
// told as of the same moment.
func (c *Controller) checkStatuses() {
	a := &c.admission
	if a.checking || len(a.queries) == 0 {
		return
	}
	a.checking = true
	if wait := a.lastCheck.Add(c.statusCheckInterval()).Sub(c.now); wait > 0 {
		c.after(wait, func() { a.checking = false; c.checkStatuses() })
		return
	}
	a.lastCheck = c.now
	t := &protocol.Txn{}
	listed, unsure := map[string]bool{}, map[string]bool{}
	count := 0
	for _, p := range a.queries {
		if !listed[p.job] {
			if len(t.Conditions)+2 > c.maxConditions() {
				break
			}
			listed[p.job] = true
			t.Conditions = append(t.Conditions, protocol.Condition{Key: records.KeyOutcome(p.job)})
			if _, ok := a.accepted[p.job]; !ok {
				unsure[p.job] = true
				t.Conditions = append(t.Conditions, protocol.Condition{Key: records.KeyActive(p.job)})
			}
		}
		count++
	}
	batch := a.queries[:count:count]
	a.queries = append([]statusQuery(nil), a.queries[count:]...)
	c.storeTxn(t, func(r txnResult, _ uint64, failed []string) {
		a.checking = false
		a.openRequests -= len(batch)
		exists := map[string]bool{}
		for _, key := range failed {
			exists[key] = true
		}
		reads := map[string][]uint64{}
		for _, p := range batch {
			_, final := a.outcomes[p.job]
			switch {
			case r == txnRefused && !c.storeDown():
				c.refuseForNow(p.id)
			case r != txnApplied && r != txnFailed:
				c.refuseWithoutStore(p.id)
			case final:
				c.answerStatus(p.id, p.job)
			case exists[records.KeyOutcome(p.job)]:
				reads[p.job] = append(reads[p.job], p.id)
			case unsure[p.job] && !exists[records.KeyActive(p.job)]:
				c.reply(p.id, 404, protocol.EncodeError("no such job"))
			default:
				a.rememberAccepted(p.job)
				c.answerStatus(p.id, p.job)
			}
		}
		for _, p := range batch {
			if ids := reads[p.job]; ids != nil {
				delete(reads, p.job)
				c.readOutcome(p.job, ids)
			}
		}
		c.checkStatuses()
	})
}

// readOutcome answers the polls for a job that is known to be over.
func (c *Controller) readOutcome(job string, ids []uint64) {
	c.admission.openRequests += len(ids)
	c.storeGet(records.KeyOutcome(job), func(it protocol.KeyValue, found, ok bool) {
		c.admission.openRequests -= len(ids)
		if found {
			if s, done, err := records.DecodeOutcome(it.Value); err == nil {
				c.admission.rememberOutcome(job, s, done)
			}
		}
		for _, id := range ids {
			if _, ok := c.admission.outcomes[job]; ok {
				c.answerStatus(id, job)
			} else {
				c.refuseForNow(id)
			}
		}
	})
}

// knownProgress is what is known here of an unfinished job, for display.
func (c *Controller) knownProgress(job string) (s protocol.JobState, done, running int) {
	if c.leader != nil {
		if j := c.leader.jobs[job]; j != nil {
			done, running = j.doneTasks, j.runningTasks
		}
	} else if p := c.peers[c.election.LeaderNode()]; p != nil {
		if heard, ok := p.progress[job]; ok && c.now.Sub(heard.receivedAt) <= progressTTL {
			done, running = heard.done(), heard.running()
		}
	}
	if running > 0 || done > 0 {
		return protocol.JobRunning, done, running
	}
	return protocol.Queued, done, running
}
