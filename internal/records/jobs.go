package records

import (
	"encoding/json"
	"errors"

	"brasskeel/internal/protocol"
)

// Job is the record of an accepted job.
type Job struct {
	SubmittedAt int64         `json:"at"`    // Unix milliseconds
	BlockSize   int           `json:"chunk"` // tasks per block; never changes for a job
	Spec        *protocol.Job `json:"spec"`  // as submitted by the user
}

// Outcome is the record of a job's final state.
type Outcome struct {
	State string `json:"state"`
	Done  int    `json:"done,omitempty"` // number of completed tasks, for display only
}

const (
	outcomeDone      = "done"
	outcomeCancelled = "cancelled"
)

// ErrUnknownOutcome is returned for a record whose outcome this version doesn't know.
var ErrUnknownOutcome = errors.New("records: unknown outcome")

// EncodeOutcome returns the record of a final state.
func EncodeOutcome(s protocol.JobState, done int) json.RawMessage {
	state := outcomeDone
	if s == protocol.Cancelled {
		state = outcomeCancelled
	}
	return Encode(Outcome{State: state, Done: done})
}

// DecodeOutcome decodes a final state and the number of completed tasks. The error is
// ErrUnknownOutcome or comes from the JSON decoder.
func DecodeOutcome(raw json.RawMessage) (s protocol.JobState, done int, err error) {
	var o Outcome
	if err := protocol.Decode(raw, &o); err != nil {
		return 0, 0, err
	}
	switch o.State {
	case outcomeDone:
		return protocol.Done, o.Done, nil
	case outcomeCancelled:
		return protocol.Cancelled, o.Done, nil
	}
	return 0, 0, ErrUnknownOutcome
}
