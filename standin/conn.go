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

// Close closes the connection. A silent one stays open until the caller closes
// its side, since the end would not reach the caller either.
func (c *conn) Close() error {
	if !c.silent.Load() {
		return c.kill()
	}
	go func() {
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.kill()
	}()
	return nil
}

// kill closes the connection even when it is silent.
func (c *conn) kill() error {
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

// goSilent silences the connection of a call and returns true. A call without
// a connection, made in the same process, blocks until its context ends.
func goSilent(ctx context.Context) bool {
	if c, ok := connOf(ctx); ok {
		c.silent.Store(true)
		return true
	}
	<-ctx.Done()
	return false
}

// dropConn closes the connection of a call, if it has one. A silent one stays open.
func dropConn(ctx context.Context) {
	if c, ok := connOf(ctx); ok && !c.silent.Load() {
		_ = c.kill()
	}
}
