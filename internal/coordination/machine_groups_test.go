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

// records plays the state service for a leader's transactions: it applies those
// under way, and those that they lead to, and keeps the records of machines.
func applyMachineGroupWrites(c *Controller, kept map[string]json.RawMessage) (writes int) {
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
					delete(kept, op.Delete)
				} else if _, ok := cutPrefix(op.Put, records.PrefixMachineGroups); ok {
					kept[op.Put] = op.Value
				}
			}
			next = append(next, c.Result(c.now, call.ID, Outcome{Answered: true, Status: 200, Body: protocol.EncodeRevision(20)}).Calls...)
		}
		e.Calls = next
	}
	return writes
}

// loadedMachineNames are the machines that a next leader would load.
func loadedMachineNames(kept map[string]json.RawMessage) []string {
	_, l := newTestLeader(phaseLoading)
	for key, value := range kept {
		l.loadMachineGroup(protocol.KeyValue{Key: key, Value: value})
	}
	var list []string
	for name, m := range l.machines {
		if !m.recorded || !m.inherited || m.group == nil {
			panic(name)
		}
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// A fleet that comes by the hundred is recorded with a few writes, and what is on
// record are at any time at least the machines that aren't proven gone: with a write
// for each machine, the first placements waited four seconds behind them.
func TestMachinesShareRecords(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	kept := map[string]json.RawMessage{}
	const count = 320
	for i := range count {
		l.writer.recordMachine(l.newMachine(fmt.Sprintf("vm-%03d", i), "small", "a", i%4 == 0))
	}
	writes := 0
	for range 20 { // the budget of writes is small here
		c.now = c.now.Add(200 * time.Millisecond)
		writes += applyMachineGroupWrites(c, kept)
	}
	if writes > 10 {
		t.Errorf("%d machines took %d writes", count, writes)
	}
	if got := loadedMachineNames(kept); len(got) != count {
		t.Fatalf("%d machines on record", len(got))
	}
	for i, m := range slices.Clone(l.fleetList) {
		if !m.recorded {
			t.Fatalf("%s isn't taken for recorded", m.Name)
		}
		if i >= 10 {
			l.machineTerminated(m, "returned")
		}
		for _, name := range []string{"vm-000", "vm-009"} {
			if !slices.Contains(loadedMachineNames(kept), name) {
				t.Fatalf("%s is off the record", name)
			}
		}
		if i%100 == 0 {
			c.now = c.now.Add(200 * time.Millisecond)
			applyMachineGroupWrites(c, kept)
		}
	}
	for range 20 {
		c.now = c.now.Add(500 * time.Millisecond)
		applyMachineGroupWrites(c, kept)
	}
	if got := loadedMachineNames(kept); len(got) != 10 {
		t.Errorf("%d machines on record, want the ten that are left", len(got))
	}
}

// The address of a machine that has come up is on record, so that the next leader can
// ask it while the cloud's list can't be had.
func TestMachineAddressesAreRecorded(t *testing.T) {
	c, l := newTestLeader(phaseActive)
	kept := map[string]json.RawMessage{}
	l.writer.recordMachine(l.newMachine("vm-1", "small", "a", false))
	applyMachineGroupWrites(c, kept)
	c.Request(c.now, 1, "POST", protocol.PathHeartbeat, encodedHeartbeat(4))
	c.now = c.now.Add(groupRewriteDelay + time.Second)
	applyMachineGroupWrites(c, kept)
	next, leader := newTestLeader(phaseLoading)
	for key, value := range kept {
		leader.loadMachineGroup(protocol.KeyValue{Key: key, Value: value})
	}
	if got := leader.machines["vm-1"]; got == nil || got.addr != "x" {
		t.Fatalf("loaded %+v", got)
	}
	leader.startReconciling()
	next.now = next.now.Add(2 * probeDelay)
	leader.detectFailures()
	asked := false
	for _, call := range next.takeEffects().Calls {
		asked = asked || call.To == Worker && call.Addr == "x"
	}
	if !asked {
		t.Error("the next leader doesn't ask the machine without the cloud's list")
	}
}

// A record from before machines shared them is understood.
func TestLoadsLegacySingleMachineRecord(t *testing.T) {
	_, l := newTestLeader(phaseLoading)
	l.loadMachineGroup(protocol.KeyValue{Key: records.PrefixMachineGroups + "vm-7", Value: json.RawMessage(`{"type":"small","zone":"a","spot":true,"at":1}`)})
	if m := l.machines["vm-7"]; m == nil || !m.Spot || m.Type != "small" || !m.recorded {
		t.Errorf("loaded %+v", m)
	}
}
