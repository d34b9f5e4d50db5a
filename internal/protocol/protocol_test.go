package protocol

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

const validSubmission = `{"nameId":"run-000412","berth":"train","crew":"vision","rig":"batch","precedence":"urgent","oars":16,
 "cpus":8.0,"gpus":1.0,"memGb":64.0,"hull":"img-07","pullGb":6.2,"hullForms":["g8"],"harbour":null,"oneZone":true,
 "apart":false,"driftwood":true,"passageS":240.0,"mooringS":30.0,"stowS":4.0,"tideS":900.0,"extra":[1]}`

func TestParseJob(t *testing.T) {
	j, err := ParseJob([]byte(validSubmission))
	if err != nil {
		t.Fatal(err)
	}
	want := &Job{ID: "run-000412", Class: "train", Team: "vision", Kind: Batch, Priority: Urgent, Tasks: 16, CPUs: 8,
		GPUs: 1, MemoryGB: 64, Image: "img-07", ImageGB: 6.2, MachineTypes: []string{"g8"}, OneZone: true, AllowSpot: true,
		EstimatedRuntime: 4 * time.Minute, CheckpointInterval: 30 * time.Second, CheckpointDuration: 4 * time.Second, Deadline: 15 * time.Minute, HasDeadline: true}
	if !reflect.DeepEqual(j, want) {
		t.Errorf("got %+v, want %+v", j, want)
	}
	if again, err := ParseJob(EncodeJob(j)); err != nil || !reflect.DeepEqual(again, j) {
		t.Errorf("round trip: got %+v, %v", again, err)
	}
	for _, c := range []struct{ from, to string }{
		{`"nameId":"run-000412"`, `"nameId":"job-000412"`},
		{`"nameId":"run-000412"`, `"nameId":"run-12"`},
		{`"nameId":"run-000412"`, `"nameId":7`},
		{`"rig":"batch"`, `"rig":"cron"`},
		{`"precedence":"urgent"`, `"precedence":null`},
		{`"oars":16`, `"oars":0`},
		{`"oars":16`, `"oars":100001`},
		{`"oars":16`, `"oars":1.5`},
		{`"cpus":8.0`, `"cpus":-1`},
		{`"cpus":8.0`, `"cpus":1e999`},
		{`"cpus":8.0,`, ``},
		{`"oneZone":true`, `"oneZone":"yes"`},
		{`"hullForms":["g8"]`, `"hullForms":[]`},
		{`"hullForms":["g8"]`, `"hullForms":"g8"`},
		{`"tideS":900.0`, `"tideS":-1`},
	} {
		if _, err := ParseJob([]byte(strings.Replace(validSubmission, c.from, c.to, 1))); err == nil {
			t.Errorf("a job with %s is accepted", c.to)
		}
	}
	if j, err := ParseJob([]byte(strings.Replace(validSubmission, `"tideS":900.0,`, ``, 1))); err != nil || j.HasDeadline {
		t.Errorf("a job without a deadline: got %+v, %v", j, err)
	}
}

func TestParseTarget(t *testing.T) {
	for _, c := range []struct {
		target string
		route  Route
		id     string
	}{
		{"/v2/runs", RouteJobs, ""}, {"/v2/runs/run-000001", RouteJob, "run-000001"},
		{"/v2/runs/run-000001/cancel", RouteCancel, "run-000001"}, {"/v2/runs/", RouteNone, ""},
		{"/v2/runs/a/b", RouteNone, ""}, {"/up?x=1", RouteHealth, ""}, {"/v1/report", RouteHeartbeat, ""}, {"/", RouteNone, ""},
	} {
		if route, id := ParseTarget(c.target); route != c.route || id != c.id {
			t.Errorf("%s: got route %d and id %q, want %d and %q", c.target, route, id, c.route, c.id)
		}
	}
}

func TestHeartbeatRoundTrip(t *testing.T) {
	r := &Heartbeat{Machine: "vm-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Incarnation: 1, Sequence: 88, FencingToken: 41,
		HasPreemptionNotice: true, PreemptionNotice: 12 * time.Second, Tasks: []TaskStatus{
			{Job: "run-000412", TaskIndex: 3, Attempt: 2, State: Running},
			{Job: "run-000398", TaskIndex: 0, Attempt: 1, State: Exited, Reason: ExitStopped, Checkpointed: true}}}
	got, err := ParseHeartbeat(EncodeHeartbeat(r))
	if err != nil || !reflect.DeepEqual(got, r) {
		t.Errorf("round trip: got %+v, %v, want %+v", got, err, r)
	}
	for _, bad := range []string{`{}`, `[]`, `{"deck":"m","watch":0,"logSeq":1}`,
		`{"deck":"m","watch":1,"logSeq":1,"oars":[{"oar":"run-000001","launch":1,"bearing":"running"}]}`,
		`{"deck":"m","watch":1,"logSeq":1,"oars":[{"oar":"run-000001/0","launch":1,"bearing":"flying"}]}`} {
		if _, err := ParseHeartbeat([]byte(bad)); err == nil {
			t.Errorf("heartbeat %s is accepted", bad)
		}
	}
}

func TestOrdersRoundTrip(t *testing.T) {
	orders := []Order{{Kind: Start, Job: "run-000001", TaskIndex: 4, Attempt: 2},
		{Kind: Stop, Job: "run-000002", TaskIndex: 1, Attempt: 1, Grace: 10 * time.Second},
		{Kind: Forget, Job: "run-000003", TaskIndex: 0, Attempt: 9}}
	token, incarnation, got, err := ParseOrders(EncodeDirectOrders(7<<16|3, 2, orders))
	if err != nil || *token != 7<<16|3 || *incarnation != 2 || !reflect.DeepEqual(got, orders) {
		t.Errorf("round trip: got token %v, incarnation %v, orders %+v, error %v; want token %d, incarnation 2, orders %+v", token, incarnation, got, err, 7<<16|3, orders)
	}
	if token, incarnation, _, err = ParseOrders(EncodeHeartbeatResponse(5, nil)); err != nil || *token != 5 || incarnation != nil {
		t.Errorf("a heartbeat response without orders: %v", err)
	}
}

// FuzzParseHeartbeat checks that a heartbeat that was accepted survives encoding and parsing
// again.
func FuzzParseHeartbeat(f *testing.F) {
	f.Add([]byte(`{"deck":"vm-1","endpoint":"x","watch":1,"logSeq":8,"helm":4,"recallS":3.5,"oars":[{"oar":"run-000412/3","launch":2,"bearing":"exited","wreckCause":"done"}]}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		r, err := ParseHeartbeat(in)
		if err != nil {
			return
		}
		again, err := ParseHeartbeat(EncodeHeartbeat(r))
		if err != nil || again.Machine != r.Machine || len(again.Tasks) != len(r.Tasks) || again.Sequence != r.Sequence {
			t.Fatalf("round trip: got %+v, %v", again, err)
		}
	})
}
