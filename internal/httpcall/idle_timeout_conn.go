package httpcall

import (
	"net"
	"time"
)

// idleTimeoutConn fails a read that receives no byte within idleTimeout, and a write that is not complete within it.
type idleTimeoutConn struct {
	net.Conn
	idleTimeout time.Duration
}

func (c idleTimeoutConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (c idleTimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
