package httpconn

import (
	"errors"
	"io"
	"net"
	"time"

	"knapweedhoist/internal/socket"
)

// ErrStale means that a request was not written, because the connection was closed by the server or has unread bytes, which
// would be taken for the response.
var ErrStale = errors.New("connection is closed or has unread bytes")

// acceptedWait is how long the end of a connection waits for a reset behind its FIN, while bytes of the request are not acknowledged.
const acceptedWait = 100 * time.Millisecond

// maxHeadBytes is the size from which on a header section is left to the client, whose own bound is smaller.
const maxHeadBytes = 32 << 10

// Conn is a connection of an HTTP client that reads the response to one request before it writes the next one. Reads fail with
// an error that wraps ErrInvalid at the header section of an invalid response, and with that of a reset, instead of io.EOF, behind a
// header section whose connection was reset. The first write of a later request may fail with ErrStale. It is not safe for concurrent
// use.
type Conn struct {
	net.Conn
	// awaiting is set from the first write of a request until the header section of its response is complete. head then holds
	// the part of it that was read.
	awaiting bool
	head     []byte
	// used is set from the first write on.
	used bool
	// acceptedWait is the constant of this name.
	acceptedWait time.Duration
}

// New returns a Conn for a connection that was just opened.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn, acceptedWait: acceptedWait} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.awaiting {
		if c.used && !socket.Quiet(c.Conn) {
			return 0, ErrStale
		}
		c.used, c.awaiting, c.head = true, true, nil
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.awaiting {
		if errors.Is(err, io.EOF) {
			err = c.checkEnd()
		}
		return n, err
	}
	c.head = append(c.head, p[:n]...)
	if invalid := c.checkHeads(); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// checkEnd returns io.EOF, or the error of a reset that the reads did not get.
func (c *Conn) checkEnd() error {
	if err := socket.CheckAccepted(c.Conn, c.acceptedWait); err != nil {
		return err
	}
	return io.EOF
}

// checkHeads checks the header sections that are complete. Those of informational responses precede that of the response.
func (c *Conn) checkHeads() error {
	for c.awaiting {
		length := HeadLength(c.head)
		if length == 0 && len(c.head) <= maxHeadBytes {
			return nil
		}
		if length == 0 {
			c.awaiting = false
			break
		}
		if err := CheckHead(c.head[:length]); err != nil {
			return err
		}
		c.awaiting = informational(c.head)
		c.head = c.head[length:]
	}
	c.head = nil
	return nil
}

// informational reports whether a header section is followed by that of another response.
func informational(head []byte) bool {
	status := statusCode(head)
	return len(status) == 3 && status[0] == '1'
}
