package engine

import (
	"context"
	"net"
	"time"
)

// ClientConfig describes the engine that a Client calls.
type ClientConfig struct {
	// Address is the engine's IP address and port.
	Address string
	// Token is the bearer credential; "" sends none.
	Token string
	// Timeout bounds a call other than a stream. Default 2 s.
	Timeout time.Duration
	// Silence bounds the time without any byte on a stream. Default 6 s.
	Silence time.Duration
	// MaxConns bounds the open connections, streams not counted. Default 256.
	MaxConns int
	// Dial opens a connection; the default is TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}
