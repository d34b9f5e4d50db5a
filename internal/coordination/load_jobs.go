package coordination

import (
	"encoding/json"
	"slices"

	"brasskeel/internal/coordination/statestore"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// maxConcurrentOutcomeChecks is how many checks of outcomes are under way at a time.
const maxConcurrentOutcomeChecks = 4

// loadJobs reads the unfinished jobs and which of them are over, and gives the revision
// from which a watch of jobs misses nothing. Outcomes are kept for ever, so they aren't
// listed: a long-lived deployment has a hundred times more of them than jobs. Those of
// the jobs whose records are still there are asked for one by one; a job without a
// record has no attempt left.
func (s *workerSessions) loadJobs(done func(revision uint64)) {
	s.controller.store.List(records.PrefixActive, s.alive, func(list statestore.ListResult) {
		for _, it := range list.Items {
			s.applyJobRecord(it.Key, it.Value, false)
		}
		s.checkOutcomes(s.unfinishedJobs(), func() {
			// Every outcome written before the list was asked for is known by now.
			s.noteJobsKnown(list.AskedAt)
			s.controller.resumeDeferred()
			done(list.Revision)
		})
	})
}

// unfinishedJobs are the jobs that aren't known to be over, in order.
func (s *workerSessions) unfinishedJobs() []string {
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
		s.checkOutcomeBatch(batch, func() {
			if left--; left == 0 {
				done()
				return
			}
			check()
		})
	}
	for range maxConcurrentOutcomeChecks {
		check()
	}
}

// checkOutcomeBatch compares outcomes with none in one transaction, as often as it takes, and
// reads those that are there.
func (s *workerSessions) checkOutcomeBatch(ids []string, done func()) {
	t := &protocol.Txn{}
	for _, id := range ids {
		t.Conditions = append(t.Conditions, protocol.Condition{Key: records.KeyOutcome(id)})
	}
	s.controller.store.Commit(t, func(r statestore.CommitResult) {
		switch {
		case !s.alive():
		case r.Status == statestore.CommitApplied:
			done()
		case r.Status == statestore.CommitConflict:
			s.readOutcomes(r.Failed, done)
		default:
			s.controller.store.RetryRead(s.alive, func() { s.checkOutcomeBatch(ids, done) })
		}
	})
}

// readOutcomes takes the records under some keys, however often it must ask.
func (s *workerSessions) readOutcomes(keys []string, done func()) {
	left := len(keys)
	for _, key := range keys {
		s.controller.store.GetWithRetry(key, s.alive, func(r statestore.ReadResult) {
			if r.Status == statestore.Found {
				s.applyJobRecord(r.Item.Key, r.Item.Value, false)
			}
			if left--; left == 0 {
				done()
			}
		})
	}
}

// watchJobs learns of submissions and of outcomes from a revision on.
func (s *workerSessions) watchJobs(after uint64) {
	asked := s.controller.now
	store := s.controller.store
	store.Watch(records.PrefixJobs, after, s.controller.jobsWatchWait(), func(r statestore.WatchResult) {
		if !s.alive() {
			return
		}
		switch r.Status {
		case statestore.WatchEvents:
			for _, ev := range r.Events {
				s.applyJobEvent(ev)
			}
			s.noteJobsKnown(asked)
			s.watchJobs(max(after, r.Revision))
		case statestore.WatchCompacted:
			s.loadJobs(s.watchJobs)
		default:
			store.RetryRead(s.alive, func() { s.watchJobs(after) })
		}
	})
}

// applyJobEvent takes a change under PrefixJobs.
func (s *workerSessions) applyJobEvent(ev protocol.Event) {
	if !ev.Deleted {
		s.applyJobRecord(ev.Key, ev.Value, true)
		return
	}
	if id, ok := cutPrefix(ev.Key, records.PrefixActive); ok {
		s.listener.jobRemoved(id)
	}
}

// applyJobRecord takes a record under PrefixJobs; justWritten tells one that a watch brought from those
// that were there before.
func (s *workerSessions) applyJobRecord(key string, value json.RawMessage, justWritten bool) {
	if id, ok := cutPrefix(key, records.PrefixActive); ok {
		s.listener.jobRecorded(id, value, justWritten)
		return
	}
	id, ok := cutPrefix(key, records.PrefixOutcome)
	if !ok {
		return
	}
	outcome, done, err := records.DecodeOutcome(value)
	if err != nil {
		s.controller.log.Error("job outcome unreadable", "job", id, "error", err)
		return
	}
	s.controller.admission.cacheOutcome(id, outcome, done) // who wrote it told the peers
	if j := s.jobs[id]; j != nil {
		s.listener.jobEnded(j, outcome)
	}
}

// cutPrefix returns what follows a prefix, and whether s has the prefix and something after it.
func cutPrefix(s, prefix string) (string, bool) {
	if len(s) > len(prefix) && s[:len(prefix)] == prefix {
		return s[len(prefix):], true
	}
	return "", false
}
