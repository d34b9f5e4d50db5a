package coordination

import (
	"time"

	"brasskeel/internal/bookkeeping"
	"brasskeel/internal/protocol"
)

// checksShare is the part of the state service's requests that one node's checks of
// polls take at the most, as a divisor. A check serves dozens of polls, and when users
// ask ever more often, more share one: with a check as soon as the last one was over,
// those of three nodes alone took more than the service allows, and submissions were
// refused for it.
const checksShare = 12

func (n *Node) checkPause() time.Duration {
	return max(10*time.Millisecond, time.Duration(checksShare/n.cfg.StateRPS*float64(time.Second)))
}

func (n *Node) poll(id uint64, job string) {
	if !protocol.ValidID(job) {
		n.reply(id, 404, protocol.ErrorAnswer("no such job"))
		return
	}
	if f, ok := n.admission.finals[job]; ok {
		n.reply(id, 200, protocol.JobStatus(job, f.state, f.done, 0))
		return
	}
	if n.lag > lagFar {
		n.refuse(id, 503, "busy")
		return
	}
	// Anything but a final state may have been overtaken at another node, so
	// it needs a fresh read; without one there is no answer.
	if n.storeDown() {
		n.refuseWithoutStore(id)
		return
	}
	n.admission.waiting++
	n.admission.polls = append(n.admission.polls, poll{id, job})
	n.checkPolls()
}

func (n *Node) answerPoll(id uint64, job string) {
	s, done, running := n.progress(job)
	if f, ok := n.admission.finals[job]; ok {
		s, done, running = f.state, f.done, 0
	}
	n.reply(id, 200, protocol.JobStatus(job, s, done, running))
}

// checkPolls learns of many jobs with one transaction that only compares: whether each
// has an outcome, and of those this node hasn't heard of, whether they exist. Both are
// told as of the same moment.
func (n *Node) checkPolls() {
	a := &n.admission
	if a.inCheck || len(a.polls) == 0 {
		return
	}
	a.inCheck = true
	if wait := a.checked.Add(n.checkPause()).Sub(n.now); wait > 0 {
		n.after(wait, func() { a.inCheck = false; n.checkPolls() })
		return
	}
	a.checked = n.now
	t := &protocol.Txn{}
	listed, unsure := map[string]bool{}, map[string]bool{}
	count := 0
	for _, p := range a.polls {
		if !listed[p.job] {
			if len(t.If)+2 > n.maxConditions() {
				break
			}
			listed[p.job] = true
			t.If = append(t.If, protocol.Condition{Key: bookkeeping.KeyOutcome(p.job)})
			if _, ok := a.known[p.job]; !ok {
				unsure[p.job] = true
				t.If = append(t.If, protocol.Condition{Key: bookkeeping.KeyActive(p.job)})
			}
		}
		count++
	}
	batch := a.polls[:count:count]
	a.polls = append([]poll(nil), a.polls[count:]...)
	n.storeTxn(t, func(r txnResult, _ uint64, failed []string) {
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
			case r == txnRefused && !n.storeDown():
				n.refuseForNow(p.id)
			case r != txnApplied && r != txnFailed:
				n.refuseWithoutStore(p.id)
			case final:
				n.answerPoll(p.id, p.job)
			case exists[bookkeeping.KeyOutcome(p.job)]:
				reads[p.job] = append(reads[p.job], p.id)
			case unsure[p.job] && !exists[bookkeeping.KeyActive(p.job)]:
				n.reply(p.id, 404, protocol.ErrorAnswer("no such job"))
			default:
				a.setKnown(p.job)
				n.answerPoll(p.id, p.job)
			}
		}
		for _, p := range batch {
			if ids := reads[p.job]; ids != nil {
				delete(reads, p.job)
				n.readFinal(p.job, ids)
			}
		}
		n.checkPolls()
	})
}

// readFinal answers the polls for a job that is known to be over.
func (n *Node) readFinal(job string, ids []uint64) {
	n.admission.waiting += len(ids)
	n.storeGet(bookkeeping.KeyOutcome(job), func(it protocol.Item, found, ok bool) {
		n.admission.waiting -= len(ids)
		if found {
			if s, done, err := bookkeeping.DecodeOutcome(it.Value); err == nil {
				n.admission.setFinal(job, s, done)
			}
		}
		for _, id := range ids {
			if _, ok := n.admission.finals[job]; ok {
				n.answerPoll(id, job)
			} else {
				n.refuseForNow(id)
			}
		}
	})
}

// progress is what is known here of an unfinished job, for display.
func (n *Node) progress(job string) (s protocol.JobState, done, running int) {
	if n.lead != nil {
		if j := n.lead.jobs[job]; j != nil {
			done, running = j.doneCount, j.running
		}
	} else if p := n.peers[n.election.leader.Node]; p != nil {
		if c, ok := p.progress[job]; ok && n.now.Sub(c.at) <= progressKept {
			done, running = c.done(), c.running()
		}
	}
	if running > 0 || done > 0 {
		return protocol.JobRunning, done, running
	}
	return protocol.Queued, done, running
}
