// Package ratelog bounds the number of lines that a controller logs: Sampler for messages that
// occur in bursts, Throttle for a status that persists.
//
// The package reads no clock, and never drops a line without counting it.
package ratelog

import (
	"context"
	"log/slog"
	"time"
)

// LinesPerSecond is the number of lines with the same message that a Sampler logs per second
// at level info. Without this limit, logging the adoption or loss of thousands of machines at
// once would use most of a controller's small CPU share.
const LinesPerSecond = 20

// Sampler logs at most LinesPerSecond lines with the same message per second at level info.
// Further lines are logged at level debug, and one info line counts them. The zero value is
// ready for use.
type Sampler struct {
	windows map[string]*window // by message
}

// window counts the lines with one message in one second.
type window struct {
	start      time.Time
	lines      int // in this second, at either level
	suppressed int // lines at level debug that no info line has counted yet
}

// Info logs a line at level info, or at level debug if LinesPerSecond lines with the message were logged
// within the current second.
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

// Flush logs how many lines were suppressed in windows that have ended. It must be called regularly: the
// next line with the same message also causes the count to be logged, but after a burst there may be
// no such line.
func (s *Sampler) Flush(log *slog.Logger, now time.Time) {
	for message, w := range s.windows {
		if now.Sub(w.start) >= time.Second {
			w.logSuppressed(log, message)
		}
	}
}

// logSuppressed logs the number of suppressed lines, if there are any.
func (w *window) logSuppressed(log *slog.Logger, message string) {
	if w.suppressed > 0 {
		log.Info("repeated log lines suppressed", "message", message, "count", w.suppressed)
		w.suppressed = 0
	}
}
