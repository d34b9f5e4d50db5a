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
func (o *owner) loadJobs(done func(revision uint64)) {
	o.controller.storeList(records.PrefixActive, o.alive, func(items []protocol.Item, revision uint64, asked time.Time) {
		for _, it := range items {
			o.jobKey(it.Key, it.Value, false)
		}
		o.checkOutcomes(o.unfinished(), func() {
			// Every outcome written before the list was asked for is known by now.
			o.learned(asked)
			o.controller.releaseHeld()
			done(revision)
		})
	})
}

// unfinished are the jobs that aren't known to be over, in order.
func (o *owner) unfinished() []string {
	var ids []string
	for id, j := range o.jobs {
		if j.outcome == 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// checkOutcomes learns which of the jobs are over.
func (o *owner) checkOutcomes(ids []string, done func()) {
	batches := slices.Collect(slices.Chunk(ids, o.controller.maxConditions()))
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
		o.checkBatch(batch, func() {
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
func (o *owner) checkBatch(ids []string, done func()) {
	t := &protocol.Txn{}
	for _, id := range ids {
		t.If = append(t.If, protocol.Condition{Key: records.KeyOutcome(id)})
	}
	o.controller.storeTxn(t, func(r txnResult, _ uint64, failed []string) {
		switch {
		case !o.alive():
		case r == txnApplied:
			done()
		case r == txnFailed:
			o.readOutcomes(failed, done)
		default:
			o.retryRead(func() { o.checkBatch(ids, done) })
		}
	})
}

func (o *owner) readOutcomes(keys []string, done func()) {
	left := len(keys)
	for _, key := range keys {
		o.readOutcomeKey(key, func() {
			if left--; left == 0 {
				done()
			}
		})
	}
}

func (o *owner) readOutcomeKey(key string, done func()) {
	o.controller.storeGet(key, func(it protocol.Item, found, ok bool) {
		switch {
		case !o.alive():
		case !ok:
			o.retryRead(func() { o.readOutcomeKey(key, done) })
		default:
			if found {
				o.jobKey(it.Key, it.Value, false)
			}
			done()
		}
	})
}

// retryRead runs f after a short pause, if this leadership lasts.
func (o *owner) retryRead(f func()) {
	o.controller.after(200*time.Millisecond+o.controller.jitter(100*time.Millisecond), func() {
		if o.alive() {
			f()
		}
	})
}

// watchJobs learns of submissions and of outcomes from a revision on.
func (o *owner) watchJobs(after uint64) {
	asked := o.controller.now
	o.controller.storeWatch(records.PrefixJobs, after, o.controller.jobsWatchWait(), func(out Outcome) {
		if !o.alive() {
			return
		}
		if out.Answered && out.Status == 200 {
			if events, revision, err := protocol.ParseEvents(out.Body); err == nil {
				for _, ev := range events {
					o.jobEvent(ev)
				}
				o.learned(asked)
				o.watchJobs(max(after, revision))
				return
			}
		}
		if out.Answered && out.Status == 410 {
			o.loadJobs(o.watchJobs) // too much has changed since
			return
		}
		o.retryRead(func() { o.watchJobs(after) })
	})
}

func (o *owner) jobEvent(ev protocol.Event) {
	if !ev.Deleted {
		o.jobKey(ev.Key, ev.Value, true)
		return
	}
	if id, ok := cutPrefix(ev.Key, records.PrefixActive); ok {
		o.observer.jobRemoved(id)
	}
}

// jobKey takes a record under PrefixJobs; live says that it was just written.
func (o *owner) jobKey(key string, value json.RawMessage, live bool) {
	if id, ok := cutPrefix(key, records.PrefixActive); ok {
		o.observer.jobRecorded(id, value, live)
		return
	}
	id, ok := cutPrefix(key, records.PrefixOutcome)
	if !ok {
		return
	}
	s, done, err := records.DecodeOutcome(value)
	if err != nil {
		o.controller.log.Error("unreadable outcome", "job", id, "err", err)
		return
	}
	o.controller.admission.setFinal(id, s, done) // who wrote it told the peers
	if j := o.jobs[id]; j != nil {
		o.observer.jobEnded(j, s)
	}
}

func cutPrefix(s, prefix string) (string, bool) {
	if len(s) > len(prefix) && s[:len(prefix)] == prefix {
		return s[len(prefix):], true
	}
	return "", false
}
