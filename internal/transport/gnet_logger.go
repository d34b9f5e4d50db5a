package transport

import (
	"fmt"
	"log/slog"
)

// gnetLogger writes gnet's own messages to our log. What it tells of single
// connections is everyday news here: peers come and go.
type gnetLogger struct{ log *slog.Logger }

func (g gnetLogger) Debugf(format string, args ...any) { g.log.Debug(fmt.Sprintf(format, args...)) }

func (g gnetLogger) Infof(format string, args ...any) { g.log.Debug(fmt.Sprintf(format, args...)) }

func (g gnetLogger) Warnf(format string, args ...any) { g.log.Debug(fmt.Sprintf(format, args...)) }

func (g gnetLogger) Errorf(format string, args ...any) { g.log.Warn(fmt.Sprintf(format, args...)) }

func (g gnetLogger) Fatalf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }
