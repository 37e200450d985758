// Package heartbeat sends and receives heartbeats between entry instances as UDP
// datagrams on one gnet event loop. A datagram is a version byte, a truncated
// HMAC-SHA-256 and an encoded wire.Heartbeat. Received datagrams that are
// malformed, not authentic, too old or replayed are dropped and counted. An entry
// instance runs one Transport.
package heartbeat

import (
	"errors"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// Limits, and the layout of a datagram.
const (
	// MaxDatagramBytes bounds a datagram, so that it fits one Ethernet frame with room for tunnel headers.
	MaxDatagramBytes = 1200
	// MinKeyBytes is the shortest accepted fleet key.
	MinKeyBytes = 16
	// DefaultMaxAge bounds the age of a datagram, because a process that started
	// after it was sent cannot detect its replay. It exceeds the clock offset
	// expected between instances.
	DefaultMaxAge = 5 * time.Minute
	// maxReplayWindows bounds the incarnations whose received sequence numbers are
	// stored: enough for 360 entry instances that are all replaced 20 times.
	maxReplayWindows = 8192

	formatVersion = 1
	macBytes      = 16
	headerBytes   = 1 + macBytes
)

// Sentinel errors. Dropped datagrams are counted by error.
var (
	ErrInvalidConfig  = errors.New("heartbeat: invalid configuration: fleet key shorter than MinKeyBytes")
	ErrMalformed      = errors.New("heartbeat: malformed datagram")
	ErrAuthentication = errors.New("heartbeat: authentication failed")
	ErrReplayed       = errors.New("heartbeat: sequence number received before or outside the replay window")
	ErrOld            = errors.New("heartbeat: datagram too old")
	ErrTooLarge       = errors.New("heartbeat: encoded fields exceed MaxDatagramBytes")
)

// Config configures a Transport.
type Config struct {
	// Key is the key of the fleet, at least MinKeyBytes long.
	Key []byte
	// Address is the IP address and port to bind.
	Address string
	// MaxAge is how far the send time of a datagram may be behind this instance's clock. Default DefaultMaxAge.
	// The age of a datagram without a send time (wall_ms 0) is not checked.
	MaxAge time.Duration
	// Now returns the current time. Default time.Now.
	Now func() time.Time
	// Metrics receives the counters of this package. Default: a private registry.
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
