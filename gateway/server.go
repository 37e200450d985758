// Package gateway serves the HTTP API for callers: completions, calls to plain
// services, re-attaching to requests, and health checks. It authenticates,
// admits and registers requests, hands them to a Starter, and writes their
// answers from the events of the registry or of another instance.
package gateway

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/boundedbuffer"
	"knapweedhoist/request"
	"knapweedhoist/timeline"
)

// Starter starts admitted requests. Start must not block until the request ends.
type Starter interface {
	Start(entry *request.Entry)
}

// Deps holds the dependencies of a Server.
type Deps struct {
	Directory Directory
	Admitter  Admitter
	Registry  *request.Registry
	// Remote attaches to requests of other instances.
	Remote   request.Attacher
	Starter  Starter
	Recorder timeline.Recorder
}

// Server is the HTTP server for callers. It is safe for concurrent use.
type Server struct {
	lg   *slog.Logger
	cfg  Config
	deps Deps
	http *fasthttp.Server
	// bodies bounds the memory of the bodies that are being read.
	bodies *boundedbuffer.Memory

	// ready is the last value passed to SetReady.
	ready atomic.Bool
	// draining is set by Drain and never cleared.
	draining atomic.Bool
}

// NewServer returns a Server that is not ready yet.
func NewServer(lg *slog.Logger, cfg Config, deps Deps) *Server {
	s := &Server{lg: lg, cfg: cfg.withDefaults(), deps: deps}
	s.bodies = boundedbuffer.NewMemory(s.cfg.MaxBodyMemory)
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.handleError,
		Name:                         "knapweedhoist",
		Concurrency:                  s.cfg.MaxConnections,
		ReadBufferSize:               s.cfg.MaxHeaderBytes,
		MaxRequestBodySize:           s.cfg.MaxBodyBytes,
		StreamRequestBody:            true, // readBody bounds the memory
		ReadTimeout:                  s.cfg.ReadTimeout,
		WriteTimeout:                 s.cfg.WriteTimeout,
		IdleTimeout:                  s.cfg.IdleTimeout,
		DisablePreParseMultipartForm: true,
		// Releases the write buffers of idle connections; read buffers are kept with StreamRequestBody.
		ReduceMemoryUsage:     true,
		SecureErrorLogMessage: true,
		CloseOnShutdown:       true,
		Logger:                httpLogger{lg: lg},
	}
	return s
}

// Serve accepts connections on listener until Shutdown, and then returns nil. It
// returns an error if the listener fails earlier.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(listener)
}

// SetReady sets whether new work is accepted, unless the server drains.
func (s *Server) SetReady(ready bool) {
	s.ready.Store(ready)
}

// Drain makes the server reject new work from now on; it cannot be undone. Requests
// in progress continue, and callers can still re-attach.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Shutdown calls Drain, closes the listener and waits until the last answer has
// been written. It returns the error of ctx if ctx ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	return s.http.ShutdownWithContext(ctx)
}

// acceptsWork reports whether new work is accepted.
func (s *Server) acceptsWork() bool {
	return s.ready.Load() && !s.draining.Load()
}

// notAcceptingRetryAfter is the Retry-After of new work that the instance rejects because it drains
// or is not ready. By then the load balancer routes it to another instance.
const notAcceptingRetryAfter = time.Second
