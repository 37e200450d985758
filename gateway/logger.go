package gateway

import (
	"fmt"
	"log/slog"
)

// httpLogger writes the messages of fasthttp to lg at debug level.
type httpLogger struct {
	lg *slog.Logger
}

// Printf implements fasthttp.Logger.
func (l httpLogger) Printf(format string, args ...any) {
	l.lg.Debug("http", "message", fmt.Sprintf(format, args...))
}
