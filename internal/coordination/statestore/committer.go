package statestore

import (
	"encoding/json"
	"log/slog"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/ratelimit"
)

// maxTransactionBytes limits the size of a transaction, well below the limit on the size of a
// request's body: HasRoom compares the size before a record is added, so the last record may exceed
// the limit.
const maxTransactionBytes = 48 << 10

// Maximum encoded size of a condition and of an operation, without keys and values.
const (
	conditionBytes = 50
	opBytes        = 60
)

// Delay after a refused transaction: a fixed part and a random part.
const (
	refusedDelay  = 150 * time.Millisecond
	refusedJitter = 100 * time.Millisecond
)

// minWakeDelay is the shortest time for which a committer sets a timer.
const minWakeDelay = time.Millisecond

// Shares of the state service's operations per second that a committer may use continuously, and
// in one burst. The rest is left for users' submissions and cancellations.
const (
	rateShare  = 0.75
	burstShare = 0.6
)

// Transaction is a transaction under construction.
type Transaction struct {
	txn    protocol.Txn
	bytes  int
	maxOps int
}

// HasRoom reports whether another operation may be added.
func (t *Transaction) HasRoom() bool {
	return len(t.txn.Ops) < t.maxOps && t.bytes < maxTransactionBytes
}

// Require makes the transaction conditional on a key's version. Version 0 requires that the key
// doesn't exist. A second condition on the same key is ignored.
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

// reset empties the transaction and keeps its allocated memory.
func (t *Transaction) reset(maxOps int) {
	clear(t.txn.Ops) // values may be large
	t.txn.Conditions, t.txn.Ops = t.txn.Conditions[:0], t.txn.Ops[:0]
	t.bytes, t.maxOps = 0, maxOps
}

// Source supplies the records to be written.
type Source interface {
	// Alive reports whether the source still exists. After it has ended, nothing is written.
	Alive() bool
	// Pending returns whether and when there is something to write.
	Pending() Pending
	// Fill moves the next records into a transaction, as long as it has room, and returns them
	// as a batch. The batch is discarded if Fill adds no operation.
	Fill(t *Transaction) Batch
}

// Pending says whether there is something to write, and when it is due.
type Pending struct {
	Any   bool
	Delay time.Duration // until it is due; 0 if it is due now
}

// Batch is what one transaction writes. Once the result of the transaction is known, exactly one of
// its methods is called, once, unless the source has ended by then.
type Batch interface {
	// Applied reports that the batch was written, at this revision.
	Applied(revision uint64)
	// Conflict reports that nothing was written, because the conditions on these keys failed.
	Conflict(failed []string)
	// Refused reports that nothing was written, and nothing will be.
	Refused()
	// Unknown reports that the batch may have been written, or may be written later.
	Unknown()
}

// commitStage is the state of a committer.
type commitStage uint8

const (
	committerIdle commitStage = iota
	committing                // a transaction is in flight
	rereading                 // versions are being read before the next transaction
)

// Committer writes a source's records with group commit: records that become dirty while one
// transaction is in flight are written by the next. Only one transaction is in flight at a time, so
// that they are applied in order. Each is conditional on a guard key's version, so that it fails if
// it is applied only after the guard key has changed.
type Committer struct {
	client *Client
	log    *slog.Logger
	source Source
	guard  protocol.Condition
	maxOps int
	budget *ratelimit.TokenBucket

	stage       commitStage
	pausedUntil time.Time // no transaction is sent before
	wakeTimer   Timer     // nil if none is set
	wakeAt      time.Time
	transaction Transaction // reused
}

// NewCommitter returns a committer whose transactions are conditional on guard and hold at
// most maxOps operations. writesPerSecond is the number of operations that the state service
// accepts from all of its clients together.
func NewCommitter(client *Client, source Source, guard protocol.Condition, maxOps int, writesPerSecond float64) *Committer {
	return &Committer{client: client, log: client.log, source: source, guard: guard, maxOps: maxOps,
		budget: ratelimit.NewTokenBucket(writesPerSecond*rateShare, writesPerSecond*burstShare, client.host.Now())}
}

// Spend charges the write budget for operations that the committer didn't send: those of other
// controllers, and those of other transactions of this controller.
func (c *Committer) Spend(ops int) { c.budget.Spend(c.client.host.Now(), float64(ops)) }

// Available returns how many operations the write budget allows now. It is negative while the
// budget is overdrawn.
func (c *Committer) Available() float64 { return c.budget.Available(c.client.host.Now()) }

// Pause delays further transactions by d.
func (c *Committer) Pause(d time.Duration) { c.pausedUntil = c.client.host.Now().Add(d) }

// Flush sends the next transaction if there is something to write, no transaction is in flight, no
// versions are being read, and the write budget allows it. If it has to wait for the end of a pause,
// the due time of a record or the budget, it sets a timer. The host must call Flush after each step,
// including those that run timers.
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

// reportResult reports the result of a transaction to its batch.
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
		// CommitUnknown, or CommitLeaseExpired. The latter isn't expected, since the committer's
		// operations name no lease, and so proves nothing about the writes.
		c.log.Info("transaction unanswered", "count", ops)
		batch.Unknown()
	}
}

// RereadVersions reads the versions of keys, with retries, and holds transactions back until
// all are known. done is called for each key with its index in keys and its version, which is 0
// if there is no such key.
func (c *Committer) RereadVersions(keys []string, done func(index int, version uint64)) {
	if len(keys) == 0 {
		return
	}
	c.stage = rereading
	remaining := len(keys)
	for index, key := range keys {
		c.client.GetWithRetry(key, c.source.Alive, func(r ReadResult) {
			if remaining--; remaining == 0 {
				c.stage = committerIdle
			}
			done(index, r.Item.Version) // 0 if the key is absent
		})
	}
}

// scheduleWake sets a timer, unless one is set that fires no later. The step that runs it ends
// with a call of Flush.
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
