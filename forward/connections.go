package forward

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// ConnectionBytes is the memory in bytes that one connection of a caller may take: the read buffer of the HTTP server in the
// allocator's size (40 KiB), its write buffer, state and stack (16 KiB), and while a request is in progress the buffers that the bounds of
// bodies and answers leave out (2 x 16 KiB) and a connection to an endpoint (12 KiB).
const ConnectionBytes = 100 << 10

// connections holds the open connections of callers. It is safe for concurrent use.
type connections struct {
	// limit is the number of connections above which the one that has waited longest for a request is closed, 0 for none.
	limit int

	mu   sync.Mutex
	open map[net.Conn]*callerConn
	// idle lists the *callerConn without a request, the one that has waited longest first.
	idle list.List
}

// callerConn is the state of one connection.
type callerConn struct {
	conn net.Conn
	// idle is the element in connections.idle, nil while a request is in progress. since is when it was added.
	idle  *list.Element
	since time.Time
	// surplus is set if the limit was reached when the connection was accepted, and none was idle.
	surplus bool
}

// observe records a change of a connection's state. It implements fasthttp.Server.ConnState.
func (c *connections) observe(conn net.Conn, state fasthttp.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.open[conn]
	if known == nil {
		if c.open == nil {
			c.open = make(map[net.Conn]*callerConn)
		}
		known = &callerConn{conn: conn}
		c.open[conn] = known
	}
	if known.idle != nil {
		c.idle.Remove(known.idle)
		known.idle = nil
	}
	switch state {
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(c.open, conn)
		return
	case fasthttp.StateNew:
		known.surplus = c.limit > 0 && len(c.open) > c.limit && !c.closeLongestIdle()
	case fasthttp.StateActive:
		return
	}
	if client, ok := conn.(*clientConn); ok {
		client.received.Store(false)
	}
	known.since = time.Now()
	known.idle = c.idle.PushBack(known)
}

// closeLongestIdle lets the connection that has waited longest for a request be closed. It returns false if there is none.
func (c *connections) closeLongestIdle() bool {
	for element := c.idle.Front(); element != nil; element = element.Next() {
		if closeIdle(element) {
			return true
		}
	}
	return false
}

// closeIdle lets a connection be closed. It returns false if that has begun before, or if bytes have arrived.
func closeIdle(element *list.Element) bool {
	client, ok := element.Value.(*callerConn).conn.(*clientConn)
	return ok && client.closeIdle()
}

// closeAllIdle lets the connections without a request be closed and returns the number of those that are still open. A
// connection with unread bytes is kept: a busy process may not have read a request that arrived a while ago.
func (c *connections) closeAllIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for element := c.idle.Front(); element != nil; element = element.Next() {
		closeIdle(element)
	}
	return len(c.open)
}

// closeIdleSince lets the connections be closed that have waited for a request since before. It repeats this for those that
// were to be closed earlier, since the HTTP server may have taken the interruption back by a deadline of its own.
func (c *connections) closeIdleSince(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for element := c.idle.Front(); element != nil; element = element.Next() {
		known := element.Value.(*callerConn)
		client, ok := known.conn.(*clientConn)
		if known.since.Before(before) || ok && client.ending.Load() {
			closeIdle(element)
		}
	}
}

// isSurplus reports whether a connection was accepted above the limit.
func (c *connections) isSurplus(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.open[conn]
	return known != nil && known.surplus
}

// count returns the number of open connections.
func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}
