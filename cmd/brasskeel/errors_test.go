package main

import (
	"errors"
	"testing"
)

// Operators read these texts: they stay as they are.
func TestErrorTexts(t *testing.T) {
	_, levelErr := logLevel("loud")
	balance := balanceCommand()
	for _, test := range []struct {
		name string
		err  error
		want string
	}{
		{"log level", levelErr, `LOG_LEVEL is "loud", not error, info or debug`},
		{"status", &statusError{503}, "status 503"},
		{"key", &keyError{"chunk", "c/odd"}, `no chunk's key: "c/odd"`},
		{"flag", &optionError{"--top", "is -1, not 0 or more"}, "--top is -1, not 0 or more"},
		{"loop", errLoopExited, "the event loop ended"},
	} {
		if test.err == nil || test.err.Error() != test.want {
			t.Errorf("%s: %v, want %s", test.name, test.err, test.want)
		}
	}
	var option *optionError
	if !errors.As(levelErr, &option) || option.name != "LOG_LEVEL" {
		t.Errorf("%T names no option", levelErr)
	}
	if balance.Flags().Lookup("top") == nil {
		t.Error("the flag isn't there")
	}
}

// limitedWriter takes so many bytes and then no more.
type limitedWriter struct{ left int }

func (f *limitedWriter) Write(p []byte) (int, error) {
	if len(p) > f.left {
		return 0, errors.New("full")
	}
	f.left -= len(p)
	return len(p), nil
}

// What can't be printed in full ends a command with an error.
func TestOutputErrors(t *testing.T) {
	for _, left := range []int{0, 3, 1000} {
		out := &output{w: &limitedWriter{left}}
		out.printf("abc")
		out.table(func(rows *output) { rows.printf("a\tb\n") })
		out.printf("d")
		if (out.err == nil) != (left == 1000) {
			t.Errorf("room for %d: %v", left, out.err)
		}
	}
}
