package standin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxBodyBytes limits the request body of every stand-in. It is the maximum of
	// catalog.Service.MaxBodyBytes; the largest object value in base64 also fits.
	maxBodyBytes = 16 << 20
	// serverReadTimeout limits the time to read a request and the time that a connection is idle.
	serverReadTimeout = 60 * time.Second
)

// ErrNotLoopback is returned by Start for an address that is not a loopback IP address with a port, since
// other machines might reach it.
var ErrNotLoopback = errors.New("standin: not a loopback address")

// handler handles one request. Its context ends when the server closes.
type handler func(ctx context.Context, rc *fasthttp.RequestCtx)

// Server is the HTTP server of a stand-in. It can be started again after Close.
type Server struct {
	lg     *slog.Logger
	name   string
	handle handler

	mu        sync.Mutex // guards the fields below
	listener  net.Listener
	cancel    context.CancelFunc
	serveDone chan struct{}
	conns     map[*conn]struct{}
}

func newServer(lg *slog.Logger, name string, handle handler) *Server {
	return &Server{lg: lg, name: name, handle: handle, conns: make(map[*conn]struct{})}
}

// Start listens on addr, a loopback IP address with a port; port 0 selects a free port.
func (s *Server) Start(addr string) error {
	if err := checkLoopback(addr); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("standin %s: %w", s.name, err)
	}
	s.serve(ln)
	s.lg.Debug("stand-in listening", "name", s.name, "address", ln.Addr().String())
	return nil
}

func (s *Server) serve(ln net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	serveDone := make(chan struct{})
	s.mu.Lock()
	s.listener, s.cancel, s.serveDone = ln, cancel, serveDone
	s.mu.Unlock()
	server := &fasthttp.Server{
		Handler:               s.requestHandler(ctx),
		Name:                  s.name,
		ReadTimeout:           serverReadTimeout,
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		Logger:                debugLogger{s.lg},
	}
	go func() {
		defer close(serveDone)
		_ = server.Serve(trackingListener{Listener: ln, server: s})
	}()
}

func (s *Server) requestHandler(base context.Context) fasthttp.RequestHandler {
	return func(rc *fasthttp.RequestCtx) {
		ctx := base
		if c, ok := rc.Conn().(*conn); ok {
			ctx = withConn(base, c)
		}
		s.handle(ctx, rc)
	}
}

// Addr returns the listen address, or "" when the server is closed.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Close stops listening and closes every connection immediately, as the crash of a
// process would. Every call of Close, also a concurrent one, returns only after the
// server has stopped accepting connections.
func (s *Server) Close() error {
	s.mu.Lock()
	ln, cancel, serveDone := s.listener, s.cancel, s.serveDone
	s.listener = nil
	s.mu.Unlock()
	if ln == nil {
		if serveDone != nil {
			<-serveDone
		}
		return nil
	}
	cancel()
	err := ln.Close()
	for _, c := range s.openConns() {
		_ = c.closeNow()
	}
	<-serveDone
	return err
}

// SilenceOpenConnections discards all further data in both directions on the open connections, without closing
// them, and returns their number. New connections work.
func (s *Server) SilenceOpenConnections() int {
	open := s.openConns()
	for _, c := range open {
		c.silenced.Store(true)
	}
	return len(open)
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

func (s *Server) track(raw net.Conn) (*conn, bool) {
	c := &conn{Conn: raw, untrack: s.untrack}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return nil, false
	}
	s.conns[c] = struct{}{}
	return c, true
}

func (s *Server) untrack(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func checkLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotLoopback, err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%w: %s", ErrNotLoopback, addr)
	}
	return nil
}
