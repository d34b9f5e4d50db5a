package coordination

import (
	"slices"
	"testing"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// leaderWithUnansweredPlacement returns a leader that has sent a transaction with the placement of
// a task, the attempt, and the ID of the call.
func leaderWithUnansweredPlacement(t *testing.T) (c *Controller, a *attempt, transaction uint64) {
	t.Helper()
	c, l := newTestLeader(phaseActive)
	j, _ := addRunningJob(c, l)
	e := c.Request(c.now, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(3))
	applyTransactions(c, e.Calls) // including the machine's record
	m := l.machines["vm-1"]
	m.recorded, m.session.LastReached = true, c.now
	c.now = c.now.Add(time.Second)
	l.assign(j, 0, m)
	a = j.task(0).live
	for _, call := range c.takeEffects().Calls {
		if call.To == StateService && call.Target == protocol.PathTransactions {
			transaction = call.ID
		}
	}
	if a == nil || transaction == 0 {
		t.Fatalf("no placement, or no transaction sent for it: attempt %v, transaction %d", a, transaction)
	}
	return c, a, transaction
}

// The result of a transaction decides what happens to a placement in it: the placement counts as
// recorded, or it is written again, after the keys whose versions are unknown were read. No start is
// sent to a worker before the placement is recorded.
func TestPlacementAfterTransactionResult(t *testing.T) {
	const id = "run-000001"
	block, outcome := records.KeyTaskBlock(id, 0), records.KeyOutcome(id)
	conflict := func(key string) Outcome {
		return Outcome{Answered: true, Status: 409, Body: protocol.EncodeFailedConditions([]string{key}, 9)}
	}
	for _, test := range []struct {
		name     string
		outcome  Outcome
		recorded bool
		reads    string // the key that must be read after the result
	}{
		{name: "applied", outcome: Outcome{Answered: true, Status: 200, Body: protocol.EncodeRevision(21)}, recorded: true},
		{name: "refused", outcome: Outcome{Answered: true, Status: 503}},
		{name: "no response", outcome: Outcome{}, reads: block},
		{name: "another version of the block", outcome: conflict(block), reads: block},
		{name: "the job has ended", outcome: conflict(outcome), reads: outcome},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, a, transaction := leaderWithUnansweredPlacement(t)
			if a.job.ID != id {
				t.Fatalf("placement is of the wrong job, %s", a.job.ID)
			}
			e := c.Result(c.now, transaction, test.outcome)
			if a.recorded != test.recorded {
				t.Errorf("placement recorded %t, want %t", a.recorded, test.recorded)
			}
			var reads []string
			started := false
			for _, call := range e.Calls {
				if call.To == StateService && call.Method == "GET" {
					reads = append(reads, call.Target)
				}
				started = started || call.To == Worker
			}
			if test.reads != "" && !slices.Contains(reads, protocol.KeyTarget(test.reads)) || test.reads == "" && len(reads) > 0 {
				t.Errorf("reads %v after the result, want %q", reads, test.reads)
			}
			if started && !test.recorded {
				t.Error("start sent before the placement is recorded")
			}
		})
	}
}

// After an unanswered write, a block is written again conditional on the version that was read.
func TestUnansweredBlockWriteRereadsVersion(t *testing.T) {
	c, a, transaction := leaderWithUnansweredPlacement(t)
	e := c.Result(c.now, transaction, Outcome{})
	key := records.KeyTaskBlock(a.job.ID, 0)
	for _, call := range e.Calls {
		if call.Target != protocol.KeyTarget(key) {
			continue
		}
		item := protocol.KeyValue{Key: key, Value: records.Encode(records.TaskBlock{}), Version: 12}
		e = c.Result(c.now, call.ID, Outcome{Answered: true, Status: 200, Body: protocol.EncodeKeyValue(item)})
	}
	for _, call := range e.Calls {
		if call.Target != protocol.PathTransactions {
			continue
		}
		txn, err := protocol.ParseTxn(call.Body)
		if err != nil {
			t.Fatal(err)
		}
		if !hasCondition(txn, key, 12) || !hasCondition(txn, records.KeyOutcome(a.job.ID), 0) {
			t.Errorf("placement written again under conditions %+v, want the version that was read and no outcome", txn.Conditions)
		}
		return
	}
	t.Error("placement not written again")
}

// A leader whose key has changed stops leading.
func TestLeaderKeyConflictEndsLeadership(t *testing.T) {
	c, _, transaction := leaderWithUnansweredPlacement(t)
	c.Result(c.now, transaction, Outcome{Answered: true, Status: 409, Body: protocol.EncodeFailedConditions([]string{records.KeyLeader}, 9)})
	if c.leader != nil {
		t.Error("controller still leads after the leader key changed")
	}
}
