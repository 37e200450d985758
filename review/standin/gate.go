package main

import (
	"errors"
	"net"
	"sync"
	"time"
)

// gate is a listener whose open connections can go silent or be reset, while new ones work.
type gate struct {
	net.Listener
	mu    sync.Mutex
	conns map[*gatedConn]bool
}

func newGate(address string) (*gate, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return &gate{Listener: ln, conns: make(map[*gatedConn]bool)}, nil
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	conn, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	gated := &gatedConn{Conn: conn, gate: g, silenced: make(chan struct{}), ended: make(chan struct{})}
	g.mu.Lock()
	g.conns[gated] = true
	g.mu.Unlock()
	return gated, nil
}

// silence makes all open connections silent for good: nothing more is delivered in either direction, and neither side
// gets a reset. It returns their number.
func (g *gate) silence() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for conn := range g.conns {
		conn.silenceOnce.Do(func() { close(conn.silenced) })
	}
	return len(g.conns)
}

// cut closes all open connections.
func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for conn := range g.conns {
		_ = conn.Conn.Close()
	}
}

// gatedConn is a connection that its gate can silence.
type gatedConn struct {
	net.Conn
	gate        *gate
	silenced    chan struct{}
	silenceOnce sync.Once
	ended       chan struct{}
	endOnce     sync.Once
}

var errEnded = errors.New("connection ended")

func (c *gatedConn) isSilent() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

// Read implements net.Conn. What arrives on a silent connection is not delivered.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.ended
		return 0, errEnded
	}
	return n, err
}

// Write implements net.Conn. A silent connection loses what is written.
func (c *gatedConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. A silent connection stays open, so that the other side notices nothing, until the other side
// closes it or the run ends.
func (c *gatedConn) Close() error {
	c.endOnce.Do(func() { close(c.ended) })
	if c.isSilent() {
		go c.drain()
		return nil
	}
	return c.end()
}

func (c *gatedConn) drain() {
	buf := make([]byte, 4096)
	_ = c.SetDeadline(time.Time{})
	for {
		if _, err := c.Conn.Read(buf); err != nil {
			_ = c.end()
			return
		}
	}
}

func (c *gatedConn) end() error {
	c.gate.mu.Lock()
	delete(c.gate.conns, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}
