package records

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"brasskeel/internal/protocol"
)

// A full block of live tasks fits into a value of the state service, even with long machine
// names and high attempt numbers.
func TestTaskBlockFitsValue(t *testing.T) {
	for _, valueBytes := range []int{1 << 10, 4 << 10, 8 << 10, 64 << 10} {
		size := TasksPerBlock(valueBytes)
		block := TaskBlock{}
		for i := range size {
			block.Tasks = append(block.Tasks, TaskEntry{Offset: i, Attempt: math.MaxInt32, Machine: strings.Repeat("m", 24)})
		}
		if n := len(Encode(block)); n > valueBytes {
			t.Errorf("block of %d tasks takes %d bytes, more than %d", size, n, valueBytes)
		}
	}
}

// A full group of machines with long names fits into a value of the state service.
func TestMachineGroupFitsValue(t *testing.T) {
	for _, valueBytes := range []int{1 << 10, 4 << 10, 8 << 10, 64 << 10} {
		r := MachineGroup{Type: strings.Repeat("t", 40), Zone: strings.Repeat("z", 40), Spot: true}
		for range MachinesPerGroup(valueBytes) {
			r.Machines = append(r.Machines, MachineEntry{Name: strings.Repeat("m", 24), ProvisionedAt: math.MaxInt32 * 1000, Addr: "255.255.255.255:65535"})
		}
		if n := len(Encode(r)); n > valueBytes {
			t.Errorf("group of %d machines takes %d bytes, more than %d", len(r.Machines), n, valueBytes)
		}
	}
}

// Done tasks survive the encoding as a bit set, and the key of a task block is parsed into the job
// and the block that it was made from.
func TestDoneTasks(t *testing.T) {
	done := []bool{true, false, false, true, false, false, false, false, false, true}
	var block TaskBlock
	block.SetDone(done)
	got, err := block.DoneTasks(len(done))
	if err != nil {
		t.Fatal(err)
	}
	for i := range done {
		if got[i] != done[i] {
			t.Errorf("task %d: done %t, want %t", i, got[i], done[i])
		}
	}
	if job, block, ok := ParseTaskBlockKey(KeyTaskBlock("run-000001", 17)); !ok || job != "run-000001" || block != 17 {
		t.Errorf("task block key parsed as job %s, block %d, ok %t", job, block, ok)
	}
}

// Records are decoded by a different JSON library than the one that encodes them.
func TestRecordsAreReadAsWritten(t *testing.T) {
	job := &protocol.Job{ID: "run-000001", Class: "c", Team: "red", Kind: protocol.Gang, Priority: protocol.Urgent, Tasks: 9, CPUs: 1.5, GPUs: 0.25,
		MemoryGB: 3, Image: "i\u00e9\n", ImageGB: 1e-7, MachineTypes: []string{"a", "b"}, Zone: "z", OneZone: true, Spread: true, AllowSpot: true,
		EstimatedRuntime: 1500 * time.Millisecond, CheckpointInterval: time.Second, CheckpointDuration: time.Minute, Deadline: -time.Nanosecond, HasDeadline: true}
	for _, want := range []any{
		&Job{SubmittedAt: math.MaxInt64, BlockSize: 96, Spec: job},
		&TaskBlock{Done: "iQI", Tasks: []TaskEntry{{Offset: 3, Attempt: math.MaxUint64, Machine: "vm-1"}}},
		&MachineGroup{Type: "t", Zone: "z", Spot: true, Machines: []MachineEntry{{Name: "vm-1", ProvisionedAt: 1, Addr: "10.0.0.1:1"}}},
		&Outcome{State: outcomeDone, Done: 4},
	} {
		got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
		if err := protocol.Decode(Encode(want), got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%+v is decoded as %+v, error %v", want, got, err)
		}
	}
}

// Final states survive encoding, and an unknown one is an error.
func TestOutcome(t *testing.T) {
	for _, s := range []protocol.JobState{protocol.Done, protocol.Cancelled} {
		if got, done, err := DecodeOutcome(EncodeOutcome(s, 7)); err != nil || got != s || done != 7 {
			t.Errorf("outcome %s decoded as %s, %d done tasks, error %v", s, got, done, err)
		}
	}
	if _, _, err := DecodeOutcome([]byte(`{"state":"lost"}`)); err == nil {
		t.Error("unknown outcome decoded without an error")
	}
}
