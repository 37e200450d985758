package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"knapweedhoist/internal/defaults"
)

// Config holds the parameters of connections to endpoints. Zero fields take their defaults.
type Config struct {
	// DialTimeout bounds the opening of a connection. Default 300 ms: the round
	// trip between data centres takes at most 3 ms, and the kernel retransmits a
	// lost SYN only after a second.
	DialTimeout time.Duration
	// IdleTimeout is the assumed keep-alive timeout of endpoints that send none. Default 4 s.
	IdleTimeout time.Duration
	// Dial opens a connection; the default is TCP with keep-alive probes.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// unacknowledgedTimeout is how long sent bytes may stay unacknowledged before
// the kernel closes the connection: longer than a packet loss and its
// retransmissions, shorter than the gap after which callers abandon a stream.
const unacknowledgedTimeout = 1800 * time.Millisecond

// maxWindowBytes is the size of a request that fits into the receive window of every endpoint. The kernel applies
// unacknowledgedTimeout to a closed window as well, although the endpoint then acknowledges each probe; the timeout is
// therefore switched off for longer requests, which the deadline and the keep-alive probes bound.
const maxWindowBytes = 64 << 10

// sockoptTCPUserTimeout is the socket option TCP_USER_TIMEOUT of tcp(7), which package syscall does not define.
const sockoptTCPUserTimeout = 0x12

func (c Config) withDefaults() Config {
	defaults.Set(&c.DialTimeout, 300*time.Millisecond)
	defaults.Set(&c.IdleTimeout, 4*time.Second)
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	return c
}

// dialTCP opens a TCP connection that fails within two seconds after the remote host stops acknowledging.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				setUnacknowledgedTimeout(fd, unacknowledgedTimeout)
			})
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// setUnacknowledgedTimeout sets the time after which the kernel closes a connection with unacknowledged bytes; 0 leaves it to
// the kernel's retransmissions. An error is ignored: the keep-alive probes still detect an unresponsive host, only later.
func setUnacknowledgedTimeout(fd uintptr, timeout time.Duration) {
	_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, sockoptTCPUserTimeout, int(timeout.Milliseconds()))
}
