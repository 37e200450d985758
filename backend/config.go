package backend

import (
	"cmp"
	"time"
)

// Config holds the times and limits of a Runner.
type Config struct {
	// MoveMargin is how long before the end of a notice the work leaves the endpoint. Default 5 s.
	MoveMargin time.Duration
	// ExportTimeout bounds an export or import of a KV cache. Default 2 s.
	ExportTimeout time.Duration
	// ExportMargin is the least time left before the end of a notice for which an export is tried. Default 500 ms.
	ExportMargin time.Duration
	// CancelTimeout bounds the cancellation of a superseded attempt. Default 2 s.
	CancelTimeout time.Duration
	// MinBackoff and MaxBackoff bound the waits while no endpoint is available. Defaults 50 ms and 1 s.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// ClaimRetry is the wait before a claim is asked for again. Default 500 ms.
	ClaimRetry time.Duration
	// MaxAnswerBytes bounds the answer of a plain service. Default 4 MiB.
	MaxAnswerBytes int
}

// Defaults of Config.
const (
	DefaultMoveMargin     = 5 * time.Second
	DefaultExportTimeout  = 2 * time.Second
	DefaultExportMargin   = 500 * time.Millisecond
	DefaultCancelTimeout  = 2 * time.Second
	DefaultMinBackoff     = 50 * time.Millisecond
	DefaultMaxBackoff     = time.Second
	DefaultClaimRetry     = 500 * time.Millisecond
	DefaultMaxAnswerBytes = 4 << 20
)

func (c Config) withDefaults() Config {
	c.MoveMargin = cmp.Or(c.MoveMargin, DefaultMoveMargin)
	c.ExportTimeout = cmp.Or(c.ExportTimeout, DefaultExportTimeout)
	c.ExportMargin = cmp.Or(c.ExportMargin, DefaultExportMargin)
	c.CancelTimeout = cmp.Or(c.CancelTimeout, DefaultCancelTimeout)
	c.MinBackoff = cmp.Or(c.MinBackoff, DefaultMinBackoff)
	c.MaxBackoff = cmp.Or(c.MaxBackoff, DefaultMaxBackoff)
	c.ClaimRetry = cmp.Or(c.ClaimRetry, DefaultClaimRetry)
	c.MaxAnswerBytes = cmp.Or(c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	return c
}
