package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"brasskeel/internal/coordination"
)

// TestTracerWritesSpans checks that a span is written with its attributes, its parts and the
// times that the core gave.
func TestTracerWritesSpans(t *testing.T) {
	path := filepath.Join(t.TempDir(), "trace.json")
	tracer, err := newTracer(path)
	if err != nil {
		t.Fatal(err)
	}
	at := time.Date(2026, 9, 21, 12, 0, 0, 0, time.UTC)
	tracer.record([]coordination.Span{{Name: "shard move", From: at, Until: at.Add(3 * time.Second),
		Attributes: []coordination.Attribute{{Key: "from", Value: "n1"}},
		Parts:      []coordination.Span{{Name: "release", From: at, Until: at.Add(time.Second)}}}})
	tracer.close()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text := string(raw)
	for _, want := range []string{`"Name":"shard move"`, `"Name":"release"`, `"n1"`, "2026-09-21T12:00:03Z"} {
		if !strings.Contains(text, want) {
			t.Errorf("the trace lacks %s: %s", want, text)
		}
	}
	if tracer, err := newTracer(""); tracer != nil || err != nil {
		t.Errorf("an empty path: got tracer %v, error %v; want neither", tracer, err)
	}
	if _, err := newTracer(filepath.Join(t.TempDir(), "no", "such")); err == nil {
		t.Error("a path that can't be opened causes no error")
	}
}
