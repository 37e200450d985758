package upstream

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"knapweedhoist/internal/socket"
)

// bufferBytes is the size of a connection's read buffer and of its write buffer. The read buffer must hold the header
// section of a response, which takes a few hundred bytes.
const bufferBytes = 4096

// conn is one connection to an endpoint. It has one owner at a time: an exchange or the Pool.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// reusableUntil is the time until which an idle connection may be used again.
	reusableUntil time.Time
	// untimed is set while unacknowledgedTimeout is switched off.
	untimed bool
}

func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, bufferBytes), writer: bufio.NewWriterSize(raw, bufferBytes)}
}

// prepare sets the timeout for unacknowledged bytes for a request with a body of the given size.
func (c *conn) prepare(bodyBytes int) {
	untimed := bodyBytes > maxWindowBytes
	access, ok := c.Conn.(syscall.Conn)
	if !ok || untimed == c.untimed {
		return
	}
	raw, err := access.SyscallConn()
	if err != nil {
		return // the connection is closed, which the exchange reports
	}
	timeout := unacknowledgedTimeout
	if untimed {
		timeout = 0
	}
	if raw.Control(func(fd uintptr) { setUnacknowledgedTimeout(fd, timeout) }) == nil {
		c.untimed = untimed
	}
}

// abort resets the connection. The kernel then drops what it has not delivered, so that the endpoint does not get the rest
// of a request that was given up.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it, the connection is closed all the same
	}
	_ = c.Close()
}

// reusable reports whether the idle connection can carry another request: it has not expired, has no unread bytes and
// is still open. The socket is checked only if the connection gives access to it.
func (c *conn) reusable(now time.Time) bool {
	if c.reader.Buffered() > 0 || !now.Before(c.reusableUntil) {
		return false
	}
	return socket.Quiet(c.Conn)
}
