package coordination

import (
	"testing"
	"time"

	"brasskeel/internal/coordination/statestore"
	"brasskeel/internal/protocol"
)

// failStateServiceCalls makes the state service unavailable to a controller: a request that the
// controller sent a minute ago failed, and none has succeeded since.
func failStateServiceCalls(c *Controller) {
	now := c.now
	c.now = now.Add(-time.Minute)
	c.store.Get("any", func(statestore.ReadResult) {})
	done := c.pendingCalls[c.lastCallID]
	delete(c.pendingCalls, c.lastCallID)
	done(Outcome{})
	c.now = now
}

// applyTransactions answers the transactions among calls as applied.
func applyTransactions(c *Controller, calls []Call) {
	for _, call := range calls {
		if call.To == StateService && call.Target == protocol.PathTransactions {
			c.Result(c.now, call.ID, Outcome{Answered: true, Status: 200, Body: protocol.EncodeRevision(20)})
		}
	}
}

// A state service that doesn't answer counts as unavailable, and is probed until it answers.
func TestStateServiceIsProbedWhileUnavailable(t *testing.T) {
	c, _ := newTestLeader(phaseActive)
	failStateServiceCalls(c)
	if !c.store.Unavailable() {
		t.Fatal("available after a minute without an answer")
	}
	var probe uint64
	for _, call := range c.Tick(c.now).Calls {
		if call.To == StateService && call.Target == protocol.KeyTarget("e/term") {
			probe = call.ID
		}
	}
	if probe == 0 {
		t.Fatal("the state service isn't probed")
	}
	c.Result(c.now, probe, Outcome{Answered: true, Status: 404})
	if c.store.Unavailable() {
		t.Error("unavailable although the probe was answered")
	}
}
