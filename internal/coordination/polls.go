package coordination

import (
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// checksShare is the part of the state service's requests that one node's checks of
// polls take at the most, as a divisor. A check serves dozens of polls, and when users
// ask ever more often, more share one: with a check as soon as the last one was over,
// those of three nodes alone took more than the service allows, and submissions were
// refused for it.
const checksShare = 12

func (c *Controller) checkPause() time.Duration {
	return max(10*time.Millisecond, time.Duration(checksShare/c.cfg.StateRPS*float64(time.Second)))
}

func (c *Controller) poll(id uint64, job string) {
	if !protocol.ValidID(job) {
		c.reply(id, 404, protocol.ErrorAnswer("no such job"))
		return
	}
	if f, ok := c.admission.finals[job]; ok {
		c.reply(id, 200, protocol.JobStatus(job, f.state, f.done, 0))
		return
	}
	if c.lag > lagFar {
		c.refuse(id, 503, "busy")
		return
	}
	// Anything but a final state may have been overtaken at another node, so
	// it needs a fresh read; without one there is no answer.
	if c.storeDown() {
		c.refuseWithoutStore(id)
		return
	}
	c.admission.waiting++
	c.admission.polls = append(c.admission.polls, poll{id, job})
	c.checkPolls()
}

func (c *Controller) answerPoll(id uint64, job string) {
	s, done, running := c.progress(job)
	if f, ok := c.admission.finals[job]; ok {
		s, done, running = f.state, f.done, 0
	}
	c.reply(id, 200, protocol.JobStatus(job, s, done, running))
}

// checkPolls learns of many jobs with one transaction that only compares: whether each
// has an outcome, and of those this node hasn't heard of, whether they exist. Both are
// told as of the same moment.
func (c *Controller) checkPolls() {
	a := &c.admission
	if a.inCheck || len(a.polls) == 0 {
		return
	}
	a.inCheck = true
	if wait := a.checked.Add(c.checkPause()).Sub(c.now); wait > 0 {
		c.after(wait, func() { a.inCheck = false; c.checkPolls() })
		return
	}
	a.checked = c.now
	t := &protocol.Txn{}
	listed, unsure := map[string]bool{}, map[string]bool{}
	count := 0
	for _, p := range a.polls {
		if !listed[p.job] {
			if len(t.If)+2 > c.maxConditions() {
				break
			}
			listed[p.job] = true
			t.If = append(t.If, protocol.Condition{Key: records.KeyOutcome(p.job)})
			if _, ok := a.known[p.job]; !ok {
				unsure[p.job] = true
				t.If = append(t.If, protocol.Condition{Key: records.KeyActive(p.job)})
			}
		}
		count++
	}
	batch := a.polls[:count:count]
	a.polls = append([]poll(nil), a.polls[count:]...)
	c.storeTxn(t, func(r txnResult, _ uint64, failed []string) {
		a.inCheck = false
		a.waiting -= len(batch)
		exists := map[string]bool{}
		for _, key := range failed {
			exists[key] = true
		}
		reads := map[string][]uint64{}
		for _, p := range batch {
			_, final := a.finals[p.job]
			switch {
			case r == txnRefused && !c.storeDown():
				c.refuseForNow(p.id)
			case r != txnApplied && r != txnFailed:
				c.refuseWithoutStore(p.id)
			case final:
				c.answerPoll(p.id, p.job)
			case exists[records.KeyOutcome(p.job)]:
				reads[p.job] = append(reads[p.job], p.id)
			case unsure[p.job] && !exists[records.KeyActive(p.job)]:
				c.reply(p.id, 404, protocol.ErrorAnswer("no such job"))
			default:
				a.setKnown(p.job)
				c.answerPoll(p.id, p.job)
			}
		}
		for _, p := range batch {
			if ids := reads[p.job]; ids != nil {
				delete(reads, p.job)
				c.readFinal(p.job, ids)
			}
		}
		c.checkPolls()
	})
}

// readFinal answers the polls for a job that is known to be over.
func (c *Controller) readFinal(job string, ids []uint64) {
	c.admission.waiting += len(ids)
	c.storeGet(records.KeyOutcome(job), func(it protocol.Item, found, ok bool) {
		c.admission.waiting -= len(ids)
		if found {
			if s, done, err := records.DecodeOutcome(it.Value); err == nil {
				c.admission.setFinal(job, s, done)
			}
		}
		for _, id := range ids {
			if _, ok := c.admission.finals[job]; ok {
				c.answerPoll(id, job)
			} else {
				c.refuseForNow(id)
			}
		}
	})
}

// progress is what is known here of an unfinished job, for display.
func (c *Controller) progress(job string) (s protocol.JobState, done, running int) {
	if c.leader != nil {
		if j := c.leader.jobs[job]; j != nil {
			done, running = j.doneCount, j.running
		}
	} else if p := c.peers[c.election.leader.Node]; p != nil {
		if heard, ok := p.progress[job]; ok && c.now.Sub(heard.at) <= progressKept {
			done, running = heard.done(), heard.running()
		}
	}
	if running > 0 || done > 0 {
		return protocol.JobRunning, done, running
	}
	return protocol.Queued, done, running
}
