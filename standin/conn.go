package standin

import (
	"context"
	"io"
	"net"
	"sync/atomic"
)

// conn is a server's side of a connection that can go silent: it stays open,
// but nothing that either side sends arrives any more.
type conn struct {
	net.Conn
	blackholed atomic.Bool
	untrack func(*conn)
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.blackholed.Load() {
			return n, err
		}
	}
}

func (c *conn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection. A silent one stays open until the caller closes
// its side, since the end would not reach the caller either.
func (c *conn) Close() error {
	if !c.blackholed.Load() {
		return c.closeNow()
	}
	go func() {
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.closeNow()
	}()
	return nil
}

// closeNow closes the connection even when it is silent.
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

// blackhole silences the connection of a call and returns true. A call without
// a connection, made in the same process, blocks until its context ends.
func blackhole(ctx context.Context) bool {
	if c, ok := connFromContext(ctx); ok {
		c.blackholed.Store(true)
		return true
	}
	<-ctx.Done()
	return false
}

// closeConn closes the connection of a call, if it has one. A silent one stays open.
func closeConn(ctx context.Context) {
	if c, ok := connFromContext(ctx); ok && !c.blackholed.Load() {
		_ = c.closeNow()
	}
}
