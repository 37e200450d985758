package peer

import (
	"log/slog"
	"time"

	"github.com/hashicorp/yamux"
)

// muxConfig turns yamux's own keep-alives off: the frames' pings are
// authenticated and prove that the other process makes progress.
func muxConfig(lg *slog.Logger) *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = silenceLimit
	cfg.StreamOpenTimeout = 0
	cfg.StreamCloseTimeout = time.Minute
	cfg.LogOutput = nil
	cfg.Logger = slog.NewLogLogger(lg.Handler(), slog.LevelDebug)
	return cfg
}
