package coordination

import (
	"encoding/json"
	"slices"

	"brasskeel/internal/coordination/statestore"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// maxConcurrentOutcomeChecks is how many checks of outcomes are in flight at a time at most.
const maxConcurrentOutcomeChecks = 4

// loadJobs reads the records of active jobs and the outcomes of those that have one, and passes
// done the revision from which a watch of jobs misses no change. Outcomes are kept forever, so
// they aren't listed: a long-running deployment has a hundred times more outcomes than active
// jobs. Only the outcomes of jobs whose records still exist are looked up, key by key; a job
// without a record has no live attempts.
func (s *workerSessions) loadJobs(done func(revision uint64)) {
	s.controller.store.List(records.PrefixActive, s.alive, func(list statestore.ListResult) {
		for _, item := range list.Items {
			s.applyJobRecord(item.Key, item.Value, false)
		}
		s.checkOutcomes(s.unfinishedJobs(), func() {
			// Every outcome that was written before the list was requested is known now.
			s.noteJobsKnown(list.RequestedAt)
			s.controller.resumeDeferred()
			done(list.Revision)
		})
	})
}

// unfinishedJobs returns the sorted IDs of the jobs without a known outcome.
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

// checkOutcomes finds out which of the jobs have an outcome, and applies those outcomes. It calls
// done when all jobs are checked.
func (s *workerSessions) checkOutcomes(ids []string, done func()) {
	batches := slices.Collect(slices.Chunk(ids, s.controller.maxConditions()))
	remaining := len(batches)
	if remaining == 0 {
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
			if remaining--; remaining == 0 {
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

// checkOutcomeBatch checks, in a transaction that is retried until answered, that the jobs have no
// outcomes, and reads the outcomes that exist.
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

// readOutcomes reads the outcomes under the given keys, with retries, and applies them.
func (s *workerSessions) readOutcomes(keys []string, done func()) {
	remaining := len(keys)
	for _, key := range keys {
		s.controller.store.GetWithRetry(key, s.alive, func(r statestore.ReadResult) {
			if r.Status == statestore.Found {
				s.applyJobRecord(r.Item.Key, r.Item.Value, false)
			}
			if remaining--; remaining == 0 {
				done()
			}
		})
	}
}

// watchJobs watches for submissions, outcomes and deleted job records after a revision.
func (s *workerSessions) watchJobs(after uint64) {
	requestedAt := s.controller.now
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
			s.noteJobsKnown(requestedAt)
			s.watchJobs(max(after, r.Revision))
		case statestore.WatchCompacted:
			s.loadJobs(s.watchJobs)
		default:
			store.RetryRead(s.alive, func() { s.watchJobs(after) })
		}
	})
}

// applyJobEvent applies a change of a key under PrefixJobs.
func (s *workerSessions) applyJobEvent(ev protocol.Event) {
	if !ev.Deleted {
		s.applyJobRecord(ev.Key, ev.Value, true)
		return
	}
	if id, ok := cutPrefix(ev.Key, records.PrefixActive); ok {
		s.listener.jobRemoved(id)
	}
}

// applyJobRecord applies a record under PrefixJobs. justWritten says that a watch delivered it, so
// that it is new. A record that was read without a watch may be old.
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
	s.controller.admission.cacheOutcome(id, outcome, done) // its writer announces it to the peers
	if j := s.jobs[id]; j != nil {
		s.listener.jobEnded(j, outcome)
	}
}

// cutPrefix returns what follows prefix in s, and whether s begins with prefix and is longer.
func cutPrefix(s, prefix string) (string, bool) {
	if len(s) > len(prefix) && s[:len(prefix)] == prefix {
		return s[len(prefix):], true
	}
	return "", false
}
