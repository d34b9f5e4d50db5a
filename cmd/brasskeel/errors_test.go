package main

import (
	"errors"
	"testing"
)

// TestErrorTexts fixes the texts of errors that operators get from commands.
func TestErrorTexts(t *testing.T) {
	_, levelErr := logLevel("loud")
	balance := balanceCommand()
	for _, test := range []struct {
		name string
		err  error
		want string
	}{
		{"log level", levelErr, `LOG_LEVEL is "loud", must be error, info or debug`},
		{"status", &statusError{503}, "response with status 503, want 200"},
		{"key", &keyError{"task block", "c/odd"}, `invalid key of a task block: "c/odd"`},
		{"flag", &optionError{"--top", "is -1, must be 0 or more"}, "--top is -1, must be 0 or more"},
		{"loop", errLoopExited, "event loop exited without an error"},
	} {
		if test.err == nil || test.err.Error() != test.want {
			t.Errorf("%s: %v, want %s", test.name, test.err, test.want)
		}
	}
	var option *optionError
	if !errors.As(levelErr, &option) || option.name != "LOG_LEVEL" {
		t.Errorf("log level: error of type %T, want an optionError that names LOG_LEVEL", levelErr)
	}
	if balance.Flags().Lookup("top") == nil {
		t.Error("the balance command has no flag --top")
	}
}

// limitedWriter fails a write that exceeds the bytes left.
type limitedWriter struct{ left int }

func (f *limitedWriter) Write(p []byte) (int, error) {
	if len(p) > f.left {
		return 0, errors.New("full")
	}
	f.left -= len(p)
	return len(p), nil
}

// TestOutputErrors checks that output keeps the error of a failed write, whether from printf or
// from table.
func TestOutputErrors(t *testing.T) {
	for _, left := range []int{0, 3, 1000} {
		out := &output{w: &limitedWriter{left}}
		out.printf("abc")
		out.table(func(rows *output) { rows.printf("a\tb\n") })
		out.printf("d")
		if (out.err == nil) != (left == 1000) {
			t.Errorf("a writer that accepts %d bytes: error %v", left, out.err)
		}
	}
}
