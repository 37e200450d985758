// Package peer carries calls between entry instances. A Client opens one yamux
// session over TCP to each peer that it calls, and a Server passes the calls
// to a Handler. Each call is one yamux stream of length-delimited protobuf
// frames, which are authenticated with a session key derived from the fleet's
// key. One more stream of each session carries pings.
package peer

import (
	"context"
	"errors"
	"net"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"knapweedhoist/timeline"
)

// Default values and limits of a Config.
const (
	// DefaultMaxFrameBytes is large enough for the largest request body (16 MiB) and its generated text.
	DefaultMaxFrameBytes = 18 << 20
	// DefaultMaxCalls bounds the calls in progress on one session.
	DefaultMaxCalls = 512
	// DefaultMaxSessions bounds the sessions of a server. It exceeds the number of entry instances (360).
	DefaultMaxSessions = 1024
	// DefaultIdleTimeout is long enough to keep a session open between the calls of one handover, or between the calls to
	// the owner of one claim shard.
	DefaultIdleTimeout = 60 * time.Second
	// MinKeyBytes is the shortest accepted fleet key.
	MinKeyBytes = 16

	// pingInterval is the interval at which a client sends pings. sessionTimeout is three intervals, so that a session
	// times out only after at least two pings are lost.
	pingInterval   = 2 * time.Second
	sessionTimeout = 6 * time.Second
	// tickInterval is the interval between checks for a timed-out or idle session.
	tickInterval = 500 * time.Millisecond
	// handshakeTimeout bounds how long a connection may stay unauthenticated, and how long the default Dial may take.
	handshakeTimeout = 3 * time.Second
	// openTimeout bounds dialling and the handshake together.
	openTimeout = 2 * handshakeTimeout
)

// ErrInvalidConfig means that the Key of a Config is shorter than MinKeyBytes.
var ErrInvalidConfig = errors.New("peer: invalid configuration")

// Clock is the hybrid logical clock that timestamps calls and answers. *timeline.Clock implements it.
type Clock interface {
	Now() timeline.Stamp
	Observe(remote timeline.Stamp) timeline.Stamp
}

// Config configures a Client or a Server. Only Key is required.
type Config struct {
	// Key is the fleet's key, at least MinKeyBytes long.
	Key []byte
	// Incarnation identifies this instance as the sender of each call.
	Incarnation string
	// MaxFrameBytes bounds a frame's payload. Default DefaultMaxFrameBytes.
	MaxFrameBytes int
	// MaxCalls bounds the calls in progress on one session. Default DefaultMaxCalls.
	MaxCalls int
	// MaxSessions bounds the sessions of a Server. Default DefaultMaxSessions.
	MaxSessions int
	// IdleTimeout is how long a Client keeps a session without calls. Default DefaultIdleTimeout.
	IdleTimeout time.Duration
	// Dial opens a connection. Default: TCP with a timeout of 3 s.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Ticks starts a ticker and returns its channel and its stop function. Default: time.NewTicker.
	Ticks func(interval time.Duration) (<-chan time.Time, func())
	// Clock timestamps calls and answers. Default: no timestamps.
	Clock Clock
	// Recorder receives an event for each session that times out. Default: timeline.Discard.
	Recorder timeline.Recorder
	// Metrics receives the counters of this package. Default: a private registry.
	Metrics metrics.Registry
}

// withDefaults validates c and returns it with defaults in place of unset fields.
func (c Config) withDefaults() (Config, error) {
	if len(c.Key) < MinKeyBytes {
		return c, stepError("peer/configure", "", withDetail(ErrInvalidConfig, "the fleet's key is shorter than the minimum of 16 bytes"))
	}
	c.MaxFrameBytes = positiveOr(c.MaxFrameBytes, DefaultMaxFrameBytes)
	c.MaxCalls = positiveOr(c.MaxCalls, DefaultMaxCalls)
	c.MaxSessions = positiveOr(c.MaxSessions, DefaultMaxSessions)
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.Ticks == nil {
		c.Ticks = startTicker
	}
	if c.Recorder == nil {
		c.Recorder = timeline.Discard
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return c, nil
}

func positiveOr(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: handshakeTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

func startTicker(interval time.Duration) (<-chan time.Time, func()) {
	ticker := time.NewTicker(interval)
	return ticker.C, ticker.Stop
}
