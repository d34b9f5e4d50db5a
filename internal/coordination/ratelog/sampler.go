// Package ratelog bounds how many lines a controller logs: Sampler for messages that come in
// bursts, Throttle for a status that lasts.
//
// It owns the counts and times that this takes, reads no clock, and never drops a line without
// counting it.
package ratelog

import (
	"context"
	"log/slog"
	"time"
)

// LinesPerSecond is how many lines with the same message a Sampler logs in a second at level
// info. A fleet of thousands of machines that is adopted, or lost, in one moment would
// otherwise take most of a small share of a processor to be written about.
const LinesPerSecond = 20

// Sampler logs at most LinesPerSecond lines with the same message in each second at level
// info. Further ones are logged at level debug and counted in one line. The zero value is
// ready for use.
type Sampler struct {
	windows map[string]*window // by message
}

// window is the second in which lines with a message are counted.
type window struct {
	start      time.Time
	lines      int // in this second, at either level
	suppressed int // at level debug, not yet told
}

// Info logs a line about one of many of a kind.
func (s *Sampler) Info(log *slog.Logger, now time.Time, message string, args ...any) {
	w := s.windows[message]
	if w == nil {
		if s.windows == nil {
			s.windows = map[string]*window{}
		}
		w = &window{}
		s.windows[message] = w
	}
	if now.Sub(w.start) >= time.Second {
		w.logSuppressed(log, message)
		w.start, w.lines = now, 0
	}
	w.lines++
	level := slog.LevelInfo
	if w.lines > LinesPerSecond {
		level = slog.LevelDebug
		w.suppressed++
	}
	log.Log(context.Background(), level, message, args...)
}

// Flush logs how many lines were suppressed in seconds that are over. It is to be called
// regularly: a burst that ends is followed by no line that would tell.
func (s *Sampler) Flush(log *slog.Logger, now time.Time) {
	for message, w := range s.windows {
		if now.Sub(w.start) >= time.Second {
			w.logSuppressed(log, message)
		}
	}
}

func (w *window) logSuppressed(log *slog.Logger, message string) {
	if w.suppressed > 0 {
		log.Info("repeated log lines suppressed", "message", message, "count", w.suppressed)
		w.suppressed = 0
	}
}
