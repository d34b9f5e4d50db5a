package statestore

import (
	"encoding/json"
	"log/slog"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/ratelimit"
)

// maxTransactionBytes bounds what one transaction holds, well below what a request's body
// may have.
const maxTransactionBytes = 48 << 10

// Bytes of a condition and of an operation beside keys and values, at the most.
const (
	conditionBytes = 50
	opBytes        = 60
)

// The pause after a transaction that was refused: a fixed part and a random one.
const (
	refusedDelay  = 150 * time.Millisecond
	refusedJitter = 100 * time.Millisecond
)

// minWakeDelay is the shortest time for which a committer sets a timer.
const minWakeDelay = time.Millisecond

// Shares of what the state service writes a second that a committer uses, and of it at once:
// the rest is for what users submit and cancel.
const (
	rateShare  = 0.75
	burstShare = 0.6
)

// Transaction is a transaction that is being filled.
type Transaction struct {
	txn    protocol.Txn
	bytes  int
	maxOps int
}

// HasRoom reports whether the transaction takes another operation.
func (t *Transaction) HasRoom() bool {
	return len(t.txn.Ops) < t.maxOps && t.bytes < maxTransactionBytes
}

// Require makes the transaction conditional on a key's version, 0 for no such key.
func (t *Transaction) Require(key string, version uint64) {
	for i := range t.txn.Conditions {
		if t.txn.Conditions[i].Key == key {
			return
		}
	}
	t.txn.Conditions = append(t.txn.Conditions, protocol.Condition{Key: key, Version: version})
	t.bytes += len(key) + conditionBytes
}

// Put writes a key.
func (t *Transaction) Put(key string, value json.RawMessage) {
	t.add(protocol.Op{Put: key, Value: value})
}

// Delete removes a key.
func (t *Transaction) Delete(key string) { t.add(protocol.Op{Delete: key}) }

func (t *Transaction) add(op protocol.Op) {
	t.txn.Ops = append(t.txn.Ops, op)
	t.bytes += len(op.Put) + len(op.Delete) + len(op.Value) + opBytes
}

// reset empties the transaction and keeps its memory.
func (t *Transaction) reset(maxOps int) {
	clear(t.txn.Ops) // values may be large
	t.txn.Conditions, t.txn.Ops = t.txn.Conditions[:0], t.txn.Ops[:0]
	t.bytes, t.maxOps = 0, maxOps
}

// Source holds the records that are to be written.
type Source interface {
	// Alive reports whether there still is anything to write for.
	Alive() bool
	// Pending is when something is next to be written.
	Pending() Pending
	// Fill moves what is to be written next into a transaction, as far as it has room, and
	// returns what that is. It isn't used where it adds no operation.
	Fill(t *Transaction) Batch
}

// Pending is what there is to write: something now, or only from a time on.
type Pending struct {
	Any   bool
	Delay time.Duration // until then; 0 for now
}

// Batch is what one transaction writes. Exactly one of its methods is called, once.
type Batch interface {
	// Applied: it was written, with this revision.
	Applied(revision uint64)
	// Conflict: nothing was written, as the conditions on these keys don't hold.
	Conflict(failed []string)
	// Refused: nothing was written nor ever will be.
	Refused()
	// Unknown: it may have been written, or may yet be.
	Unknown()
}

// commitStage is what a committer is doing.
type commitStage uint8

const (
	committerIdle commitStage = iota
	committing                // a transaction is under way
	rereading                 // versions are being read before the next one
)

// Committer writes a source's records with group commit: whatever became dirty while one
// transaction was under way goes into the next. There is one at a time, so that they apply
// in order, and each is conditional on a guard key's version, so that one that is applied
// late, after the guard changed hands, fails.
type Committer struct {
	client *Client
	log    *slog.Logger
	source Source
	guard  protocol.Condition
	maxOps int
	budget *ratelimit.TokenBucket

	stage       commitStage
	pausedUntil time.Time
	wakeTimer   Timer // nil without one
	wakeAt      time.Time
	transaction Transaction // reused
}

