package standin

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/defaults"
	"knapweedhoist/objectapi"
)

// ObjectProtocol serves one HTTP call of an object API from store. Its context
// ends when the server closes.
type ObjectProtocol func(ctx context.Context, rc *fasthttp.RequestCtx, store objectapi.Store)

// Defaults of PlatformConfig.
const (
	DefaultReadsPerSecond  = 2000
	DefaultWritesPerSecond = 300
	DefaultHistory         = 4096
	DefaultPageObjects     = 500
)

// PlatformConfig describes an object API.
type PlatformConfig struct {
	// Clock is the time; default WallClock.
	Clock Clock
	// Latency is added to each call.
	Latency time.Duration
	// ReadsPerSecond limits gets, lists and watches; a watch counts once. Default 2000.
	ReadsPerSecond int
	// WritesPerSecond limits puts and deletes, accepted or not. Default 300.
	WritesPerSecond int
	// History is the number of changes that watches can go back. Default 4096.
	History int
	// PageObjects is the number of objects in a page of a list. Default 500.
	PageObjects int
	// HTTP is the protocol of the HTTP side; without it each call gets 501.
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
