package cloud

import (
	"context"
	"net"
	"time"
)

// ClientConfig describes the cloud API that a Client calls.
type ClientConfig struct {
	// Address is the IP address and port of the cloud API.
	Address string
	// Token is the bearer credential; "" sends none.
	Token string
	// Timeout bounds each call. Default 2 s.
	Timeout time.Duration
	// Dial opens a connection to address. Default TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}
