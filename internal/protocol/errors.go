package protocol

import "errors"

// Sentinel errors of rejected messages. A FieldError about a response or a heartbeat wraps the
// sentinel of that kind of message, for errors.Is.
var (
	// ErrNotObject says that a submission's body is not a JSON object.
	ErrNotObject = errors.New("the body is not a JSON object")
	// ErrInvalidResponse says that a response of a service is JSON but lacks a required field or
	// holds an invalid value.
	ErrInvalidResponse = errors.New("invalid response")
	// ErrInvalidHeartbeat says that a body is JSON but not a valid heartbeat of a worker.
	ErrInvalidHeartbeat = errors.New("not a worker's report")
)

// FieldError reports a field of a message that is missing or holds an invalid value. Callers
// find it with errors.As.
type FieldError struct {
	// Sentinel is ErrInvalidResponse or ErrInvalidHeartbeat; nil for a job submission.
	Sentinel error
	// Field is the field's name on the wire.
	Field string
	// Reason says what is wrong with the field; Field and Reason read as one sentence.
	Reason string
}

// Error implements error. For a submission the text is sent to the user: the field and the
// reason. For other messages it begins with the sentinel's text.
func (e *FieldError) Error() string {
	if e.Sentinel != nil {
		return e.Sentinel.Error() + ": " + e.Field + " " + e.Reason
	}
	return e.Field + " " + e.Reason
}

// Unwrap returns the sentinel; nil for a submission.
func (e *FieldError) Unwrap() error { return e.Sentinel }

const reasonMissing = "is missing"

func submissionError(field, reason string) error { return &FieldError{Field: field, Reason: reason} }

func responseError(field, reason string) error {
	return &FieldError{Sentinel: ErrInvalidResponse, Field: field, Reason: reason}
}

func heartbeatError(field, reason string) error {
	return &FieldError{Sentinel: ErrInvalidHeartbeat, Field: field, Reason: reason}
}
