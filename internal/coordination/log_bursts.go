package coordination

import (
	"context"
	"log/slog"
	"time"
)

// linesAtOnceLogged is how many lines with the same message are logged in a second at level
// info. A fleet of thousands of machines that is adopted, or lost, in one moment would
// otherwise take most of a small share of a processor to be written about; what is beyond
// is logged at level debug, and counted in one line.
const linesAtOnceLogged = 20

// logBursts counts lines that come in bursts, by message.
type logBursts map[string]*logBurst

type logBurst struct {
	at    time.Time // when the present second began
	lines int       // logged in it
	more  int       // that were only counted
}

// logEach logs what happened to one of many.
func (c *Controller) logEach(message string, args ...any) {
	if c.bursts == nil {
		c.bursts = logBursts{}
	}
	b := c.bursts[message]
	if b == nil {
		b = &logBurst{}
		c.bursts[message] = b
	}
	if c.now.Sub(b.at) >= time.Second {
		b.tell(c.log, message)
		b.at, b.lines = c.now, 0
	}
	b.lines++
	level := slog.LevelInfo
	if b.lines > linesAtOnceLogged {
		level = slog.LevelDebug
		b.more++
	}
	c.log.Log(context.Background(), level, message, args...)
}

// tell logs how many lines were left out, if any were.
func (b *logBurst) tell(log *slog.Logger, message string) {
	if b.more > 0 {
		log.Info("and more of the same", "message", message, "count", b.more)
		b.more = 0
	}
}

// tellBursts logs what was left out of bursts that are over.
func (c *Controller) tellBursts() {
	for message, b := range c.bursts {
		if c.now.Sub(b.at) >= time.Second {
			b.tell(c.log, message)
		}
	}
}
