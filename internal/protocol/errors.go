package protocol

import "errors"

// What a message can be refused for as a whole. A FieldError about a response or a heartbeat
// wraps the sentinel of its message, so that errors.Is tells them apart.
var (
	// ErrNotObject says that a submission's body is not a JSON object.
	ErrNotObject = errors.New("the body is not a JSON object")
	// ErrInvalidResponse says that a service answered with JSON that it may not answer with.
	ErrInvalidResponse = errors.New("an answer that makes no sense")
	// ErrInvalidHeartbeat says that a body is JSON but not a worker's heartbeat.
	ErrInvalidHeartbeat = errors.New("not a worker's report")
)

// FieldError is a field that is missing from a message or holds what it must not. Callers
// find it with errors.As.
type FieldError struct {
	// Sentinel is ErrInvalidResponse or ErrInvalidHeartbeat, nil for a submission.
	Sentinel error
	// Field is the field's name on the wire.
	Field string
	// Reason completes a sentence that begins with the field.
	Reason string
}

// Error implements error. Users are told the field of their submission and the reason. For
// other messages it is the text of the message alone, which operators search their logs for.
func (e *FieldError) Error() string {
	if e.Sentinel != nil {
		return e.Sentinel.Error()
	}
	return e.Field + " " + e.Reason
}

// Unwrap gives the sentinel of the message, nil for a submission.
func (e *FieldError) Unwrap() error { return e.Sentinel }

const reasonMissing = "is missing"

func submissionError(field, reason string) error { return &FieldError{Field: field, Reason: reason} }

func responseError(field, reason string) error {
	return &FieldError{Sentinel: ErrInvalidResponse, Field: field, Reason: reason}
}

func heartbeatError(field, reason string) error {
	return &FieldError{Sentinel: ErrInvalidHeartbeat, Field: field, Reason: reason}
}
