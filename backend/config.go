package backend

import (
	"cmp"
	"time"
)

// Config holds the timeouts and limits of a Runner. A zero field means its default.
type Config struct {
	// MoveMargin is how long before a leaving endpoint's announced end a Runner moves model work away. Default 5 s.
	MoveMargin time.Duration
	// ExportTimeout bounds each export or import of a KV cache. Default 2 s.
	ExportTimeout time.Duration
	// ExportMargin is how long before the endpoint's announced end an export must have ended. When no more time than
	// this is left, no export is attempted. Default 500 ms.
	ExportMargin time.Duration
	// CancelTimeout bounds the call that cancels an attempt at its engine. Default 2 s.
	CancelTimeout time.Duration
	// MinBackoff and MaxBackoff bound the exponential backoff while no endpoint is available, and between attempts that
	// leaving endpoints refuse. Defaults 50 ms and 1 s.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// ClaimRetryDelay is the delay before a claim request is repeated. Default 500 ms.
	ClaimRetryDelay time.Duration
	// MaxAnswerBytes bounds the body of a plain service's answer. Default 4 MiB.
	MaxAnswerBytes int
}

// Defaults of Config.
const (
	DefaultMoveMargin      = 5 * time.Second
	DefaultExportTimeout   = 2 * time.Second
	DefaultExportMargin    = 500 * time.Millisecond
	DefaultCancelTimeout   = 2 * time.Second
	DefaultMinBackoff      = 50 * time.Millisecond
	DefaultMaxBackoff      = time.Second
	DefaultClaimRetryDelay = 500 * time.Millisecond
	DefaultMaxAnswerBytes  = 4 << 20
)

func (c Config) withDefaults() Config {
	c.MoveMargin = cmp.Or(c.MoveMargin, DefaultMoveMargin)
	c.ExportTimeout = cmp.Or(c.ExportTimeout, DefaultExportTimeout)
	c.ExportMargin = cmp.Or(c.ExportMargin, DefaultExportMargin)
	c.CancelTimeout = cmp.Or(c.CancelTimeout, DefaultCancelTimeout)
	c.MinBackoff = cmp.Or(c.MinBackoff, DefaultMinBackoff)
	c.MaxBackoff = cmp.Or(c.MaxBackoff, DefaultMaxBackoff)
	c.ClaimRetryDelay = cmp.Or(c.ClaimRetryDelay, DefaultClaimRetryDelay)
	c.MaxAnswerBytes = cmp.Or(c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	return c
}
