package forward

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Server is the front door for a platform's routes.
type Server struct {
	cfg      Config
	deps     Deps
	http     *fasthttp.Server
	draining atomic.Bool
	refusing atomic.Bool
}

// NewServer returns a Server that accepts nothing yet.
func NewServer(cfg Config, deps Deps) *Server {
	s := &Server{cfg: cfg.withDefaults(), deps: deps}
	s.http = &fasthttp.Server{
		Handler:                       s.handle,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		MaxRequestBodySize:            s.cfg.MaxBodyBytes,
		ReadBufferSize:                readBufferBytes,
		ReadTimeout:                   s.cfg.ReadTimeout,
		IdleTimeout:                   s.cfg.IdleTimeout,
		WriteTimeout:                  0, // a stream may last longer than any one write
		DisablePreParseMultipartForm:  true,
		DisableHeaderNamesNormalizing: false,
		Logger:                        quietLogger{},
	}
	return s
}

// readBufferBytes bounds a request's header: twice the 16 KiB that platforms of today allow.
const readBufferBytes = 33 << 10

// quietLogger drops the library's own lines: they tell of callers that sent no request.
type quietLogger struct{}

// Printf implements fasthttp.Logger.
func (quietLogger) Printf(string, ...any) {}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	return s.http.Serve(listener{ln})
}

// Drain makes every further answer the last one on its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Refuse turns away every further request, which reaches no endpoint.
func (s *Server) Refuse() { s.refusing.Store(true) }

// Shutdown closes the listener and idle connections and waits for requests in progress until the end of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}

// InProgress returns the number of requests that are not answered yet.
func (s *Server) InProgress() int { return int(s.deps.Metrics.InProgress.Count()) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	e := s.newExchange(ctx)
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
	if s.refusing.Load() {
		e.refuse(&refusal{status: fasthttp.StatusServiceUnavailable, reason: "instance is stopping", retryAfter: minRetryAfter})
		return
	}
	if refusal := e.admit(); refusal != nil {
		e.refuse(refusal)
		return
	}
	s.deps.Metrics.InProgress.Inc(1)
	e.watchCaller()
	answer, err := e.offer()
	switch {
	case err != nil:
		e.fail(err)
	case answer.events != nil:
		e.respondStream(answer)
		return // the stream ends the exchange when it is closed
	default:
		e.respondWhole(answer)
	}
	e.end()
}

// newExchange reads the request. Nothing of ctx may be used after the answer was written.
func (s *Server) newExchange(ctx *fasthttp.RequestCtx) *exchange {
	now := time.Now()
	e := &exchange{
		server: s, ctx: ctx, arrived: now,
		view:    s.deps.State.View(),
		request: s.deps.Dialect.DecodeRequest(&ctx.Request.Header),
		tried:   make(map[string]bool),
	}
	e.context, e.cancel = context.WithCancel(context.Background())
	return e
}

// errCallerGone is the cause of a cancelled exchange.
var errCallerGone = errors.New("caller closed the connection")
