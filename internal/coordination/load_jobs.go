package coordination

import (
	"encoding/json"
	"slices"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// outcomeChecksAtOnce is how many checks of outcomes are under way at a time.
const outcomeChecksAtOnce = 4

// loadJobs reads the unfinished jobs and which of them are over, and gives the revision
// from which a watch of jobs misses nothing. Outcomes are kept for ever, so they aren't
// listed: a long-lived deployment has a hundred times more of them than jobs. Those of
// the jobs whose records are still there are asked for one by one; a job without a
// record has no attempt left.
func (s *workerSessions) loadJobs(done func(revision uint64)) {
	s.controller.storeList(records.PrefixActive, s.alive, func(items []protocol.KeyValue, revision uint64, asked time.Time) {
		for _, it := range items {
			s.jobKey(it.Key, it.Value, false)
		}
		s.checkOutcomes(s.unfinished(), func() {
			// Every outcome written before the list was asked for is known by now.
			s.noteJobsKnown(asked)
			s.controller.resumeDeferred()
			done(revision)
		})
	})
}

// unfinished are the jobs that aren't known to be over, in order.
func (s *workerSessions) unfinished() []string {
	var ids []string
	for id, j := range s.jobs {
		if j.finalState == 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// checkOutcomes learns which of the jobs are over.
func (s *workerSessions) checkOutcomes(ids []string, done func()) {
	batches := slices.Collect(slices.Chunk(ids, s.controller.maxConditions()))
	left := len(batches)
	if left == 0 {
		done()
		return
	}
	next := 0
	var check func()
	check = func() {
		if next == len(batches) {
			return
		}
		batch := batches[next]
		next++
		s.checkBatch(batch, func() {
			if left--; left == 0 {
				done()
				return
			}
			check()
		})
	}
	for range outcomeChecksAtOnce {
		check()
	}
}

// checkBatch compares outcomes with none in one transaction, as often as it takes, and
// reads those that are there.
func (s *workerSessions) checkBatch(ids []string, done func()) {
	t := &protocol.Txn{}
	for _, id := range ids {
		t.Conditions = append(t.Conditions, protocol.Condition{Key: records.KeyOutcome(id)})
	}
	s.controller.storeTxn(t, func(r txnResult, _ uint64, failed []string) {
		switch {
		case !s.alive():
		case r == txnApplied:
			done()
		case r == txnFailed:
			s.readOutcomes(failed, done)
		default:
			s.retryRead(func() { s.checkBatch(ids, done) })
		}
	})
}

func (s *workerSessions) readOutcomes(keys []string, done func()) {
	left := len(keys)
	for _, key := range keys {
		s.readOutcomeKey(key, func() {
			if left--; left == 0 {
				done()
			}
		})
	}
}

func (s *workerSessions) readOutcomeKey(key string, done func()) {
	s.controller.storeGet(key, func(it protocol.KeyValue, found, ok bool) {
		switch {
		case !s.alive():
		case !ok:
			s.retryRead(func() { s.readOutcomeKey(key, done) })
		default:
			if found {
				s.jobKey(it.Key, it.Value, false)
			}
			done()
		}
	})
}

// retryRead runs f after a short pause, if this leadership lasts.
func (s *workerSessions) retryRead(f func()) {
	s.controller.after(200*time.Millisecond+s.controller.jitter(100*time.Millisecond), func() {
		if s.alive() {
			f()
		}
	})
}

// watchJobs learns of submissions and of outcomes from a revision on.
func (s *workerSessions) watchJobs(after uint64) {
	asked := s.controller.now
	s.controller.storeWatch(records.PrefixJobs, after, s.controller.jobsWatchWait(), func(out Outcome) {
		if !s.alive() {
			return
		}
		if out.Answered && out.Status == 200 {
			if events, revision, err := protocol.ParseEvents(out.Body); err == nil {
				for _, ev := range events {
					s.jobEvent(ev)
				}
				s.noteJobsKnown(asked)
				s.watchJobs(max(after, revision))
				return
			}
		}
		if out.Answered && out.Status == 410 {
			s.loadJobs(s.watchJobs) // too much has changed since
			return
		}
		s.retryRead(func() { s.watchJobs(after) })
	})
}

func (s *workerSessions) jobEvent(ev protocol.Event) {
	if !ev.Deleted {
		s.jobKey(ev.Key, ev.Value, true)
		return
	}
	if id, ok := cutPrefix(ev.Key, records.PrefixActive); ok {
		s.listener.jobRemoved(id)
	}
}

// jobKey takes a record under PrefixJobs; live says that it was just written.
func (s *workerSessions) jobKey(key string, value json.RawMessage, live bool) {
	if id, ok := cutPrefix(key, records.PrefixActive); ok {
		s.listener.jobRecorded(id, value, live)
		return
	}
	id, ok := cutPrefix(key, records.PrefixOutcome)
	if !ok {
		return
	}
	outcome, done, err := records.DecodeOutcome(value)
	if err != nil {
		s.controller.log.Error("unreadable outcome", "job", id, "err", err)
		return
	}
	s.controller.admission.rememberOutcome(id, outcome, done) // who wrote it told the peers
	if j := s.jobs[id]; j != nil {
		s.listener.jobEnded(j, outcome)
	}
}

func cutPrefix(s, prefix string) (string, bool) {
	if len(s) > len(prefix) && s[:len(prefix)] == prefix {
		return s[len(prefix):], true
	}
	return "", false
}
