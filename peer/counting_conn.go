package peer

import (
	"net"

	metrics "github.com/rcrowley/go-metrics"
)

// countingConn counts the bytes sent and received on a connection, excluding TCP and IP headers.
type countingConn struct {
	net.Conn
	sent, received metrics.Counter
}

func countBytes(conn net.Conn, registry metrics.Registry) net.Conn {
	return &countingConn{
		Conn:     conn,
		sent:     metrics.GetOrRegisterCounter("peer_sent_bytes_total", registry),
		received: metrics.GetOrRegisterCounter("peer_received_bytes_total", registry),
	}
}

// Read implements net.Conn.
func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.sent.Inc(int64(n))
	return n, err
}
