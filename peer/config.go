// Package peer carries calls between entry instances: one yamux session over
// TCP per calling instance and callee, with length-delimited protobuf frames
// that are authenticated with the fleet's key.
package peer

import (
	"context"
	"errors"
	"net"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"knapweedhoist/timeline"
)

// Defaults and limits of a Config.
const (
	// DefaultMaxFrameBytes fits the largest request body (16 MiB) with its generated text.
	DefaultMaxFrameBytes = 18 << 20
	// DefaultMaxStreams bounds the calls in progress on one session.
	DefaultMaxStreams = 512
	// DefaultMaxSessions bounds a server; it is above the number of entry instances (360).
	DefaultMaxSessions = 1024
	// DefaultIdle keeps sessions open between the calls of a handover or of a claim shard.
	DefaultIdle = 60 * time.Second
	// MinKeyBytes is the shortest accepted fleet key.
	MinKeyBytes = 16

	// pingInterval and silenceLimit come from the design page, section "Silent connections".
	pingInterval = 2 * time.Second
	silenceLimit = 6 * time.Second
	// tickInterval is the resolution at which silence and idleness are checked.
	tickInterval = 500 * time.Millisecond
	// handshakeTimeout bounds the time that an unauthenticated connection may take.
	handshakeTimeout = 3 * time.Second
	// openTimeout bounds dialling and handshake together.
	openTimeout = 2 * handshakeTimeout
)

// ErrInvalidConfig means a Config that cannot be used.
var ErrInvalidConfig = errors.New("peer: invalid configuration")

// Clock is the hybrid logical clock that stamps calls and answers; *timeline.Clock implements it.
type Clock interface {
	Now() timeline.Stamp
	Observe(remote timeline.Stamp) timeline.Stamp
}

// Config configures a Client or a Server. Only Key is required.
type Config struct {
	// Key is the fleet's key, at least MinKeyBytes.
	Key []byte
	// Incarnation of this instance; set as the sender of each call.
	Incarnation string
	// MaxFrameBytes bounds a frame's payload. Default DefaultMaxFrameBytes.
	MaxFrameBytes int
	// MaxStreams bounds the calls in progress on one session. Default DefaultMaxStreams.
	MaxStreams int
	// MaxSessions bounds the sessions of a Server. Default DefaultMaxSessions.
	MaxSessions int
	// Idle is how long a Client keeps a session without calls. Default DefaultIdle.
	Idle time.Duration
	// Dial opens a connection. Default: TCP within handshakeTimeout.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Ticks starts a ticker and returns its channel and its stop function. Default: time.NewTicker.
	Ticks func(interval time.Duration) (<-chan time.Time, func())
	// Clock stamps calls and answers. Default: no stamps.
	Clock Clock
	// Recorder gets an event for each abandoned session. Default: timeline.Discard.
	Recorder timeline.Recorder
	// Metrics gets the counters of this package. Default: a private registry.
	Metrics metrics.Registry
}

// withDefaults checks c and fills its defaults in.
func (c Config) withDefaults() (Config, error) {
	if len(c.Key) < MinKeyBytes {
		return c, stepError("peer/configure", "", errorsJoin(ErrInvalidConfig, "the fleet's key is shorter than 16 bytes"))
	}
	c.MaxFrameBytes = positive(c.MaxFrameBytes, DefaultMaxFrameBytes)
	c.MaxStreams = positive(c.MaxStreams, DefaultMaxStreams)
	c.MaxSessions = positive(c.MaxSessions, DefaultMaxSessions)
	if c.Idle <= 0 {
		c.Idle = DefaultIdle
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

func positive(value, fallback int) int {
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
