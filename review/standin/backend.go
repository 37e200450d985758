package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// backend is a stand-in of a server of a service. One goroutine serves each connection, one request at a time.
type backend struct {
	id, service, zone string
	rec               *recorder
	ln                net.Listener
	// handle answers a request and reports whether the connection stays open. It may be nil for answer200.
	handle func(b *backend, c *exchange) bool
	// onRequest is called for each request that arrives.
	onRequest func(c *exchange)

	mu      sync.Mutex
	conns   map[net.Conn]bool
	stopped atomic.Bool
	born    int64
	running atomic.Int32
}

// exchange is one request at a backend.
type exchange struct {
	at      time.Time
	request *http.Request
	body    []byte
	conn    net.Conn
	out     *bufio.Writer
}

func (c *exchange) id() string { return c.request.Header.Get("Request-Id") }

func (w *world) startBackend(id, service, zone string, handle func(*backend, *exchange) bool) (*backend, error) {
	ln, err := net.Listen("tcp4", "127.0.2.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		id: id, service: service, zone: zone, rec: w.rec, ln: ln, handle: handle, conns: make(map[net.Conn]bool),
		born: time.Now().UnixMilli(),
	}
	if handle == nil {
		b.handle = (*backend).answer200
	}
	w.backends = append(w.backends, b)
	go b.accept()
	return b, nil
}

// entry is what the server writes to the store.
func (b *backend) entry() map[string]any {
	return map[string]any{
		"Service": b.service, "Address": b.ln.Addr().String(), "Zone": b.zone, "Version": "v1", "Slots": 64, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": 1, "born": b.born,
	}
}

func (b *backend) accept() {
	for {
		conn, err := b.ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[conn] = true
		b.mu.Unlock()
		go b.serve(conn)
	}
}

func (b *backend) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
	}()
	in, out := bufio.NewReader(conn), bufio.NewWriter(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		c := &exchange{at: time.Now(), request: request, body: body, conn: conn, out: out}
		if target := request.Header.Get("Target-Instance"); target != "" && target != b.id {
			_, _ = fmt.Fprintf(out, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", b.id, c.id())
			if out.Flush() != nil {
				return
			}
			continue
		}
		if b.onRequest != nil {
			b.onRequest(c)
		}
		b.running.Add(1)
		keep := b.handle(b, c)
		b.running.Add(-1)
		if !keep {
			return
		}
	}
}

// answer200 answers after 15 ms of work.
func (b *backend) answer200(c *exchange) bool {
	time.Sleep(15 * time.Millisecond)
	return b.write200(c, "ok "+c.id()+"\n")
}

func (b *backend) write200(c *exchange, body string) bool {
	_, _ = fmt.Fprintf(c.out, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nServer-Load: %d,0,64\r\nContent-Length: %d\r\n\r\n%s",
		c.id(), b.id, b.running.Load(), len(body), body)
	return c.out.Flush() == nil
}

// exit ends the server as its process's end does: it stops listening and resets its connections.
func (b *backend) exit() {
	if b.stopped.Swap(true) {
		return
	}
	_ = b.ln.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}
