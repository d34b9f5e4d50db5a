package protocol

import (
	"bytes"
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// This file encodes and decodes for the other end of each connection: what users, workers, the
// cloud and the state service send and receive. The simulator and tests use it; controllers use
// only a few of its declarations, such as Encode and ProvisionRequest.

// wireName returns the wire name of a value. If the value has several names, it returns the first in
// alphabetical order.
func wireName[T comparable](names map[string]T, v T) string {
	best := ""
	for name, x := range names {
		if x == v && (best == "" || name < best) {
			best = name
		}
	}
	return best
}

// EncodeJob encodes a job submission.
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

// Encode marshals a value whose type can't cause an error; it panics on one.
func Encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// JobStatus is the status of a job in a response to its user.
type JobStatus struct {
	ID            string
	State         JobState
	Done, Running int // numbers of tasks; 0 if the response is to a submission or a cancellation, since such a response doesn't contain them
}

// ParseJobStatus parses the status of a job.
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

// String returns the state's name on the wire.
func (s JobState) String() string { return jobStateNames[s] }

// EncodeHeartbeat encodes a worker's heartbeat.
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

// ParseOrders parses the orders in a message to a worker. The fencing token or the incarnation
// is nil if the message has none.
func ParseOrders(body []byte) (token, incarnation *uint64, orders []Order, err error) {
	var w struct {
		Token       *uint64 `json:"helm"`
		Incarnation *uint64 `json:"watch"`
		Orders      []struct {
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
			return nil, nil, nil, responseError("orders", "holds an invalid order")
		}
		orders = append(orders, Order{Kind: kind, Job: job, TaskIndex: index, Attempt: o.Attempt, Grace: Seconds(o.Grace)})
	}
	return w.Token, w.Incarnation, orders, nil
}

// ParseRedirect parses the body of a 421 response: the leader's name, or none.
func ParseRedirect(body []byte) string {
	var w struct {
		Leader string `json:"flagship"`
	}
	if json.Unmarshal(body, &w) != nil {
		return ""
	}
	return w.Leader
}

// EncodeMachineTypes encodes the cloud's list of machine types.
func EncodeMachineTypes(types []MachineType) []byte {
	list := []wireMachineType{}
	for _, t := range types {
		list = append(list, wireMachineType{t.Name, t.CPUs, t.GPUs, t.MemoryGB, t.CacheGB, t.FetchGBPerSecond, t.PricePerHour, t.SpotPricePerHour, t.BootTime.Seconds(), t.Zones})
	}
	return Encode(map[string]any{"hullForms": list})
}

// ProvisionRequest is a request to the cloud to provision machines.
type ProvisionRequest struct {
	Request string `json:"charter"`
	Type    string `json:"hullForm"`
	Zone    string `json:"harbour"`
	Spot    bool   `json:"driftwood"`
	Count   int    `json:"howMany"`
}

// ParseProvision parses a request to provision machines.
func ParseProvision(body []byte) (r ProvisionRequest, err error) {
	err = json.Unmarshal(body, &r)
	return r, err
}

// EncodeMachineNames encodes a list of machine names: the response to a request to provision machines,
// or a request to terminate machines.
func EncodeMachineNames(names []string) []byte { return Encode(map[string]any{"decks": names}) }

// EncodeMachines encodes one page of the cloud's machine list.
func EncodeMachines(list []ListedMachine, more bool) []byte {
	out := []wireMachine{}
	for _, m := range list {
		out = append(out, wireMachine{m.Name, m.Addr, m.Type, m.Zone, m.Spot,
			[...]string{Booting: "starting", Up: "running", Failed: "failed"}[m.State], m.Age.Seconds()})
	}
	return Encode(map[string]any{"decks": out, "more": more})
}

// EncodeCloudError encodes the body of an error response of the cloud.
func EncodeCloudError(reason string) []byte { return Encode(map[string]string{"error": reason}) }

// ParseQuery splits a request target into its path and query parameters.
func ParseQuery(target string) (path string, values url.Values) {
	path, raw, _ := strings.Cut(target, "?")
	values, err := url.ParseQuery(raw)
	if err != nil {
		values = url.Values{}
	}
	return path, values
}

// ParseRangeQuery returns the parameters of a range read or a watch.
func ParseRangeQuery(v url.Values) (prefix, after string, limit int, wait time.Duration) {
	limit, _ = strconv.Atoi(v.Get("limit"))
	ms, _ := strconv.ParseInt(v.Get("blockMs"), 10, 64)
	return v.Get("starts"), v.Get("after"), limit, time.Duration(ms) * time.Millisecond
}

// ParseTxn parses a transaction.
func ParseTxn(body []byte) (*Txn, error) {
	var t Txn
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(&t); err != nil {
		return nil, err
	}
	return &t, nil
}

// EncodeKeyValue encodes the response to a read of one key.
func EncodeKeyValue(kv KeyValue) []byte {
	return Encode(wireKeyValue(kv))
}

// EncodeRange encodes the response to a range read.
func EncodeRange(items []KeyValue, more bool, revision uint64) []byte {
	list := []wireKeyValue{}
	for _, kv := range items {
		list = append(list, wireKeyValue(kv))
	}
	return Encode(map[string]any{"entries": list, "more": more, "logbook": revision})
}

// EncodeRevision encodes the response to an applied transaction, and the body of the response
// to a read of a key that doesn't exist.
func EncodeRevision(revision uint64) []byte { return Encode(map[string]uint64{"logbook": revision}) }

// EncodeFailedConditions encodes the response to a transaction whose conditions don't hold.
func EncodeFailedConditions(keys []string, revision uint64) []byte {
	return Encode(map[string]any{"failed": keys, "logbook": revision})
}

// EncodeLease encodes the response to a request for a lease.
func EncodeLease(lease uint64) []byte { return Encode(map[string]uint64{"warrant": lease}) }

// ParseLeaseRequest parses the time to live of a requested lease.
func ParseLeaseRequest(body []byte) (time.Duration, error) {
	var w struct {
		TTL int64 `json:"ttlMs"`
	}
	err := json.Unmarshal(body, &w)
	return time.Duration(w.TTL) * time.Millisecond, err
}

// EncodeEvents encodes the response to a watch.
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
