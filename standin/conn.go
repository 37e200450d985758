package standin

import (
	"context"
	"io"
	"net"
	"sync/atomic"
)

// conn is the server side of a connection that can be silenced: it stays
// open, but the data that either side sends is discarded.
type conn struct {
	net.Conn
	silenced atomic.Bool
	untrack  func(*conn)
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silenced.Load() {
			return n, err
		}
	}
}

func (c *conn) Write(p []byte) (int, error) {
	if c.silenced.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection. A silenced one stays open until the caller
// closes its side, because the caller would not receive the FIN either.
func (c *conn) Close() error {
	if !c.silenced.Load() {
		return c.closeNow()
	}
	go func() {
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.closeNow()
	}()
	return nil
}

// closeNow closes the connection even when it is silenced.
func (c *conn) closeNow() error {
	c.untrack(c)
	return c.Conn.Close()
}

type connKey struct{}

func withConn(ctx context.Context, c *conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connFromContext(ctx context.Context) (*conn, bool) {
	c, ok := ctx.Value(connKey{}).(*conn)
	return c, ok
}

// silenceConn marks the connection of a call as silenced and returns true. A
// call without a connection, made in the same process, blocks until its context
// is done and returns false.
func silenceConn(ctx context.Context) bool {
	if c, ok := connFromContext(ctx); ok {
		c.silenced.Store(true)
		return true
	}
	<-ctx.Done()
	return false
}

// closeConn closes the connection of a call, if it has one. A silenced one stays open.
func closeConn(ctx context.Context) {
	if c, ok := connFromContext(ctx); ok && !c.silenced.Load() {
		_ = c.closeNow()
	}
}
