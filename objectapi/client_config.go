package objectapi

import (
	"context"
	"net"
	"time"
)

// ClientConfig describes the object API that a Client calls.
type ClientConfig struct {
	// Address is the IP address and port of the object API.
	Address string
	// Token is the bearer credential; "" sends none.
	Token string
	// Timeout bounds a call other than a watch. Default 2 s.
	Timeout time.Duration
	// MaxConns bounds the open connections, watches not counted. Default 256.
	MaxConns int
	// Dial opens a connection; the default is TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}
