package heartbeat

import (
	"fmt"
	"log/slog"
)

// gnetLogger forwards gnet's log messages to lg: informational ones at debug level, fatal ones at error level.
type gnetLogger struct{ lg *slog.Logger }

func (l gnetLogger) Debugf(format string, args ...any) { l.lg.Debug(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Infof(format string, args ...any)  { l.lg.Debug(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Warnf(format string, args ...any)  { l.lg.Warn(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Errorf(format string, args ...any) { l.lg.Error(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Fatalf(format string, args ...any) { l.lg.Error(fmt.Sprintf(format, args...)) }
