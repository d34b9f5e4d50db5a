package ratelog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestSampler(t *testing.T) {
	for _, c := range []struct {
		name       string
		lines      int           // with the same message
		pause      time.Duration // between them
		others     int           // lines with another message, logged first
		info       int           // expected lines at level info, including the one that counts suppressed lines
		suppressed string        // contained in the line that counts suppressed lines; empty: no such line
	}{
		{name: "few lines", lines: LinesPerSecond, info: LinesPerSecond},
		{name: "a burst", lines: 4000, info: LinesPerSecond + 1, suppressed: "count=3980"},
		{name: "one line above the limit", lines: LinesPerSecond + 1, info: LinesPerSecond + 1, suppressed: "count=1"},
		{name: "below the rate", lines: 50, pause: 100 * time.Millisecond, info: 50},
		{name: "messages are counted separately", lines: LinesPerSecond, others: LinesPerSecond, info: 2 * LinesPerSecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			log := slog.New(slog.NewTextHandler(&out, nil))
			var s Sampler
			now := start
			for range c.others {
				s.Info(log, now, "another message")
			}
			for range c.lines {
				s.Info(log, now, "a message", "machine", "m")
				now = now.Add(c.pause)
			}
			s.Flush(log, now.Add(time.Second))
			s.Flush(log, now.Add(2*time.Second)) // logs nothing a second time
			if lines := strings.Count(out.String(), "\n"); lines != c.info || !strings.Contains(out.String(), c.suppressed) {
				t.Errorf("%d lines, want %d with %q: %.300s", lines, c.info, c.suppressed, out.String())
			}
		})
	}
}

// The count of suppressed lines is not logged before the end of the second in which they
// occurred.
func TestFlushWaitsForWindowEnd(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	var s Sampler
	for range LinesPerSecond + 5 {
		s.Info(log, start, "a message")
	}
	s.Flush(log, start.Add(time.Second-1))
	if strings.Contains(out.String(), "suppressed") {
		t.Error("suppressed lines counted in the log before the end of the second")
	}
	s.Info(log, start.Add(time.Second), "a message")
	if !strings.Contains(out.String(), "count=5") {
		t.Errorf("the count of suppressed lines is not logged with the next second's first line: %s", out.String())
	}
}

// A changed status is logged after ChangeInterval, an unchanged one after RepeatInterval, and an empty
// one only once. MayLog is true whenever Allow is.
func TestThrottle(t *testing.T) {
	var throttle Throttle
	for _, step := range []struct {
		after  time.Duration // since the start
		status string
		allow  bool
	}{
		{0, "", false},
		{0, "no leader", true},
		{time.Second, "no leader", false},
		{ChangeInterval - 1, "no records", false},
		{ChangeInterval, "no records", true},
		{ChangeInterval + RepeatInterval - 1, "no records", false},
		{ChangeInterval + RepeatInterval, "no records", true},
		{2*ChangeInterval + RepeatInterval, "", true},
		{4*ChangeInterval + RepeatInterval, "", false},
		{time.Hour, "", false},
	} {
		now := start.Add(step.after)
		open := throttle.MayLog(now)
		if allow := throttle.Allow(now, step.status); allow != step.allow || allow && !open {
			t.Errorf("after %s, status %q: Allow returned %t, want %t; MayLog returned %t before", step.after, step.status, allow, step.allow, open)
		}
	}
}
