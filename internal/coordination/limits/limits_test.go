package limits

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A limit is logged the first time it is reached, then at most once per LogInterval with the
// counts.
func TestLogRate(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	var c Counters
	for _, step := range []struct {
		name    string
		after   time.Duration // since the start
		reached int
		want    string // contained in the line; empty: no line
	}{
		{"not reached", 0, 0, ""},
		{"first time", 0, 1, "count=1 total=1"},
		{"again within the interval", time.Second, 98, ""},
		{"just before the interval ends", LogInterval - 1, 1, ""},
		{"the interval is over", LogInterval, 0, "count=99 total=100"},
		{"not reached since the last line", 3 * LogInterval, 0, ""},
	} {
		out.Reset()
		c.ReachedTimes(ConnectionsShed, step.reached)
		c.Log(log, start.Add(step.after))
		if lines := strings.Count(out.String(), "\n"); (step.want != "") != (lines == 1) || !strings.Contains(out.String(), step.want) {
			t.Errorf("%s: logged %q, want %q", step.name, out.String(), step.want)
		}
	}
	if c.Total(ConnectionsShed) != 100 || c.Total(CallsWithoutSocket) != 0 {
		t.Errorf("totals %d and %d, want 100 and 0", c.Total(ConnectionsShed), c.Total(CallsWithoutSocket))
	}
}

// Each limit is logged in a separate line, with a separate interval.
func TestLimitsLoggedSeparately(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	var c Counters
	for l := range limitCount {
		c.Reached(l)
	}
	c.Log(log, start)
	if lines := strings.Count(out.String(), "\n"); lines != int(limitCount) {
		t.Errorf("%d lines logged for %d limits, want one for each", lines, limitCount)
	}
}

func TestDescriptions(t *testing.T) {
	names := map[string]bool{}
	for l := range limitCount {
		if l.String() == "" || l.Consequence() == "" || names[l.String()] {
			t.Errorf("limit %d: empty or duplicate name %q, or empty consequence %q", l, l, l.Consequence())
		}
		names[l.String()] = true
	}
}
