package protocol

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// MaxTasks is the largest number of tasks a job may have.
const MaxTasks = 100_000

// Limits of names, lists, durations and amounts in messages. Names are stored in records of
// limited size, and durations must not overflow time.Duration.
const (
	maxNameBytes    = 200
	maxMachineTypes = 64
	maxSeconds      = 1e9
	maxAmount       = 1e9
)

const jobIDPrefix = "run-"

// ValidJobID reports whether id has the form of a job ID: jobIDPrefix and 6 to 18 digits.
func ValidJobID(id string) bool {
	if !strings.HasPrefix(id, jobIDPrefix) {
		return false
	}
	digits := id[len(jobIDPrefix):]
	if len(digits) < 6 || len(digits) > 18 {
		return false
	}
	for i := 0; i < len(digits); i++ {
		if digits[i] < '0' || digits[i] > '9' {
			return false
		}
	}
	return true
}

// Paths of the controllers' API for users and workers.
const (
	PathJobs      = "/v2/runs"
	PathHealth    = "/up"
	PathHeartbeat = "/v1/report"
)

// Route is the operation that a request target addresses.
type Route uint8

// Routes of the controllers' API.
const (
	RouteNone Route = iota
	RouteJobs
	RouteJob
	RouteCancel
	RouteHealth
	RouteHeartbeat
)

// ParseTarget returns the route of a request target and the job ID in it.
func ParseTarget(target string) (Route, string) {
	if i := strings.IndexByte(target, '?'); i >= 0 {
		target = target[:i]
	}
	switch target {
	case PathJobs:
		return RouteJobs, ""
	case PathHealth:
		return RouteHealth, ""
	case PathHeartbeat:
		return RouteHeartbeat, ""
	}
	rest, ok := strings.CutPrefix(target, PathJobs+"/")
	if !ok || rest == "" {
		return RouteNone, ""
	}
	if id, ok := strings.CutSuffix(rest, "/cancel"); ok {
		return RouteCancel, id
	}
	if strings.IndexByte(rest, '/') >= 0 {
		return RouteNone, ""
	}
	return RouteJob, rest
}

// Names of kinds, priorities and states of jobs on the wire. They are fixed by the user API.
var kindNames = map[string]Kind{"batch": Batch, "daemon": Service, "gang": Gang}

var priorityNames = map[string]Priority{"critical": Critical, "urgent": Urgent, "standard": Standard, "low": Low}

var jobStateNames = [...]string{Queued: "queued", JobRunning: "running", Done: "done", Cancelled: "aborted"}

// wireJob is a job submission. The user API fixes the names of its fields; ParseJob translates them
// to those of Job.
type wireJob struct {
	ID                 *string  `json:"nameId"`
	Class              *string  `json:"berth"`
	Team               *string  `json:"crew"`
	Kind               *string  `json:"rig"`
	Priority           *string  `json:"precedence"`
	Tasks              *int64   `json:"oars"`
	CPUs               *float64 `json:"cpus"`
	GPUs               *float64 `json:"gpus"`
	MemoryGB           *float64 `json:"memGb"`
	Image              *string  `json:"hull"`
	ImageGB            *float64 `json:"pullGb"`
	MachineTypes       []string `json:"hullForms"`
	Zone               *string  `json:"harbour"`
	OneZone            *bool    `json:"oneZone"`
	Spread             *bool    `json:"apart"`
	AllowSpot          *bool    `json:"driftwood"`
	EstimatedRuntime   *float64 `json:"passageS"`
	CheckpointInterval *float64 `json:"mooringS"`
	CheckpointDuration *float64 `json:"stowS"`
	Deadline           *float64 `json:"tideS"`
}

// ParseJob parses a job submission. The error is ErrNotObject, a *FieldError that names the
// first invalid field, or wraps the error of encoding/json. Its text is sent to the user.
func ParseJob(body []byte) (*Job, error) {
	body = bytes.TrimSpace(body)
	if len(body) == 0 || body[0] != '{' {
		return nil, ErrNotObject
	}
	var w wireJob
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, fmt.Errorf("bad JSON: %w", err)
	}
	j := &Job{}
	for _, read := range [...]func(*wireJob, *Job) error{(*wireJob).readNames, (*wireJob).readKind, (*wireJob).readSize,
		(*wireJob).readDurations, (*wireJob).readFlags, (*wireJob).readMachineTypes, (*wireJob).readZone, (*wireJob).readDeadline} {
		if err := read(&w, j); err != nil {
			return nil, err
		}
	}
	return j, nil
}

func (w *wireJob) readNames(j *Job) error {
	for _, f := range [...]struct {
		name string
		from *string
		to   *string
	}{{"nameId", w.ID, &j.ID}, {"berth", w.Class, &j.Class}, {"crew", w.Team, &j.Team}, {"hull", w.Image, &j.Image}} {
		if f.from == nil || !validName(*f.from) {
			return submissionError(f.name, "is missing or not a name")
		}
		*f.to = *f.from
	}
	if !ValidJobID(j.ID) {
		return submissionError("nameId", "is not of the form "+jobIDPrefix+"000000")
	}
	return nil
}

