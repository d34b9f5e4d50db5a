package main

import (
	"strings"
	"testing"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// TestBalanceReport checks the report of machine loads that is computed from records: the share
// of a machine that each team takes, surges, and errors for records that can't be read.
func TestBalanceReport(t *testing.T) {
	f := newFleetReport()
	job := func(id, team string, tasks int, cpus float64) records.Job {
		return records.Job{BlockSize: 96, Spec: &protocol.Job{ID: id, Team: team, Tasks: tasks, CPUs: cpus, MemoryGB: 1}}
	}
	done := records.TaskBlock{Tasks: []records.TaskEntry{{Offset: 1, Attempt: 1, Machine: "vm-1"}, {Offset: 2, Attempt: 2, Machine: "vm-2"}, {Offset: 3, Attempt: 1}}}
	done.SetDone([]bool{true, false, false, false})
	done.SetMigrated(1764680000000, []bool{true, false, true, false})
	for _, it := range []struct {
		add   func(protocol.KeyValue) error
		key   string
		value any
		bad   bool
	}{
		{f.addTypes, records.KeyMachineTypes, []protocol.MachineType{{Name: "small", CPUs: 4, MemoryGB: 16}}, false},
		{f.addSurges, records.KeySurges, records.Surges{"red": {Number: 1764680000000, UsualCPUs: 2}}, false},
		{f.addJob, records.KeyActive("run-1"), job("run-1", "red", 4, 2), false},
		{f.addJob, records.KeyActive("run-2"), job("run-2", "blue", 1, 1), false},
		{f.addMachineGroup, records.KeyMachineGroup(0, 1, 1), records.MachineGroup{Type: "small", Zone: "a", Machines: []records.MachineEntry{{Name: "vm-1"}, {Name: "vm-2"}}}, false},
		{f.addTaskBlock, records.KeyTaskBlock("run-1", 0), done, false},
		{f.addTaskBlock, records.KeyTaskBlock("run-2", 0), records.TaskBlock{Tasks: []records.TaskEntry{{Attempt: 1, Machine: "vm-2"}}}, false},
		{f.addTaskBlock, records.KeyTaskBlock("run-9", 0), records.TaskBlock{}, false}, // its job has just ended
		{f.addTaskBlock, "c/odd", records.TaskBlock{}, true},
		{f.addMachineGroup, "m/odd", "no record", true},
	} {
		if err := it.add(protocol.KeyValue{Key: it.key, Value: records.Encode(it.value)}); (err != nil) != it.bad {
			t.Errorf("%s: got error %v", it.key, err)
		}
	}
	f.computeShares()
	var out strings.Builder
	if err := f.show(&out, 1); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"2 machines: mean 62%", "hottest 75%", "red", "2025-12-02", "2           6            2", "vm-2", "red 50%, blue 25%"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the report lacks %q:\n%s", want, out.String())
		}
	}
	if strings.Contains(out.String(), "vm-1") {
		t.Errorf("the report lists more machines than requested:\n%s", out.String())
	}
}
