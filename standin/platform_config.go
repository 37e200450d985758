package standin

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/defaults"
	"knapweedhoist/objectapi"
)

// ObjectProtocol handles one HTTP request of an object API by calling store. Its
// context ends when the server closes.
type ObjectProtocol func(ctx context.Context, rc *fasthttp.RequestCtx, store objectapi.Store)

// Defaults of PlatformConfig.
const (
	DefaultReadsPerSecond  = 2000
	DefaultWritesPerSecond = 300
	DefaultHistory         = 4096
	DefaultPageObjects     = 500
)

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	// Clock is the time source; default WallClock.
	Clock Clock
	// Latency delays each call.
	Latency time.Duration
	// ReadsPerSecond is the rate limit of gets, lists and watches; a watch counts once. Default 2000.
	ReadsPerSecond int
	// WritesPerSecond is the rate limit of puts and deletes, whether or not their condition holds. Default 300.
	WritesPerSecond int
	// History is the minimum number of latest changes that are kept for watches. Default 4096.
	History int
	// PageObjects is the maximum number of objects in a page of a list, and of events in a watch reply. Default 500.
	PageObjects int
	// HTTP handles the requests of the HTTP server; without it each request gets status 501.
	HTTP ObjectProtocol
}

func (c PlatformConfig) withDefaults() PlatformConfig {
	c.Clock = orWallClock(c.Clock)
	defaults.Set(&c.ReadsPerSecond, DefaultReadsPerSecond)
	defaults.Set(&c.WritesPerSecond, DefaultWritesPerSecond)
	defaults.Set(&c.History, DefaultHistory)
	defaults.Set(&c.PageObjects, DefaultPageObjects)
	if c.HTTP == nil {
		c.HTTP = noProtocol
	}
	return c
}

func noProtocol(_ context.Context, rc *fasthttp.RequestCtx, _ objectapi.Store) {
	writeProblem(rc, fasthttp.StatusNotImplemented, "no protocol is configured")
}
