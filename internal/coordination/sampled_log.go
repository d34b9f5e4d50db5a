package coordination

import (
	"context"
	"log/slog"
	"time"
)

// sampledLinesPerSecond is how many lines with the same message are logged in a second at level
// info. A fleet of thousands of machines that is adopted, or lost, in one moment would
// otherwise take most of a small share of a processor to be written about; what is beyond
// is logged at level debug, and counted in one line.
const sampledLinesPerSecond = 20

// sampledLogs counts lines that come in bursts, by message.
type sampledLogs map[string]*sampledLog

type sampledLog struct {
	windowStart time.Time // when the present second began
	logged      int       // logged in it
	suppressed  int       // that were only counted
}

// logSampled logs what happened to one of many.
func (c *Controller) logSampled(message string, args ...any) {
	if c.sampledLogs == nil {
		c.sampledLogs = sampledLogs{}
	}
	b := c.sampledLogs[message]
	if b == nil {
		b = &sampledLog{}
		c.sampledLogs[message] = b
	}
	if c.now.Sub(b.windowStart) >= time.Second {
		b.logSuppressed(c.log, message)
		b.windowStart, b.logged = c.now, 0
	}
	b.logged++
	level := slog.LevelInfo
	if b.logged > sampledLinesPerSecond {
		level = slog.LevelDebug
		b.suppressed++
	}
	c.log.Log(context.Background(), level, message, args...)
}

// logSuppressed logs how many lines were left out, if any were.
func (b *sampledLog) logSuppressed(log *slog.Logger, message string) {
	if b.suppressed > 0 {
		log.Info("and more of the same", "message", message, "count", b.suppressed)
		b.suppressed = 0
	}
}

// flushSampledLogs logs what was left out of bursts that are over.
func (c *Controller) flushSampledLogs() {
	for message, b := range c.sampledLogs {
		if c.now.Sub(b.windowStart) >= time.Second {
			b.logSuppressed(c.log, message)
		}
	}
}
