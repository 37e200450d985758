package forward

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// clientConn notices that the caller has closed the connection while its
// request is at work. A byte that arrives meanwhile belongs to the next request
// and is given to the next Read.
type clientConn struct {
	net.Conn

	mu     sync.Mutex
	peeked []byte
	done   chan struct{}
}

// listener wraps accepted connections in clientConn.
type listener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn}, nil
}

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.peeked) > 0 {
		n := copy(p, c.peeked)
		c.peeked = c.peeked[n:]
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(p)
}

// watch calls gone when the caller closes the connection, until unwatch.
func (c *clientConn) watch(gone func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.peeked) > 0 {
		return
	}
	done := make(chan struct{})
	c.done = done
	go func() {
		defer close(done)
		var one [1]byte
		n, err := c.Conn.Read(one[:])
		if n == 1 {
			c.mu.Lock()
			c.peeked = []byte{one[0]}
			c.mu.Unlock()
			return
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			gone()
		}
	}()
}

// unwatch ends watch; afterwards the connection may be read again.
func (c *clientConn) unwatch() {
	c.mu.Lock()
	done := c.done
	c.done = nil
	c.mu.Unlock()
	if done == nil {
		return
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-done
	_ = c.SetReadDeadline(time.Time{})
}
