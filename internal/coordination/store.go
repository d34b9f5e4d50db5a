package coordination

import (
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// storeTimeout is how long the state service has to answer: now and then it
// takes some hundred milliseconds.
const storeTimeout = 1500 * time.Millisecond

// storeProbe is the pause between attempts to reach it while it is down.
const storeProbe = 300 * time.Millisecond

// storeQuiet is how long the state service may be silent before it is asked.
const storeQuiet = 1500 * time.Millisecond

// watchWait is how long a watch stays open without news, and jobsWatchWait the one by
// which a leader learns of cancellations: what it knows is as old as the watch that was
// answered last.
const watchWait = 8 * time.Second

func (c *Controller) jobsWatchWait() time.Duration {
	return min(max(c.answerFreshness()/4, 250*time.Millisecond), time.Second)
}

// store sends one request to the state service and notes whether it works.
func (c *Controller) store(method, target string, body []byte, timeout time.Duration, done func(Outcome)) {
	c.storeCost.Spend(c.now, 1)
	c.call(StateService, "", method, target, body, timeout, func(o Outcome) {
		c.noteStore(o)
		done(o)
	})
}

// storeWatch is store for watches, whose silence says nothing.
func (c *Controller) storeWatch(prefix string, after uint64, wait time.Duration, done func(Outcome)) {
	c.storeCost.Spend(c.now, 1)
	c.call(StateService, "", "GET", protocol.WatchTarget(prefix, after, wait), nil, wait+4*time.Second, func(o Outcome) {
		if o.Answered {
			c.noteStore(o)
		}
		done(o)
	})
}

func (c *Controller) noteStore(o Outcome) {
	switch {
	case o.Answered && o.Status != 503 && o.Status < 500 && o.Status != 429:
		if !c.storeFailingSince.IsZero() && c.now.Sub(c.storeFailingSince) > time.Second {
			c.log.Info("state service answers again", "after", c.now.Sub(c.storeFailingSince))
		}
		c.storeAnsweredAt, c.storeFailingSince = c.now, time.Time{}
	case o.Answered && o.Status == 429:
		// It works, and we ask too much.
	default:
		if c.storeFailingSince.IsZero() {
			c.storeFailingSince = c.now
			c.after(storeProbe, c.askStore)
		}
	}
}

// askStore asks the state service until it answers again. While it is taken
// for down users are refused without asking it, so that nothing else might ever
// find out: a follower that sends no requests of its own stayed down for good.
func (c *Controller) askStore() {
	if c.storeFailingSince.IsZero() {
		return
	}
	c.storeGet(records.KeyTerm, func(protocol.KeyValue, bool, bool) {
		c.after(storeProbe, c.askStore)
	})
}

// checkStore asks the state service when nothing else has for a while. A watch that
// is cut says nothing for many seconds, and a node without other requests would
// still call itself healthy.
func (c *Controller) checkStore() {
	if c.storeFailingSince.IsZero() && c.now.Sub(c.storeAnsweredAt) > storeQuiet {
		c.storeGet(records.KeyTerm, func(protocol.KeyValue, bool, bool) {})
	}
}

// storeDown reports whether the state service has refused or ignored this
// node for longer than a hiccup.
func (c *Controller) storeDown() bool {
	return !c.storeFailingSince.IsZero() && c.now.Sub(c.storeFailingSince) > 1200*time.Millisecond
}

// storeGet reads one key; ok is false when nothing is known.
func (c *Controller) storeGet(key string, done func(it protocol.KeyValue, found, ok bool)) {
	c.store("GET", protocol.KeyTarget(key), nil, storeTimeout, func(o Outcome) {
		switch {
		case o.Answered && o.Status == 404:
			done(protocol.KeyValue{}, false, true)
		case o.Answered && o.Status == 200:
			it, err := protocol.ParseKeyValue(o.Body)
			done(it, err == nil, err == nil)
		default:
			done(protocol.KeyValue{}, false, false)
		}
	})
}

// storeList reads all keys with a prefix, page by page, retrying until it has
// them or alive says to stop. The revision is that of the first page, so a
// watch from it misses nothing; all that was written before asked is in the list.
func (c *Controller) storeList(prefix string, alive func() bool, done func(items []protocol.KeyValue, revision uint64, asked time.Time)) {
	var items []protocol.KeyValue
	var first uint64
	var asked time.Time
	var page func(after string)
	page = func(after string) {
		if first == 0 {
			asked = c.now
		}
		c.store("GET", protocol.RangeTarget(prefix, after, 500), nil, 2*storeTimeout, func(o Outcome) {
			if !alive() {
				return
			}
			if o.Answered && o.Status == 200 {
				got, more, revision, err := protocol.ParseRange(o.Body)
				if err == nil && !(more && len(got) == 0) {
					if first == 0 {
						first = revision
					}
					items = append(items, got...)
					if more {
						page(got[len(got)-1].Key)
						return
					}
					done(items, first, asked)
					return
				}
			}
			c.after(250*time.Millisecond+c.jitter(100*time.Millisecond), func() {
				if alive() {
					page(after)
				}
			})
		})
	}
	page("")
}

// txnResult is what came of a transaction.
type txnResult uint8

const (
	txnApplied txnResult = iota + 1
	txnFailed            // a condition didn't hold; nothing was done
	txnRefused           // not executed and may be sent again
	txnNoLease           // an expired lease was named; nothing was done
	txnUnknown           // may have been applied, or may yet be
)

// maxConditions is how many keys one transaction compares: what the state service takes, and
// what its body holds.
func (c *Controller) maxConditions() int { return min(4*c.cfg.TxnOps, protocol.MaxConditions) }

// storeTxn sends a transaction.
func (c *Controller) storeTxn(t *protocol.Txn, done func(r txnResult, revision uint64, failed []string)) {
	c.store("POST", protocol.PathTransactions, protocol.EncodeTxn(t), storeTimeout, func(o Outcome) {
		switch {
		case !o.Answered && o.NotSent:
			done(txnRefused, 0, nil)
		case !o.Answered:
			done(txnUnknown, 0, nil)
		case o.Status == 200:
			if revision, err := protocol.ParseRevision(o.Body); err == nil {
				done(txnApplied, revision, nil)
				return
			}
			done(txnUnknown, 0, nil)
		case o.Status == 409:
			if failed, err := protocol.ParseFailedConditions(o.Body); err == nil {
				done(txnFailed, 0, failed)
				return
			}
			done(txnUnknown, 0, nil)
		case o.Status == 503 || o.Status == 429:
			done(txnRefused, 0, nil)
		case o.Status == 400:
			done(txnNoLease, 0, nil)
		default:
			done(txnUnknown, 0, nil)
		}
	})
}
