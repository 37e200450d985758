package roster

import (
	"context"
	"net"
	"time"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Address is the IP address and port of the list.
	Address string
	// Token is the bearer token; "" sends none.
	Token string
	// Timeout bounds a call. Default 2 s.
	Timeout time.Duration
	// Dial opens a connection. Default TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}
