package forward

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// connections holds the open connections of callers. It is safe for concurrent use.
type connections struct {
	mu sync.Mutex
	// states holds the state of each open connection.
	states map[net.Conn]fasthttp.ConnState
}

// observe records a change of a connection's state. It implements fasthttp.Server.ConnState.
func (c *connections) observe(conn net.Conn, state fasthttp.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == fasthttp.StateClosed || state == fasthttp.StateHijacked {
		delete(c.states, conn)
		return
	}
	if c.states == nil {
		c.states = make(map[net.Conn]fasthttp.ConnState)
	}
	c.states[conn] = state
}

// closeIdle lets the connections without a request be closed and returns the number of those that are still open. A
// connection with unread bytes is kept: a busy process may not have read a request that arrived a while ago.
func (c *connections) closeIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, state := range c.states {
		client, ok := conn.(*clientConn)
		if ok && (state == fasthttp.StateIdle || state == fasthttp.StateNew) {
			client.closeIdle()
		}
	}
	return len(c.states)
}
