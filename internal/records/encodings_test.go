package records

import (
	"testing"
	"time"

	"brasskeel/internal/golden"
	"brasskeel/internal/protocol"
)

// Each record is encoded as earlier versions encoded it, both with all of its fields and with
// as few as possible.
func TestRecordEncodings(t *testing.T) {
	sharded := true
	golden.Check(t, []golden.Case{
		{File: "leader_full.json", Value: &Leader{Controller: "n1", Zone: "a", Term: 41, Incarnation: 1<<64 - 1}},
		{File: "leader_least.json", Value: &Leader{}},
		{File: "term.json", Value: &Term{Term: 41}},
		{File: "preferred_zone.json", Value: &PreferredZone{Zone: "b"}},
		{File: "sharded.json", Value: &sharded},
		{File: "job_full.json", Value: &Job{SubmittedAt: 1790000000123, BlockSize: 96, Spec: &protocol.Job{ID: "run-000001", Class: "c", Team: "red",
			Kind: protocol.Gang, Priority: protocol.Urgent, Tasks: 9, CPUs: 1.5, GPUs: 0.25, MemoryGB: 3, Image: "i<é>\n", ImageGB: 1e-7,
			MachineTypes: []string{"small", "large"}, Zone: "a", OneZone: true, Spread: true, AllowSpot: true, EstimatedRuntime: 1500 * time.Millisecond,
			CheckpointInterval: time.Second, CheckpointDuration: time.Minute, Deadline: -time.Nanosecond, HasDeadline: true}}},
		{File: "job_least.json", Value: &Job{Spec: &protocol.Job{}}},
		{File: "outcome_done.json", Value: &Outcome{State: outcomeDone, Done: 4}},
		{File: "outcome_cancelled.json", Value: &Outcome{State: outcomeCancelled}},
		{File: "task_block_full.json", Value: &TaskBlock{Done: "iQI", Tasks: []TaskEntry{{Offset: 3, Attempt: 1<<64 - 1, Machine: "vm-1"}, {Offset: 4, Attempt: 2}},
			Migrated: "AQ", Surge: 6}},
		{File: "task_block_least.json", Value: &TaskBlock{}},
		{File: "machine_group_full.json", Value: &MachineGroup{Type: "small", Zone: "a", Spot: true,
			Machines: []MachineEntry{{Name: "vm-1", ProvisionedAt: 1790000000123, Addr: "10.0.0.1:1"}, {Name: "vm-2"}}, LegacyProvisionedAt: 5}},
		{File: "machine_group_least.json", Value: &MachineGroup{}},
		{File: "machine_types_full.json", Value: &[]protocol.MachineType{{Name: "small", CPUs: 16, GPUs: 0.5, MemoryGB: 64, CacheGB: 200, FetchGBPerSecond: 1.25,
			PricePerHour: 3, SpotPricePerHour: 1, BootTime: 45 * time.Second, Zones: []string{"a", "b"}}}},
		{File: "machine_types_least.json", Value: &[]protocol.MachineType{{}}},
		{File: "surges_full.json", Value: &Surges{"blue": {Number: 3, UsualCPUs: 12.5}, "red": {Number: 1<<64 - 1, UsualCPUs: 1}}},
		{File: "surges_least.json", Value: &Surges{}},
	})
}

// Records in encodings that are no longer written are still decoded.
func TestLegacyRecordEncodings(t *testing.T) {
	golden.CheckDecode(t, []golden.Case{
		{File: "machine_old.json", Value: &MachineGroup{Type: "small", Zone: "a", Spot: true, LegacyProvisionedAt: 1790000000123}},
		{File: "task_block_unknown_field.json", Value: &TaskBlock{Done: "iQI"}},
	})
}

// Records are stored under the keys that earlier versions use.
func TestKeys(t *testing.T) {
	for _, key := range []struct{ got, want string }{
		{KeyLeader, "e/leader"}, {KeyTerm, "e/term"}, {KeyPreferredZone, "e/prefer"}, {KeySharded, "e/sharded"},
		{KeyActive("run-1"), "b/q/run-1"}, {KeyOutcome("run-1"), "b/f/run-1"}, {KeyTaskBlock("run-1", 17), "c/run-1/00017"},
		{KeyMachineGroup(0, 4, 9), "m/t4-9"}, {KeyMachineGroup(12, 4, 9), "m/s0012/t4-9"}, {KeyMachineTypes, "t/types"}, {KeySurges, "u/surges"},
		{KeyOwner(12), "s/o/0012"}, {KeyMember("n1"), "s/m/n1"},
		{PrefixElection, "e/"}, {PrefixJobs, "b/"}, {PrefixActive, "b/q/"}, {PrefixOutcome, "b/f/"}, {PrefixTaskBlocks, "c/"},
		{PrefixMachineGroups, "m/"}, {PrefixSurges, "u/"}, {PrefixShards, "s/"}, {PrefixOwners, "s/o/"}, {PrefixMembers, "s/m/"},
	} {
		if key.got != key.want {
			t.Errorf("key %q, want %q", key.got, key.want)
		}
	}
}
