package engine

import (
	"context"
	"net"
	"time"
)

// ClientConfig holds the address, credential and limits of a Client.
type ClientConfig struct {
	// Address is the engine's IP address and port.
	Address string
	// Token is the bearer token of each call; "" sends none.
	Token string
	// Timeout bounds a call other than a stream. Default 2 s.
	Timeout time.Duration
	// IdleTimeout bounds the time without any byte on a stream. Default 6 s.
	IdleTimeout time.Duration
	// MaxConns bounds the open connections other than those of streams. Default 256.
	MaxConns int
	// Dial opens a connection; the default is TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}
