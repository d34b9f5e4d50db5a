package transport

import (
	"fmt"
	"log/slog"
)

// gnetLogger writes gnet's messages to the process's log, as attributes of log lines with fixed
// messages. Its information and warnings are about single connections, which clients open and
// close all the time; they are logged at debug level.
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
