// Package heartbeat sends and receives the datagrams between entry instances
// on one gnet event loop. A datagram is a version byte, a truncated
// HMAC-SHA-256 and a wire.Heartbeat.
package heartbeat

import (
	"errors"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// Limits.
const (
	// MaxDatagramBytes fits one Ethernet frame with room for tunnels.
	MaxDatagramBytes = 1200
	// MinKeyBytes is the shortest accepted fleet key.
	MinKeyBytes = 16
	// DefaultMaxAge refuses old datagrams that are replayed to a process that
	// has started since. It exceeds the clock skew expected between instances.
	DefaultMaxAge = 5 * time.Minute
	// maxWindows bounds the incarnations whose sequence numbers are remembered:
	// 360 entry instances that are all replaced 20 times.
	maxWindows = 8192

	version     = 1
	macBytes    = 16
	headerBytes = 1 + macBytes
)

// Sentinel errors; a dropped datagram is counted by its error.
var (
	ErrInvalidConfig  = errors.New("heartbeat: invalid configuration")
	ErrMalformed      = errors.New("heartbeat: malformed datagram")
	ErrAuthentication = errors.New("heartbeat: authentication failed")
	ErrReplayed       = errors.New("heartbeat: sequence number seen before")
	ErrOld            = errors.New("heartbeat: datagram too old")
	ErrTooLarge       = errors.New("heartbeat: fields do not fit a datagram")
)

// Config configures a Loop.
type Config struct {
	// Key is the fleet's key, at least MinKeyBytes.
	Key []byte
	// Address to bind, IP and port.
	Address string
	// MaxAge is how far a datagram's clock may be behind this instance's. Default DefaultMaxAge.
	MaxAge time.Duration
	// Now reads the clock. Default time.Now.
	Now func() time.Time
	// Metrics gets the counters of this package. Default: a private registry.
	Metrics metrics.Registry
}

func (c Config) withDefaults() (Config, error) {
	if len(c.Key) < MinKeyBytes {
		return c, stepError("heartbeat/configure", "", ErrInvalidConfig)
	}
	if c.MaxAge <= 0 {
		c.MaxAge = DefaultMaxAge
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return c, nil
}
