package request

import (
	"cmp"
	"time"
)

// Config sets the limits of a Registry.
type Config struct {
	// MaxInProgress is the maximum number of requests in progress, and of finished ones that are kept. Default 4096, at
	// least 1.
	MaxInProgress int
	// MaxBytes limits the bodies and answers of all requests together, in bytes: over it, finished requests are removed and new
	// ones refused. The tokens of all requests in progress have as much. Default 128 MiB.
	MaxBytes int64
	// MaxRequestBytes limits the body and the tokens of one request together, in bytes. It does not limit the answer of a
	// plain service. Default 20 MiB.
	MaxRequestBytes int
	// MaxReaders is the maximum number of readers of one request. Default 8.
	MaxReaders int
	// Retention is the time for which a finished request stays readable, unless a limit evicts it earlier. Default 60 s.
	Retention time.Duration
}

// Defaults of Config.
const (
	DefaultMaxInProgress   = 4096
	DefaultMaxBytes        = 128 << 20
	DefaultMaxRequestBytes = 20 << 20
	DefaultMaxReaders      = 8
	DefaultRetention       = 60 * time.Second
)

// tokenOverhead is the memory that a token takes besides its text, in bytes: its
// element of tokenLog.ends.
const tokenOverhead = 4

func (c Config) withDefaults() Config {
	c.MaxInProgress = cmp.Or(c.MaxInProgress, DefaultMaxInProgress)
	c.MaxBytes = cmp.Or(c.MaxBytes, DefaultMaxBytes)
	c.MaxRequestBytes = cmp.Or(c.MaxRequestBytes, DefaultMaxRequestBytes)
	c.MaxReaders = cmp.Or(c.MaxReaders, DefaultMaxReaders)
	c.Retention = cmp.Or(c.Retention, DefaultRetention)
	return c
}
