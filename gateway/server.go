// Package gateway is the callers' HTTP side: completions, calls of plain
// services, re-attaching to requests, and health.
package gateway

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/request"
	"knapweedhoist/timeline"
)

// Starter runs admitted requests to their end, without blocking the caller.
type Starter interface {
	Start(entry *request.Entry)
}

// Deps are what a Server needs from other packages.
type Deps struct {
	Directory Directory
	Admitter  Admitter
	Registry  *request.Registry
	// Remote gives the events of requests of other instances.
	Remote   request.Attacher
	Starter  Starter
	Recorder timeline.Recorder
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	lg   *slog.Logger
	cfg  Config
	deps Deps
	http *fasthttp.Server

	// ready: the instance takes new work.
	ready atomic.Bool
	// draining: the instance is leaving; it takes no new work any more.
	draining atomic.Bool
}

// NewServer returns a Server that is not ready yet.
func NewServer(lg *slog.Logger, cfg Config, deps Deps) *Server {
	s := &Server{lg: lg, cfg: cfg.withDefaults(), deps: deps}
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.handleError,
		HeaderReceived:               s.limits,
		Name:                         "knapweedhoist",
		Concurrency:                  s.cfg.MaxConnections,
		ReadBufferSize:               s.cfg.MaxHeaderBytes,
		MaxRequestBodySize:           s.cfg.MaxBodyBytes,
		ReadTimeout:                  s.cfg.ReadTimeout,
		WriteTimeout:                 s.cfg.WriteTimeout,
		IdleTimeout:                  s.cfg.IdleTimeout,
		DisablePreParseMultipartForm: true,
		// Gives the read buffer back while an answer is streamed: 16 KiB less for each open stream.
		ReduceMemoryUsage:     true,
		SecureErrorLogMessage: true,
		CloseOnShutdown:       true,
		Logger:                httpLogger{lg: lg},
	}
	return s
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(listener)
}

// SetReady tells whether the instance takes new work.
func (s *Server) SetReady(ready bool) {
	s.ready.Store(ready)
}

// Drain makes the server unready for good. Requests in progress continue, and
// callers can still re-attach.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Shutdown closes the listener and returns when the last answer has been
// written, or with the error of ctx. It implies Drain.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	return s.http.ShutdownWithContext(ctx)
}

// takesWork reports whether new work is accepted.
func (s *Server) takesWork() bool {
	return s.ready.Load() && !s.draining.Load()
}

// drainRetryAfter is what callers of a leaving instance get as Retry-After; by
// then the balancer sends them elsewhere.
const drainRetryAfter = time.Second
