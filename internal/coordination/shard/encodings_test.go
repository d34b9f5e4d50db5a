package shard

import (
	"testing"
	"time"

	"brasskeel/internal/golden"
	"brasskeel/internal/protocol"
)

// Records and messages are encoded as earlier versions encoded them, with all fields set and with
// none.
func TestEncodings(t *testing.T) {
	member := Member{Name: "n1", Incarnation: 1<<64 - 1}
	owner := Ownership{Member: member, Term: 41}
	next := Ownership{Member: Member{Name: "n2", Incarnation: 6}, Term: 42}
	task := AttemptID{Machine: "vm-1", Job: "run-000001", TaskIndex: 3, Attempt: 7}
	start := Start{AttemptID: task, FirstNotice: true, Stopping: true, GraceMillis: 10000}
	header := Header{Epoch: ChannelEpoch{Term: 41, Member: member}, Sequence: 5, Acknowledged: 4, Snapshot: true, SnapshotRequested: true}
	golden.Check(t, []golden.Case{
		{File: "member_full.json", Value: &MemberRecord{Member: member, Zone: "a", Draining: true, Reachability: &ReachabilityReport{Sequence: 2, Workers: 30, Unreachable: 4}}},
		{File: "member_least.json", Value: &MemberRecord{}},
		{File: "member_reach_least.json", Value: &MemberRecord{Reachability: &ReachabilityReport{}}},
		{File: "owner_full.json", Value: &OwnerRecord{Owner: owner, Next: &next, HandedOver: true, Generation: 9}},
		{File: "owner_least.json", Value: &OwnerRecord{}},
		{File: "instructions_full.json", Value: &Instructions{Header: header,
			Machines:           []Machine{{Shard: 12, Term: 41, Name: "vm-1", Addr: "10.0.0.1:1", Type: "small", Zone: "a", Spot: true, RegisteredBefore: true, Starts: []Start{start}}},
			TerminatedMachines: []string{"vm-2"}, Starts: []Start{start}, Stops: []Stop{{AttemptID: task, GraceMillis: 10000}}, Forgets: []AttemptID{task}}},
		{File: "instructions_least.json", Value: &Instructions{}},
		{File: "instructions_least_entries.json", Value: &Instructions{Machines: []Machine{{}}, TerminatedMachines: []string{""}, Starts: []Start{{}}, Stops: []Stop{{}},
			Forgets: []AttemptID{{}}}},
		{File: "observations_full.json", Value: &Observations{Header: header, ServedTerms: map[ID]uint64{1: 41, 12: 42},
			Workers: []Worker{{Machine: "vm-1", Shard: 12, Incarnation: 3, Addr: "10.0.0.1:1", Type: "small", Zone: "a", Spot: true, Reconciled: true,
				Reached: true, PreemptionMillis: 30000, IncarnationReset: true}},
			TaskStates: []TaskState{{AttemptID: task, State: protocol.Running}}, Exits: []Exit{{AttemptID: task, Reason: protocol.ExitStopped, Checkpointed: true}},
			Terminations: []Termination{{AttemptID: task, Reason: "silent"}}, Orphans: []AttemptID{task},
			Status: &Status{Load: Load{CPUShare: 0.25, Lag: 3 * time.Millisecond, HeartbeatRate: 12.5, Machines: 30},
				Unhealthy: []UnhealthyWorker{{Machine: "vm-1", UnseenMillis: 1, UnreachedMillis: 2, UnansweredMillis: 3, FailedProbes: 4}}, Part: 1, More: true}}},
		{File: "observations_least.json", Value: &Observations{}},
		{File: "observations_least_entries.json", Value: &Observations{ServedTerms: map[ID]uint64{}, Workers: []Worker{{}}, TaskStates: []TaskState{{}}, Exits: []Exit{{}},
			Terminations: []Termination{{}}, Orphans: []AttemptID{{}}, Status: &Status{Unhealthy: []UnhealthyWorker{{}}}}},
	})
}

// Task states and exit reasons have the same numbers in messages as in earlier versions.
func TestNumbersInMessages(t *testing.T) {
	for _, number := range []struct{ got, want uint8 }{
		{uint8(protocol.Fetching), 1}, {uint8(protocol.Running), 2}, {uint8(protocol.Checkpointing), 3}, {uint8(protocol.Exited), 4},
		{uint8(protocol.ExitNone), 0}, {uint8(protocol.ExitDone), 1}, {uint8(protocol.ExitStopped), 2}, {uint8(protocol.ExitError), 3},
		{uint8(protocol.ExitNoCapacity), 4}, {uint8(protocol.ExitAlreadyRunning), 5}, {uint8(protocol.ExitUnknownTask), 6}, {uint8(protocol.ExitGangFailed), 7},
	} {
		if number.got != number.want {
			t.Errorf("value %d on the wire, want %d", number.got, number.want)
		}
	}
}
