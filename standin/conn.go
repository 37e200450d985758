package standin

import (
	"context"
	"net"
	"sync/atomic"
)

// conn is a server's side of a connection that can go silent: it stays open,
// but nothing that either side sends arrives any more.
type conn struct {
	net.Conn
	silent atomic.Bool
	forget func(*conn)
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.forget(c)
	return c.Conn.Close()
}

type connKey struct{}

func withConn(ctx context.Context, c *conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(ctx context.Context) (*conn, bool) {
	c, ok := ctx.Value(connKey{}).(*conn)
	return c, ok
}

// goSilent silences the connection of a call. A call without a connection, made
// in the same process, blocks until its context ends.
func goSilent(ctx context.Context) {
	if c, ok := connOf(ctx); ok {
		c.silent.Store(true)
		return
	}
	<-ctx.Done()
}

// dropConn closes the connection of a call, if it has one.
func dropConn(ctx context.Context) {
	if c, ok := connOf(ctx); ok {
		_ = c.Close()
	}
}
