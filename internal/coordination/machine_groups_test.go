package coordination

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// applyMachineGroupWrites acts as the state service for a leader's transactions. It applies those
// in flight and those that follow from them, keeps the records of machine groups in stored, and
// returns the number of operations.
func applyMachineGroupWrites(c *Controller, stored map[string]json.RawMessage) (writes int) {
	e := c.takeEffects()
	for len(e.Calls) > 0 {
		var next []Call
		for _, call := range e.Calls {
			if call.To != StateService || call.Target != protocol.PathTransactions {
				continue
			}
			t, err := protocol.ParseTxn(call.Body)
			if err != nil {
				panic(err)
			}
			for _, op := range t.Ops {
				writes++
				if op.Delete != "" {
					delete(stored, op.Delete)
				} else if _, ok := cutPrefix(op.Put, records.PrefixMachineGroups); ok {
					stored[op.Put] = op.Value
				}
			}
			next = append(next, c.Result(c.now, call.ID, Outcome{Answered: true, Status: 200, Body: protocol.EncodeRevision(20)}).Calls...)
		}
		e.Calls = next
	}
	return writes
}

// loadedMachineNames returns the names of the machines that the next leader would load. It panics if
// one of them isn't marked as loaded from a group's record.
func loadedMachineNames(stored map[string]json.RawMessage) []string {
	_, l := newTestLeader(phaseLoading)
	for key, value := range stored {
		l.loadMachineGroup(protocol.KeyValue{Key: key, Value: value})
	}
	var list []string
	for name, m := range l.machines {
		if !m.recorded || !m.inherited || m.group == nil {
			panic(fmt.Sprintf("loaded %s: recorded %t, inherited %t, in a group %t; want all true", name, m.recorded, m.inherited, m.group != nil))
		}
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// Hundreds of machines that are provisioned together are recorded with a few writes. With a write
// for each machine, the first placements waited four seconds behind them. The records always
// include all machines that aren't proven terminated.
func TestMachinesShareRecords(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	stored := map[string]json.RawMessage{}
	const count = 320
	for i := range count {
		l.writer.recordMachine(l.newMachine(fmt.Sprintf("vm-%03d", i), "small", "a", i%4 == 0))
	}
	writes := 0
	for range 20 { // newTestLeader's write rate allows only a few writes at a time
		c.now = c.now.Add(200 * time.Millisecond)
		writes += applyMachineGroupWrites(c, stored)
	}
	if writes > 10 {
		t.Errorf("%d machines took %d writes, want at most 10", count, writes)
	}
	if got := loadedMachineNames(stored); len(got) != count {
		t.Fatalf("%d machines recorded, want %d", len(got), count)
	}
	for i, m := range slices.Clone(l.fleetList) {
		if !m.recorded {
			t.Fatalf("%s is not marked as recorded", m.Name)
		}
		if i >= 10 {
			l.machineTerminated(m, "returned")
		}
		for _, name := range []string{"vm-000", "vm-009"} {
			if !slices.Contains(loadedMachineNames(stored), name) {
				t.Fatalf("%s is missing from the records", name)
			}
		}
		if i%100 == 0 {
			c.now = c.now.Add(200 * time.Millisecond)
			applyMachineGroupWrites(c, stored)
		}
	}
	for range 20 {
		c.now = c.now.Add(500 * time.Millisecond)
		applyMachineGroupWrites(c, stored)
	}
	if got := loadedMachineNames(stored); len(got) != 10 {
		t.Errorf("%d machines recorded, want the ten that were not terminated", len(got))
	}
}

// The address of a machine's worker is recorded once it is known, so that the next leader can probe
// the machine while the cloud's inventory is unavailable.
func TestMachineAddressesAreRecorded(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	stored := map[string]json.RawMessage{}
	l.writer.recordMachine(l.newMachine("vm-1", "small", "a", false))
	applyMachineGroupWrites(c, stored)
	c.Request(c.now, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(4))
	c.now = c.now.Add(groupRewriteDelay + time.Second)
	applyMachineGroupWrites(c, stored)
	next, leader := newTestLeader(phaseLoading)
	for key, value := range stored {
		leader.loadMachineGroup(protocol.KeyValue{Key: key, Value: value})
	}
	if got := leader.machines["vm-1"]; got == nil || got.addr != "x" {
		t.Fatalf("loaded %+v, want vm-1 with address x", got)
	}
	leader.startReconciling()
	next.now = next.now.Add(2 * probeDelay)
	leader.detectFailures()
	probed := false
	for _, call := range next.takeEffects().Calls {
		probed = probed || call.To == Worker && call.Addr == "x"
	}
	if !probed {
		t.Error("the next leader doesn't probe the machine while the cloud's inventory is unavailable")
	}
}

// A record of a single machine, as earlier versions wrote it, is still loaded.
func TestLoadsLegacySingleMachineRecord(t *testing.T) {
	_, l := newTestLeader(phaseLoading)
	l.loadMachineGroup(protocol.KeyValue{Key: records.PrefixMachineGroups + "vm-7", Value: json.RawMessage(`{"type":"small","zone":"a","spot":true,"at":1}`)})
	if m := l.machines["vm-7"]; m == nil || !m.Spot || m.Type != "small" || !m.recorded {
		t.Errorf("loaded %+v, want the recorded spot machine vm-7 of type small", m)
	}
}
