package httpcall

import (
	"net"
	"time"
)

// progressConn fails a read or write that makes no progress for silence.
type progressConn struct {
	net.Conn
	silence time.Duration
}

func (c progressConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (c progressConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
