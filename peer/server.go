package peer

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// acceptRetryDelay is the delay after a failed accept, for example when no file descriptor is free.
const acceptRetryDelay = 50 * time.Millisecond

// Server accepts the sessions of peers and passes their calls to a Handler.
type Server struct {
	lg      *slog.Logger
	cfg     Config
	handler Handler

	mu        sync.Mutex // guards listeners, conns and closed
	listeners map[net.Listener]struct{}
	conns     map[net.Conn]struct{}
	closed    bool
	running   sync.WaitGroup // one per accepted connection
}

// NewServer returns a Server that passes calls to handler, or an error that wraps ErrInvalidConfig.
func NewServer(lg *slog.Logger, cfg Config, handler Handler) (*Server, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Server{
		lg: lg, cfg: cfg, handler: handler,
		listeners: make(map[net.Listener]struct{}), conns: make(map[net.Conn]struct{}),
	}, nil
}

// Serve accepts connections until the server is closed, and then returns nil. If the server was closed before the call,
// Serve returns an error that wraps ErrClosed.
func (s *Server) Serve(listener net.Listener) error {
	if !s.addListener(listener) {
		return stepError("peer/serve", "", ErrClosed)
	}
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.lg.Warn("accepting a peer connection failed; retrying", "step", "peer/accept", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.accept(conn)
	}
}

// Close closes all listeners and sessions and waits for the goroutines of the sessions.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	for listener := range s.listeners {
		_ = listener.Close()
	}
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
	return nil
}

func (s *Server) addListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.listeners[listener] = struct{}{}
	return true
}

// accept starts a session unless the server is closed or has reached MaxSessions.
func (s *Server) accept(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.cfg.MaxSessions {
		metrics.GetOrRegisterCounter("peer_sessions_refused_total", s.cfg.Metrics).Inc(1)
		_ = conn.Close()
		return
	}
	s.conns[conn] = struct{}{}
	s.running.Add(1)
	go s.serveConn(conn)
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.running.Done()
	defer s.closeConn(conn)
	session, err := acceptSession(s.lg, s.cfg, s.handler, countBytes(conn, s.cfg.Metrics))
	if err != nil {
		metrics.GetOrRegisterCounter("peer_sessions_refused_total", s.cfg.Metrics).Inc(1)
		s.lg.Warn("peer session refused", "step", "peer/handshake", "peer", conn.RemoteAddr().String(), "error", err)
		return
	}
	session.run()
}

func (s *Server) closeConn(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}
