package protocol

import (
	"bytes"
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// This file holds the codec of the other side of each interface: what workers, the cloud, the
// state service and users send and read. The simulator and tests use it.

func wireName[T comparable](names map[string]T, v T) string {
	best := ""
	for name, x := range names {
		if x == v && (best == "" || name < best) {
			best = name
		}
	}
	return best
}

// EncodeJob makes the body of a submission.
func EncodeJob(j *Job) []byte {
	kind, priority := wireName(kindNames, j.Kind), wireName(priorityNames, j.Priority)
	tasks := int64(j.Tasks)
	sec := func(d time.Duration) *float64 { s := d.Seconds(); return &s }
	w := wireJob{ID: &j.ID, Class: &j.Class, Team: &j.Team, Kind: &kind, Priority: &priority, Tasks: &tasks,
		CPUs: &j.CPUs, GPUs: &j.GPUs, MemoryGB: &j.MemoryGB, Image: &j.Image, ImageGB: &j.ImageGB, MachineTypes: j.MachineTypes,
		OneZone: &j.OneZone, Spread: &j.Spread, AllowSpot: &j.AllowSpot,
		EstimatedRuntime: sec(j.EstimatedRuntime), CheckpointInterval: sec(j.CheckpointInterval), CheckpointDuration: sec(j.CheckpointDuration)}
	if j.Zone != "" {
		w.Zone = &j.Zone
	}
	if j.HasDeadline {
		w.Deadline = sec(j.Deadline)
	}
	return Encode(w)
}

// Encode marshals a value that can't fail to be one.
func Encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// JobStatus is what a user is told of a job.
type JobStatus struct {
	ID            string
	State         JobState
	Done, Running int // tasks; 0 in the answer to a submission, which doesn't tell
}

// ParseJobStatus reads what a user is told of a job.
func ParseJobStatus(body []byte) (JobStatus, error) {
	var w struct {
		ID      string `json:"nameId"`
		State   string `json:"bearing"`
		Done    int    `json:"done"`
		Running int    `json:"running"`
	}
	if err := json.Unmarshal(body, &w); err != nil {
		return JobStatus{}, err
	}
	status := JobStatus{ID: w.ID, Done: w.Done, Running: w.Running}
	for i, name := range jobStateNames {
		if name != "" && name == w.State {
			status.State = JobState(i)
		}
	}
	if status.State == 0 {
		return JobStatus{}, responseError("bearing", "is missing or unknown")
	}
	return status, nil
}

// String is the state as users read it.
func (s JobState) String() string { return jobStateNames[s] }

// EncodeHeartbeat makes a worker's report.
func EncodeHeartbeat(r *Heartbeat) []byte {
	w := wireHeartbeat{Machine: r.Machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot,
		Incarnation: &r.Incarnation, Sequence: &r.Sequence, FencingToken: r.FencingToken, Tasks: []wireTask{}}
	if r.HasPreemptionNotice {
		s := r.PreemptionNotice.Seconds()
		w.PreemptionNotice = &s
	}
	for _, t := range r.Tasks {
		wt := wireTask{Task: t.Job + "/" + strconv.Itoa(t.TaskIndex), Attempt: t.Attempt, State: wireName(taskStateNames, t.State), Checkpointed: t.Checkpointed}
		if t.Reason != ExitNone {
			wt.Reason = wireName(exitReasonNames, t.Reason)
		}
		w.Tasks = append(w.Tasks, wt)
	}
	return Encode(w)
}

// ParseOrders reads the orders a worker is given; a token or session that is
// not there comes back as nil.
func ParseOrders(body []byte) (token, session *uint64, orders []Order, err error) {
	var w struct {
		Token   *uint64 `json:"helm"`
		Session *uint64 `json:"watch"`
		Orders  []struct {
			Kind    string  `json:"orderKind"`
			Task    string  `json:"oar"`
			Attempt uint64  `json:"launch"`
			Grace   float64 `json:"slackS"`
		} `json:"orders"`
	}
	if err = json.Unmarshal(body, &w); err != nil {
		return nil, nil, nil, err
	}
	for _, o := range w.Orders {
		job, index, ok := splitTask(o.Task)
		kind := map[string]OrderKind{"run": Start, "stop": Stop, "clear": Forget}[o.Kind]
		if !ok || kind == 0 {
			return nil, nil, nil, responseError("orders", "holds something that is not an order")
		}
		orders = append(orders, Order{Kind: kind, Job: job, TaskIndex: index, Attempt: o.Attempt, Grace: Seconds(o.Grace)})
	}
	return w.Token, w.Session, orders, nil
}

// ParseRedirect reads whom a 421 names.
func ParseRedirect(body []byte) string {
	var w struct {
		Leader string `json:"flagship"`
	}
	if json.Unmarshal(body, &w) != nil {
		return ""
	}
	return w.Leader
}

// EncodeMachineTypes makes the cloud's list of machine types.
func EncodeMachineTypes(types []MachineType) []byte {
	list := []wireMachineType{}
	for _, t := range types {
		list = append(list, wireMachineType{t.Name, t.CPUs, t.GPUs, t.MemoryGB, t.CacheGB, t.FetchGBPerSecond, t.PricePerHour, t.SpotPricePerHour, t.BootTime.Seconds(), t.Zones})
	}
	return Encode(map[string]any{"hullForms": list})
}

// ProvisionRequest is what a rental asks for.
type ProvisionRequest struct {
	Request string `json:"charter"`
	Type    string `json:"hullForm"`
	Zone    string `json:"harbour"`
	Spot    bool   `json:"driftwood"`
	Count   int    `json:"howMany"`
}

// ParseProvision reads a rental request.
func ParseProvision(body []byte) (r ProvisionRequest, err error) {
	err = json.Unmarshal(body, &r)
	return r, err
}

// EncodeMachineNames makes the answer to a rental.
func EncodeMachineNames(names []string) []byte { return Encode(map[string]any{"decks": names}) }

// EncodeMachines makes one page of the cloud's list.
func EncodeMachines(list []ListedMachine, more bool) []byte {
	out := []wireMachine{}
	for _, m := range list {
		out = append(out, wireMachine{m.Name, m.Addr, m.Type, m.Zone, m.Spot,
			[...]string{Booting: "starting", Up: "running", Failed: "failed"}[m.State], m.Age.Seconds()})
	}
	return Encode(map[string]any{"decks": out, "more": more})
}

// EncodeCloudError makes the body of a refusal of the cloud.
func EncodeCloudError(reason string) []byte { return Encode(map[string]string{"error": reason}) }

// ParseQuery reads a target's path and parameters.
func ParseQuery(target string) (path string, values url.Values) {
	path, raw, _ := strings.Cut(target, "?")
	values, err := url.ParseQuery(raw)
	if err != nil {
		values = url.Values{}
	}
	return path, values
}

// ParseRangeQuery reads the parameters of a read or watch of keys.
func ParseRangeQuery(v url.Values) (prefix, after string, limit int, wait time.Duration) {
	limit, _ = strconv.Atoi(v.Get("limit"))
	ms, _ := strconv.ParseInt(v.Get("blockMs"), 10, 64)
	return v.Get("starts"), v.Get("after"), limit, time.Duration(ms) * time.Millisecond
}

// ParseTxn reads a transaction.
func ParseTxn(body []byte) (*Txn, error) {
	var t Txn
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(&t); err != nil {
		return nil, err
	}
	return &t, nil
}

// EncodeKeyValue makes the answer to a read of one key.
func EncodeKeyValue(it KeyValue) []byte {
	return Encode(wireKeyValue(it))
}

// EncodeRange makes the answer to a read of keys.
func EncodeRange(items []KeyValue, more bool, revision uint64) []byte {
	list := []wireKeyValue{}
	for _, it := range items {
		list = append(list, wireKeyValue(it))
	}
	return Encode(map[string]any{"entries": list, "more": more, "logbook": revision})
}

// EncodeRevision makes the answer to an applied transaction, and the body of a
// key that isn't there.
func EncodeRevision(revision uint64) []byte { return Encode(map[string]uint64{"logbook": revision}) }

// EncodeFailedConditions makes the answer to a transaction whose conditions don't hold.
func EncodeFailedConditions(keys []string, revision uint64) []byte {
	return Encode(map[string]any{"failed": keys, "logbook": revision})
}

// EncodeLease makes the answer to a new lease.
func EncodeLease(lease uint64) []byte { return Encode(map[string]uint64{"warrant": lease}) }

// ParseLeaseRequest reads the lifetime asked for a lease.
func ParseLeaseRequest(body []byte) (time.Duration, error) {
	var w struct {
		TTL int64 `json:"ttlMs"`
	}
	err := json.Unmarshal(body, &w)
	return time.Duration(w.TTL) * time.Millisecond, err
}

// EncodeEvents makes the answer to a watch.
func EncodeEvents(events []Event, revision uint64) []byte {
	type wire struct {
		Put     string          `json:"write,omitempty"`
		Delete  string          `json:"remove,omitempty"`
		Value   json.RawMessage `json:"data,omitempty"`
		Version uint64          `json:"entry"`
	}
	list := []wire{}
	for _, e := range events {
		if e.Deleted {
			list = append(list, wire{Delete: e.Key, Version: e.Version})
		} else {
			list = append(list, wire{Put: e.Key, Value: e.Value, Version: e.Version})
		}
	}
	return Encode(map[string]any{"news": list, "logbook": revision})
}
