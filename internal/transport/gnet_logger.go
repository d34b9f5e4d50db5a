package transport

import (
	"fmt"
	"log/slog"
)

// gnetLogger writes gnet's own messages to our log, as values of lines with fixed messages.
// What it tells of single connections is of no interest above debug: peers come and go.
type gnetLogger struct{ log *slog.Logger }

func (g gnetLogger) Debugf(format string, args ...any) { g.debug(format, args) }

func (g gnetLogger) Infof(format string, args ...any) { g.debug(format, args) }

func (g gnetLogger) Warnf(format string, args ...any) { g.debug(format, args) }

func (g gnetLogger) Errorf(format string, args ...any) {
	g.log.Warn("event loop warning", "message", fmt.Sprintf(format, args...))
}

func (g gnetLogger) Fatalf(format string, args ...any) {
	g.log.Error("event loop error", "message", fmt.Sprintf(format, args...))
}

func (g gnetLogger) debug(format string, args []any) {
	g.log.Debug("event loop", "message", fmt.Sprintf(format, args...))
}
