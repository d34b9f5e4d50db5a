package main

import (
	"errors"
	"fmt"
)

// errLoopExited says that the event loop returned, which it does in no good way.
var errLoopExited = errors.New("the event loop ended")

// optionError is a flag or a variable of the environment with a value that isn't taken.
type optionError struct{ name, reason string }

// Error implements error.
func (e *optionError) Error() string { return e.name + " " + e.reason }

// statusError is an answer of the state service with another status than 200.
type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string { return fmt.Sprintf("status %d", e.status) }

// keyError is a key of the state service that has not the form of its kind.
type keyError struct{ kind, key string }

// Error implements error.
func (e *keyError) Error() string { return fmt.Sprintf("no %s's key: %q", e.kind, e.key) }
