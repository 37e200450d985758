package gateway

import (
	"fmt"
	"log/slog"
)

// httpLogger passes the HTTP library's messages on.
type httpLogger struct {
	lg *slog.Logger
}

// Printf implements fasthttp.Logger.
func (l httpLogger) Printf(format string, args ...any) {
	l.lg.Debug("http", "message", fmt.Sprintf(format, args...))
}
