package httpcall

import (
	"context"
	"net"
	"time"
)

// Defaults of the Config fields that are 0 or below.
const (
	DefaultTimeout          = 2 * time.Second
	DefaultIdleTimeout      = 6 * time.Second
	DefaultMaxResponseBytes = 16 << 20
	DefaultMaxConns         = 256
)

// Config describes one external server and the limits of calls to it.
type Config struct {
	// Address is the server's IP address and port.
	Address string
	// Token is sent as the bearer token; "" sends none.
	Token string
	// Timeout bounds a whole Do call, but only the opening of the connection in Open and Fetch.
	Timeout time.Duration
	// IdleTimeout is the longest time in which an Open call may receive no byte, and the longest time that one write to
	// the connection may take.
	IdleTimeout time.Duration
	// MaxResponseBytes bounds the response body of Do and Fetch. The bodies that are being read have three times as much
	// memory together.
	MaxResponseBytes int
	// MaxConns bounds the number of open connections of Do.
	MaxConns int
	// Dial opens a connection; the default dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

func (c Config) withDefaults() Config {
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.MaxResponseBytes <= 0 {
		c.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if c.MaxConns <= 0 {
		c.MaxConns = DefaultMaxConns
	}
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	return c
}

// dialTCP opens a connection that is reset when it is closed. Otherwise the kernel would deliver a request that is held up,
// for example by a partition, seconds after its call timed out.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			_ = conn.Close()
			return nil, err
		}
	}
	return conn, nil
}
