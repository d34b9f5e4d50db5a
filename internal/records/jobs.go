package records

import (
	"encoding/json"
	"errors"

	"brasskeel/internal/protocol"
)

// Job is the record of an accepted job.
type Job struct {
	SubmittedAt int64         `json:"at"`    // Unix milliseconds
	BlockSize   int           `json:"chunk"` // tasks per block, for good
	Spec        *protocol.Job `json:"spec"`  // as its user described it
}

// Outcome is the record of a job's final state.
type Outcome struct {
	State string `json:"state"`
	Done  int    `json:"done,omitempty"` // tasks, for display
}

const (
	outcomeDone      = "done"
	outcomeCancelled = "cancelled"
)

// ErrUnknownOutcome is the error for a record of an outcome that this version doesn't know.
var ErrUnknownOutcome = errors.New("records: unknown outcome")

// EncodeOutcome makes the record of a final state.
func EncodeOutcome(s protocol.JobState, done int) json.RawMessage {
	state := outcomeDone
	if s == protocol.Cancelled {
		state = outcomeCancelled
	}
	return Encode(Outcome{State: state, Done: done})
}

// DecodeOutcome reads a final state and the number of tasks done. It returns
// ErrUnknownOutcome, or an error of the JSON library's.
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
