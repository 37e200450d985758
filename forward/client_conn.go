package forward

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"knapweedhoist/internal/socket"
)

// clientConn detects that the caller closes the connection while its request is
// in progress, by reading one byte in the background. A byte that arrives
// belongs to the next request and is returned by the next Read.
type clientConn struct {
	net.Conn
	// readTimeout is Config.ReadTimeout, for the rest of a request that arrives while closeIdle waits.
	readTimeout time.Duration
	// fromPeer is set if the caller is another instance.
	fromPeer bool
	// ending is set while closeIdle interrupts the wait for the next request.
	ending atomic.Bool
	// received is set while a part of a request may have been read, until the connection waits for the next one.
	received atomic.Bool

	mu     sync.Mutex // guards peeked and done
	peeked []byte
	done   chan struct{} // closed when the background read has returned; nil without one
}

// listener wraps each accepted connection in a clientConn.
type listener struct {
	net.Listener
	readTimeout time.Duration
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, readTimeout: l.readTimeout}, nil
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
	n, err := c.Conn.Read(p)
	for c.ending.Load() {
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.received.Load() && socket.Quiet(c.Conn) {
			return 0, io.EOF // makes the HTTP server close the connection
		}
		c.ending.Store(false)
		_ = c.SetReadDeadline(time.Now().Add(c.readTimeout))
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			n, err = c.Conn.Read(p)
		}
	}
	if n > 0 {
		c.received.Store(true)
	}
	return n, err
}

// closeIdle makes the goroutine that waits for the next request close the connection, unless bytes have arrived. Closing it
// here could cut off a request that has been read and is not known as such yet. It returns false if that has begun before, or
// if bytes have arrived.
func (c *clientConn) closeIdle() bool {
	if c.received.Load() || c.hasPeeked() || !socket.Quiet(c.Conn) {
		return false
	}
	began := c.ending.CompareAndSwap(false, true)
	// The HTTP server may have set its own deadline since the last call.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	return began
}

// hasPeeked reports whether a byte of the next request was read in the background.
func (c *clientConn) hasPeeked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.peeked) > 0
}

// ended reports whether the caller has closed the connection, or its sending direction, after bytes that were all read. It must
// not be called during watch.
func (c *clientConn) ended() bool { return !c.hasPeeked() && socket.Ended(c.Conn) }

const (
	// lingerTimeout is how long a closed connection with unread bytes is kept for the caller to read the rest of its answer.
	lingerTimeout = 2 * time.Second
	// maxLingerBytes is the number of unread bytes that are discarded meanwhile: the rest of a body of the largest size.
	maxLingerBytes = 16 << 20
)

// Close implements net.Conn. The kernel resets a connection that is closed with unread bytes, and drops the part of the
// answer that it has not sent; Close therefore first ends only the sending direction and discards what arrives.
func (c *clientConn) Close() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if ok && !socket.Quiet(c.Conn) && half.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes) // ends with the caller's close or at the deadline
	}
	return c.Conn.Close()
}

// watch starts the background read, which calls onClose if the caller closes the
// connection before unwatch. A byte that arrives ends the read without calling
// onClose. It removes the read deadline of the HTTP server (Config.ReadTimeout), since
// an answer may take longer; the server sets it again for the next request.
func (c *clientConn) watch(onClose func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.peeked) > 0 {
		return
	}
	done := make(chan struct{})
	c.done = done
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		var buf [1]byte
		n, err := c.Conn.Read(buf[:])
		if n == 1 {
			c.mu.Lock()
			c.peeked = []byte{buf[0]}
			c.mu.Unlock()
			return
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			onClose()
		}
	}()
}

// unwatch interrupts the background read and waits for its end; afterwards Read may be called again.
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
