package heartbeat

import (
	"fmt"
	"log/slog"
)

// gnetLogger passes gnet's log lines to slog.
type gnetLogger struct{ lg *slog.Logger }

func (l gnetLogger) Debugf(format string, args ...any) { l.lg.Debug(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Infof(format string, args ...any)  { l.lg.Debug(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Warnf(format string, args ...any)  { l.lg.Warn(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Errorf(format string, args ...any) { l.lg.Error(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Fatalf(format string, args ...any) { l.lg.Error(fmt.Sprintf(format, args...)) }
