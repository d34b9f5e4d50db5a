package main

import (
	"errors"
	"fmt"
)

// errLoopExited says that the event loop returned without an error. It should never return.
var errLoopExited = errors.New("event loop exited without an error")

// optionError reports a flag or an environment variable with an invalid value.
type optionError struct{ name, reason string }

// Error implements error.
func (e *optionError) Error() string { return e.name + " " + e.reason }

// statusError reports a response of the state service with a status other than 200.
type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("response with status %d, want 200", e.status)
}

// keyError reports a key of the state service that is not valid for its kind of record.
type keyError struct{ kind, key string }

// Error implements error.
func (e *keyError) Error() string { return fmt.Sprintf("invalid key of a %s: %q", e.kind, e.key) }