// NewCommitter returns a committer whose transactions are conditional on guard and hold at
// most maxOps operations. The state service takes writesPerSecond operations of all its
// clients together.
func NewCommitter(client *Client, source Source, guard protocol.Condition, maxOps int, writesPerSecond float64) *Committer {
	return &Committer{client: client, log: client.log, source: source, guard: guard, maxOps: maxOps,
		budget: ratelimit.NewTokenBucket(writesPerSecond*rateShare, writesPerSecond*burstShare, client.host.Now())}
}

// Spend counts operations that others wrote, or that were written past the committer.
func (c *Committer) Spend(ops int) { c.budget.Spend(c.client.host.Now(), float64(ops)) }

// Available is how many operations may be written at once.
func (c *Committer) Available() float64 { return c.budget.Available(c.client.host.Now()) }

// Pause sends nothing for a while.
func (c *Committer) Pause(d time.Duration) { c.pausedUntil = c.client.host.Now().Add(d) }

// Flush sends the next transaction if there is something to write, none is under way, and
// the budget allows. Otherwise it sets a timer for when it may: whoever runs the timers calls
// Flush after each step.
func (c *Committer) Flush() {
	if c.stage != committerIdle || !c.source.Alive() {
		return
	}
	now := c.client.host.Now()
	if now.Before(c.pausedUntil) {
		c.scheduleWake(c.pausedUntil.Sub(now))
		return
	}
	pending := c.source.Pending()
	if !pending.Any {
		return
	}
	if pending.Delay > 0 {
		c.scheduleWake(pending.Delay)
		return
	}
	room := min(c.maxOps, int(c.budget.Available(now)))
	if room < 1 {
		c.scheduleWake(c.budget.Wait(now, 1) + minWakeDelay)
		return
	}
	t := &c.transaction
	t.reset(room)
	t.Require(c.guard.Key, c.guard.Version)
	batch := c.source.Fill(t)
	ops := len(t.txn.Ops)
	if ops == 0 {
		return
	}
	c.stage = committing
	c.budget.Spend(now, float64(ops))
	c.client.Commit(&t.txn, func(r CommitResult) {
		if c.source.Alive() {
			c.stage = committerIdle
			c.reportResult(batch, ops, r)
		}
	})
}

// reportResult tells a batch what became of its transaction.
func (c *Committer) reportResult(batch Batch, ops int, r CommitResult) {
	switch r.Status {
	case CommitApplied:
		batch.Applied(r.Revision)
	case CommitConflict:
		batch.Conflict(r.Failed)
	case CommitRefused:
		c.Pause(refusedDelay + c.client.host.Jitter(refusedJitter))
		batch.Refused()
	default:
		c.log.Info("transaction unanswered", "count", ops)
		batch.Unknown()
	}
}

// RereadVersions reads the versions of keys, however often it must ask, and sends no transaction
// before all are known. done is told each key's place in the list, and its version, 0 without
// such a key.
func (c *Committer) RereadVersions(keys []string, done func(place int, version uint64)) {
	if len(keys) == 0 {
		return
	}
	c.stage = rereading
	left := len(keys)
	for place, key := range keys {
		c.client.GetWithRetry(key, c.source.Alive, func(r ReadResult) {
			if left--; left == 0 {
				c.stage = committerIdle
			}
			done(place, r.Item.Version) // 0 when it is absent
		})
	}
}

// scheduleWake sets a timer, unless one is set that fires sooner. Its step ends with a Flush.
func (c *Committer) scheduleWake(d time.Duration) {
	d = max(d, minWakeDelay)
	at := c.client.host.Now().Add(d)
	if c.wakeTimer != nil {
		if !c.wakeAt.After(at) {
			return
		}
		c.wakeTimer.Stop()
	}
	c.wakeAt = at
	c.wakeTimer = c.client.host.After(d, func() { c.wakeTimer = nil })
}
