package shard

import (
	"testing"
	"time"

	"brasskeel/internal/golden"
	"brasskeel/internal/protocol"
)

// Records and messages are written as the versions before wrote them, with all of their
// fields and with as few as they can have.
func TestForms(t *testing.T) {
	member := Member{Node: "n1", Incarnation: 1<<64 - 1}
	grant := Grant{Member: member, Term: 41}
	next := Grant{Member: Member{Node: "n2", Incarnation: 6}, Term: 42}
	task := Task{Machine: "vm-1", Job: "run-000001", Index: 3, Attempt: 7}
	run := Run{Task: task, New: true, Stop: true, Grace: 10000}
	header := Header{Epoch: Epoch{Term: 41, Member: member}, Seq: 5, Ack: 4, Reset: true, Again: true}
	golden.Check(t, []golden.Form{
		{File: "member_full.json", Value: &MemberRecord{Member: member, Zone: "a", Draining: true, Reach: &Reach{Count: 2, Workers: 30, Lost: 4}}},
		{File: "member_least.json", Value: &MemberRecord{}},
		{File: "member_reach_least.json", Value: &MemberRecord{Reach: &Reach{}}},
		{File: "owner_full.json", Value: &Record{Owner: grant, Next: &next, Released: true, Generation: 9}},
		{File: "owner_least.json", Value: &Record{}},
		{File: "instructions_full.json", Value: &Instructions{Header: header,
			Machines: []Machine{{Shard: 12, Term: 41, Name: "vm-1", Addr: "10.0.0.1:1", Type: "small", Zone: "a", Spot: true, Up: true, Runs: []Run{run}}},
			Gone:     []string{"vm-2"}, Runs: []Run{run}, Stops: []Stop{{Task: task, Grace: 10000}}, Forgets: []Task{task}}},
		{File: "instructions_least.json", Value: &Instructions{}},
		{File: "instructions_least_entries.json", Value: &Instructions{Machines: []Machine{{}}, Gone: []string{""}, Runs: []Run{{}}, Stops: []Stop{{}},
			Forgets: []Task{{}}}},
		{File: "observations_full.json", Value: &Observations{Header: header, Grants: map[ID]uint64{1: 41, 12: 42},
			Workers: []Worker{{Machine: "vm-1", Shard: 12, Session: 3, Addr: "10.0.0.1:1", Type: "small", Zone: "a", Spot: true, Compared: true,
				Reached: true, Notice: 30000, Anew: true}},
			States: []State{{Task: task, State: protocol.Running}}, Exits: []Exit{{Task: task, Why: protocol.ExitStopped, Saved: true}},
			Gone: []Gone{{Task: task, Why: "silent"}}, Strays: []Task{task},
			Status: &Status{Load: Load{Share: 0.25, Lag: 3 * time.Millisecond, Reports: 12.5, Machines: 30},
				Late: []Late{{Machine: "vm-1", Silent: 1, Unreached: 2, Unreported: 3, Fails: 4}}, Part: 1, More: true}}},
		{File: "observations_least.json", Value: &Observations{}},
		{File: "observations_least_entries.json", Value: &Observations{Grants: map[ID]uint64{}, Workers: []Worker{{}}, States: []State{{}}, Exits: []Exit{{}},
			Gone: []Gone{{}}, Strays: []Task{{}}, Status: &Status{Late: []Late{{}}}}},
	})
}

// The numbers that stand for states and reasons are those of the versions before.
func TestNumbersInMessages(t *testing.T) {
	for _, number := range []struct{ got, want uint8 }{
		{uint8(protocol.Fetching), 1}, {uint8(protocol.Running), 2}, {uint8(protocol.Saving), 3}, {uint8(protocol.Exited), 4},
		{uint8(protocol.ExitNone), 0}, {uint8(protocol.ExitDone), 1}, {uint8(protocol.ExitStopped), 2}, {uint8(protocol.ExitError), 3},
		{uint8(protocol.ExitNoRoom), 4}, {uint8(protocol.ExitBusy), 5}, {uint8(protocol.ExitUnknown), 6}, {uint8(protocol.ExitGang), 7},
	} {
		if number.got != number.want {
			t.Errorf("number %d, want %d", number.got, number.want)
		}
	}
}