func (w *wireJob) readKind(j *Job) error {
	if w.Kind == nil || kindNames[*w.Kind] == 0 {
		return submissionError("rig", "is missing or unknown")
	}
	j.Kind = kindNames[*w.Kind]
	if w.Priority == nil || priorityNames[*w.Priority] == 0 {
		return submissionError("precedence", "is missing or unknown")
	}
	j.Priority = priorityNames[*w.Priority]
	return nil
}

func (w *wireJob) readSize(j *Job) error {
	if w.Tasks == nil || *w.Tasks < 1 || *w.Tasks > MaxTasks {
		return submissionError("oars", fmt.Sprintf("is missing or not within 1 to %d", MaxTasks))
	}
	j.Tasks = int(*w.Tasks)
	for _, f := range [...]struct {
		name string
		from *float64
		to   *float64
	}{{"cpus", w.CPUs, &j.CPUs}, {"gpus", w.GPUs, &j.GPUs}, {"memGb", w.MemoryGB, &j.MemoryGB}, {"pullGb", w.ImageGB, &j.ImageGB}} {
		if f.from == nil || !validAmount(*f.from) {
			return submissionError(f.name, "is missing or not an amount")
		}
		*f.to = *f.from
	}
	return nil
}

func (w *wireJob) readDurations(j *Job) error {
	for _, f := range [...]struct {
		name string
		from *float64
		to   *time.Duration
	}{{"passageS", w.EstimatedRuntime, &j.EstimatedRuntime}, {"mooringS", w.CheckpointInterval, &j.CheckpointInterval},
		{"stowS", w.CheckpointDuration, &j.CheckpointDuration}} {
		if f.from == nil || !validAmount(*f.from) {
			return submissionError(f.name, "is missing or not a duration")
		}
		*f.to = Seconds(*f.from)
	}
	return nil
}

func (w *wireJob) readFlags(j *Job) error {
	for _, f := range [...]struct {
		name string
		from *bool
		to   *bool
	}{{"oneZone", w.OneZone, &j.OneZone}, {"apart", w.Spread, &j.Spread}, {"driftwood", w.AllowSpot, &j.AllowSpot}} {
		if f.from == nil {
			return submissionError(f.name, reasonMissing)
		}
		*f.to = *f.from
	}
	return nil
}

func (w *wireJob) readMachineTypes(j *Job) error {
	if w.MachineTypes == nil {
		return nil // any type is allowed
	}
	if len(w.MachineTypes) == 0 || len(w.MachineTypes) > maxMachineTypes {
		return submissionError("hullForms", "names no type or too many")
	}
	for _, t := range w.MachineTypes {
		if !validName(t) {
			return submissionError("hullForms", "holds something that is not a name")
		}
	}
	j.MachineTypes = w.MachineTypes
	return nil
}

func (w *wireJob) readZone(j *Job) error {
	if w.Zone == nil {
		return nil // any zone is allowed
	}
	if !validName(*w.Zone) {
		return submissionError("harbour", "is not a name")
	}
	j.Zone = *w.Zone
	return nil
}

func (w *wireJob) readDeadline(j *Job) error {
	if w.Deadline == nil {
		return nil
	}
	if !validAmount(*w.Deadline) {
		return submissionError("tideS", "is not a duration")
	}
	j.Deadline, j.HasDeadline = Seconds(*w.Deadline), true
	return nil
}

// validName reports whether a name is not empty and short enough for a record, whose size is
// limited.
func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// validAmount reports whether an amount or a number of seconds is a number from 0 to maxAmount.
func validAmount(v float64) bool { return v >= 0 && v <= maxAmount && !math.IsNaN(v) }

// Seconds converts decimal seconds, as used on the wire, to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// EncodeJobState encodes the response to a submission or a cancellation.
func EncodeJobState(id string, state JobState) []byte {
	return []byte(`{"nameId":` + strconv.Quote(id) + `,"bearing":"` + jobStateNames[state] + `"}`)
}

// EncodeJobStatus encodes the response to a status query.
func EncodeJobStatus(id string, state JobState, done, running int) []byte {
	b := make([]byte, 0, 96)
	b = append(b, `{"nameId":`...)
	b = strconv.AppendQuote(b, id)
	b = append(b, `,"bearing":"`...)
	b = append(b, jobStateNames[state]...)
	b = append(b, `","done":`...)
	b = strconv.AppendInt(b, int64(done), 10)
	b = append(b, `,"running":`...)
	b = strconv.AppendInt(b, int64(running), 10)
	return append(b, '}')
}

// EncodeError encodes the body of an error response.
func EncodeError(reason string) []byte {
	b, _ := json.Marshal(map[string]string{"error": reason})
	return b
}
