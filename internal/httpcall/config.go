package httpcall

import (
	"context"
	"net"
	"time"
)

// Defaults of Config.
const (
	DefaultTimeout          = 2 * time.Second
	DefaultSilence          = 6 * time.Second
	DefaultMaxResponseBytes = 16 << 20
	DefaultMaxConns         = 256
)

// Config describes one outside server.
type Config struct {
	// Address is the server's IP address and port.
	Address string
	// Token is sent as a bearer credential; "" sends none.
	Token string
	// Timeout bounds a call of Do.
	Timeout time.Duration
	// Silence bounds the time without any byte on a call of Open.
	Silence time.Duration
	// MaxResponseBytes bounds a response body of Do and Fetch.
	MaxResponseBytes int
	// MaxConns bounds the connections that Do keeps open.
	MaxConns int
	// Dial opens a connection; the default is TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

func (c Config) withDefaults() Config {
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.Silence <= 0 {
		c.Silence = DefaultSilence
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

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}
