package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"knapweedhoist/internal/defaults"
)

// Config describes how endpoints are reached.
type Config struct {
	// DialTimeout bounds the opening of a connection. Default 300 ms: a path
	// between data centres answers within 3 ms, and a lost opening packet is
	// repeated by the kernel only after a second.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection is kept when the endpoint states no time. Default 4 s.
	IdleTimeout time.Duration
	// Dial opens a connection; the default is TCP with keep-alive probes.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// userTimeout is how long sent bytes may stay unacknowledged before the
// connection counts as dead: longer than a loss and its repeats, shorter than
// the gap after which callers leave a stream.
const userTimeout = 1800 * time.Millisecond

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which package syscall lacks.
const tcpUserTimeout = 0x12

func (c Config) withDefaults() Config {
	defaults.Set(&c.DialTimeout, 300*time.Millisecond)
	defaults.Set(&c.IdleTimeout, 4*time.Second)
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	return c
}

// dialTCP opens a connection on which a peer that went silent is noticed within two seconds.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without the option a silent peer is noticed later, by the keep-alive probes.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
			})
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}
