package gateway

import (
	"cmp"
	"time"
)

// Config holds the limits and timeouts of a Server.
type Config struct {
	// MaxConnections bounds open connections. Default 8192.
	MaxConnections int
	// MaxHeaderBytes bounds the request line and header of a request. Default 16 KiB.
	MaxHeaderBytes int
	// MaxHeaderFields bounds the number of header fields. Default 100.
	MaxHeaderFields int
	// MaxBodyBytes bounds every body, in addition to the limit of the service. Default 16 MiB.
	MaxBodyBytes int
	// MaxBodyMemory bounds the memory in bytes of the bodies that are being read, all together, except those of up to 16 KiB.
	// Default 64 MiB.
	MaxBodyMemory int
	// ReadTimeout bounds the time to read a whole request, and the wait for the last event of a
	// request when a caller re-attaches after it. Default 10 s.
	ReadTimeout time.Duration
	// WriteTimeout is how long a caller may take to read the next part of an answer. Default 10 s.
	WriteTimeout time.Duration
	// IdleTimeout is how long a connection may stay open without a request. Default 60 s.
	IdleTimeout time.Duration
	// DefaultDeadline is the time allowed for requests without X-Deadline-Ms. Default 60 s.
	DefaultDeadline time.Duration
	// MaxDeadline bounds X-Deadline-Ms. Default 10 min.
	MaxDeadline time.Duration
	// HeaderDelay is how long a streamed answer waits for its first event, so that an early
	// failure is answered with its own status. The header with X-Request-Id is sent after this delay,
	// or with the first event. Default 100 ms.
	HeaderDelay time.Duration
	// KeepAliveInterval is how long a streamed answer may be without data before a keep-alive comment is
	// sent. Default 2 s.
	KeepAliveInterval time.Duration
}

// Defaults of Config.
const (
	DefaultMaxConnections    = 8192
	DefaultMaxHeaderBytes    = 16 << 10
	DefaultMaxHeaderFields   = 100
	DefaultMaxBodyBytes      = 16 << 20
	DefaultMaxBodyMemory     = 64 << 20
	DefaultReadTimeout       = 10 * time.Second
	DefaultWriteTimeout      = 10 * time.Second
	DefaultIdleTimeout       = 60 * time.Second
	DefaultDeadline          = 60 * time.Second
	DefaultMaxDeadline       = 10 * time.Minute
	DefaultHeaderDelay       = 100 * time.Millisecond
	DefaultKeepAliveInterval = 2 * time.Second
)

func (c Config) withDefaults() Config {
	c.MaxConnections = cmp.Or(c.MaxConnections, DefaultMaxConnections)
	c.MaxHeaderBytes = cmp.Or(c.MaxHeaderBytes, DefaultMaxHeaderBytes)
	c.MaxHeaderFields = cmp.Or(c.MaxHeaderFields, DefaultMaxHeaderFields)
	c.MaxBodyBytes = cmp.Or(c.MaxBodyBytes, DefaultMaxBodyBytes)
	c.MaxBodyMemory = cmp.Or(c.MaxBodyMemory, DefaultMaxBodyMemory)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, DefaultReadTimeout)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, DefaultWriteTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.DefaultDeadline = cmp.Or(c.DefaultDeadline, DefaultDeadline)
	c.MaxDeadline = cmp.Or(c.MaxDeadline, DefaultMaxDeadline)
	c.HeaderDelay = cmp.Or(c.HeaderDelay, DefaultHeaderDelay)
	c.KeepAliveInterval = cmp.Or(c.KeepAliveInterval, DefaultKeepAliveInterval)
	return c
}
