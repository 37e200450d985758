package peer

import (
	"log/slog"
	"time"

	"github.com/hashicorp/yamux"
)

// muxConfig disables the keep-alives of yamux, because the ping frames of this
// package are authenticated and prove that the other process makes progress.
func muxConfig(lg *slog.Logger) *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = sessionTimeout
	cfg.StreamOpenTimeout = 0
	cfg.StreamCloseTimeout = time.Minute
	cfg.LogOutput = nil
	cfg.Logger = slog.NewLogLogger(lg.Handler(), slog.LevelDebug)
	return cfg
}
