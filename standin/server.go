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
	// maxBodyBytes is the largest body that a plain service can be configured
	// for; it also holds the largest object value in base64.
	maxBodyBytes = 16 << 20
	// serverReadTimeout bounds a slow request and an idle connection.
	serverReadTimeout = 60 * time.Second
)

// ErrNotLoopback is returned when a stand-in is to listen beyond this machine.
var ErrNotLoopback = errors.New("standin: not a loopback address")

// handler answers one request. Its context ends when the server closes.
type handler func(ctx context.Context, rc *fasthttp.RequestCtx)

// Server is the HTTP side of a stand-in. It can be started again after Close.
type Server struct {
	lg     *slog.Logger
	name   string
	handle handler

	mu       sync.Mutex // guards the fields below
	listener net.Listener
	cancel   context.CancelFunc
	served   chan struct{}
	conns    map[*conn]struct{}
}

func newServer(lg *slog.Logger, name string, handle handler) *Server {
	return &Server{lg: lg, name: name, handle: handle, conns: make(map[*conn]struct{})}
}

// Start listens on addr, a loopback IP address with a port; port 0 chooses one.
func (s *Server) Start(addr string) error {
	if err := checkLoopback(addr); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("standin %s: %w", s.name, err)
	}
	s.serve(ln)
	s.lg.Debug("stand-in listens", "name", s.name, "address", ln.Addr().String())
	return nil
}

func (s *Server) serve(ln net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	s.mu.Lock()
	s.listener, s.cancel, s.served = ln, cancel, served
	s.mu.Unlock()
	server := &fasthttp.Server{
		Handler:               s.handler(ctx),
		Name:                  s.name,
		ReadTimeout:           serverReadTimeout,
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		Logger:                quietLogger{s.lg},
	}
	go func() {
		defer close(served)
		_ = server.Serve(trackingListener{Listener: ln, server: s})
	}()
}

func (s *Server) handler(base context.Context) fasthttp.RequestHandler {
	return func(rc *fasthttp.RequestCtx) {
		ctx := base
		if c, ok := rc.Conn().(*conn); ok {
			ctx = withConn(base, c)
		}
		s.handle(ctx, rc)
	}
}

// Addr returns the address listened on, or "" when the server is closed.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Close stops listening and closes every connection at once, as the end of the
// machine would. After it returns, also in a second caller, no connection is accepted.
func (s *Server) Close() error {
	s.mu.Lock()
	ln, cancel, served := s.listener, s.cancel, s.served
	s.listener = nil
	s.mu.Unlock()
	if ln == nil {
		if served != nil {
			<-served
		}
		return nil
	}
	cancel()
	err := ln.Close()
	for _, c := range s.open() {
		_ = c.closeNow()
	}
	<-served
	return err
}

// SilenceOpen makes all open connections silent; new ones work. It returns their number.
func (s *Server) SilenceOpen() int {
	open := s.open()
	for _, c := range open {
		c.blackholed.Store(true)
	}
	return len(open)
}

func (s *Server) open() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

func (s *Server) track(raw net.Conn) (*conn, bool) {
	c := &conn{Conn: raw, untrack: s.forget}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return nil, false
	}
	s.conns[c] = struct{}{}
	return c, true
}

func (s *Server) forget(c *conn) {
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
