package forward

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/dispatch"
	"knapweedhoist/internal/boundedbuffer"
	"knapweedhoist/internal/contain"
	"knapweedhoist/internal/wait"
)

// Server is the HTTP server for a platform's routes.
type Server struct {
	cfg      Config
	deps     Deps
	http     *fasthttp.Server
	conns    connections
	listener atomic.Pointer[listener] // set by Serve
	answers  *boundedbuffer.Memory
	bodies   *boundedbuffer.Memory
	// progress holds the accepted requests until their end.
	progress inProgress
	// startBy is the time until which requests wait for the start of the instance.
	startBy  time.Time
	draining atomic.Bool // set by Drain
	refusing atomic.Bool // set by Refuse
	cutting  atomic.Bool // set by Cut
}

// NewServer returns a Server that accepts connections once Serve is called.
func NewServer(cfg Config, deps Deps) *Server {
	s := &Server{cfg: cfg.withDefaults(), deps: deps.withDefaults()}
	s.startBy = time.Now().Add(s.cfg.StartWait)
	s.answers = boundedbuffer.NewMemory(s.cfg.MaxAnswerMemory)
	s.bodies = boundedbuffer.NewMemory(s.cfg.MaxBodyMemory)
	s.conns.limit = s.cfg.MaxConnections
	s.http = &fasthttp.Server{
		Handler:                       s.handle,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		MaxRequestBodySize:            s.cfg.MaxBodyBytes,
		StreamRequestBody:             true, // readBody bounds the memory
		ReadBufferSize:                readBufferBytes,
		ReadTimeout:                   s.cfg.ReadTimeout,
		IdleTimeout:                   maxIdleTimeout,
		WriteTimeout:                  0, // a stream may last longer than any fixed limit
		DisablePreParseMultipartForm:  true,
		DisableHeaderNamesNormalizing: false,
		Logger:                        discardLogger{},
		ConnState:                     s.conns.observe,
	}
	return s
}

// readBufferBytes bounds a request's header: twice the 16 KiB that today's platforms allow, plus 1 KiB.
const readBufferBytes = 33 << 10

// maxIdleTimeout is longer than any idle timeout of a configuration, which Sweep applies.
const maxIdleTimeout = 24 * time.Hour

// discardLogger drops the log lines of fasthttp, which report connections whose caller sent no valid request.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections from ln until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	wrapped := &listener{Listener: ln, readTimeout: s.cfg.ReadTimeout}
	s.listener.Store(wrapped)
	return s.http.Serve(wrapped)
}

// ServePeer serves the requests that another instance passes on over a connection, until it is closed.
func (s *Server) ServePeer(conn net.Conn) error {
	client := &clientConn{Conn: conn, readTimeout: s.cfg.ReadTimeout, fromPeer: true}
	s.conns.observe(client, fasthttp.StateNew)
	return s.http.ServeConn(client)
}

// Drain makes the Server close each connection after its next answer.
func (s *Server) Drain() { s.draining.Store(true) }

// Refuse makes the Server answer every further request with 503 without sending it to an endpoint.
func (s *Server) Refuse() { s.refusing.Store(true) }

// closeInterval is the time between two attempts of Shutdown to close idle connections.
const closeInterval = 50 * time.Millisecond

// Shutdown closes the listener and idle connections and waits until all connections are closed or ctx is done. A
// connection whose caller has sent bytes that are not read yet is not idle.
func (s *Server) Shutdown(ctx context.Context) error {
	if ln := s.listener.Load(); ln != nil {
		if err := ln.Close(); err != nil {
			s.deps.Log.Warn("listener for callers not closed", "error", err.Error())
		}
	}
	return s.awaitConnections(ctx)
}

// Cut ends all requests in progress: those without an answer are answered with 502, or with 503 if they were not sent, and
// streams break off. It must be called after Shutdown, and waits as Shutdown does.
func (s *Server) Cut(ctx context.Context) error {
	s.cutting.Store(true)
	s.progress.cancel()
	return s.awaitConnections(ctx)
}

// awaitConnections closes idle connections until none is open or ctx is done.
func (s *Server) awaitConnections(ctx context.Context) error {
	for s.conns.closeAllIdle() > 0 {
		if !wait.For(ctx, closeInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// InProgress returns the number of requests that were accepted and have not ended; a stream counts until its end.
func (s *Server) InProgress() int { return int(s.deps.Metrics.InProgress.Count()) }

// maxListedRequests is the largest number of request ids that RequestsInProgress returns.
const maxListedRequests = 50

// RequestsInProgress returns the ids of at most 50 of the requests that InProgress counts.
func (s *Server) RequestsInProgress() []string { return s.progress.ids(maxListedRequests) }

// Sweep closes the connections of callers that have been idle for the time of the configuration in force. The caller invokes
// it about once a second.
func (s *Server) Sweep(now time.Time) {
	timeout := s.cfg.IdleTimeout
	if config := s.deps.State.View().Config; config != nil && config.Limits.IdleTimeout > 0 {
		timeout = config.Limits.IdleTimeout
	}
	s.conns.closeIdleSince(now.Add(-timeout))
	s.deps.Metrics.Connections.Update(int64(s.conns.count()))
}

// AnswerMemory returns the memory of incomplete events and buffered answers in bytes, see Config.MaxAnswerMemory.
func (s *Server) AnswerMemory() int64 { return s.answers.Used() }

// BodyMemory returns the memory of request bodies in bytes, see Config.MaxBodyMemory.
func (s *Server) BodyMemory() int64 { return s.bodies.Used() }

// handle serves a request. A panic ends that request only.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	var e *exchange
	defer func() {
		if value := recover(); value != nil {
			s.endAfterPanic(ctx, e, contain.Error(s.deps.Log, "serve request", value))
		}
	}()
	e = s.newExchange(ctx)
	s.serve(ctx, e)
}

// endAfterPanic answers a request whose handler panicked. The answer is a refusal only if the request was not sent.
func (s *Server) endAfterPanic(ctx *fasthttp.RequestCtx, e *exchange, err error) {
	ctx.Response.Reset()
	ctx.SetConnectionClose()
	if e == nil || e.sends == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	} else {
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
	}
	s.deps.Metrics.Failed.Inc(1)
	if e == nil {
		return
	}
	if e.inFlight != nil {
		e.inFlight.Done(time.Now(), dispatch.Failed)
	}
	e.logOutcome("request failed", ctx.Response.StatusCode(), err)
	e.cancel()
	e.releaseBody()
	if e.accepted {
		e.release()
	}
}

func (s *Server) serve(ctx *fasthttp.RequestCtx, e *exchange) {
	if refusal := e.readBody(); refusal != nil {
		e.refuse(refusal)
		ctx.SetConnectionClose() // after refuse, which resets the response
		return
	}
	// A request has arrived when its body is complete, which may be seconds after its header.
	e.arrived, e.view = time.Now(), s.deps.State.View()
	if s.refusing.Load() {
		e.refuse(&refusal{
			status: fasthttp.StatusServiceUnavailable, reason: "instance is stopping", retryAfter: minRetryAfter, notPassedOn: e.fromPeer,
		})
		return
	}
	if e.fromPeer && (!s.started() || s.lostEndpoints()) {
		e.refuse(&refusal{status: fasthttp.StatusServiceUnavailable, reason: "no path to endpoints", retryAfter: retryAfterNoEndpoint, notPassedOn: true})
		return
	}
	if s.conns.isSurplus(ctx.Conn()) {
		e.refuse(&refusal{status: fasthttp.StatusServiceUnavailable, reason: "too many connections", retryAfter: minRetryAfter})
		ctx.SetConnectionClose() // after refuse, which resets the response
		return
	}
	s.awaitStart(e)
	if refusal := e.admit(); refusal != nil {
		e.refuse(refusal)
		return
	}
	s.deps.Metrics.InProgress.Inc(1)
	s.progress.add(e)
	e.accepted = true
	if s.cutting.Load() { // Cut may not have seen the exchange
		e.cancel()
	}
	e.watchCaller()
	answer, err := e.sendWithRetries()
	switch {
	case err != nil:
		e.fail(err)
	case answer.passedOn != nil:
		e.respondStream(answer, answer.passedOn)
		return // passedOnStream.Close releases the exchange
	case answer.stream != nil:
		e.respondStream(answer, answer.stream)
		return // eventStream.Close releases the exchange
	default:
		e.respondBuffered(answer)
	}
	e.release()
}

// started reports whether the instance has read what it needs to serve requests.
func (s *Server) started() bool {
	if s.deps.Started == nil {
		return true
	}
	select {
	case <-s.deps.Started:
		return true
	default:
		return false
	}
}

// awaitStart waits until the instance has read what it needs to serve the request, or until startBy.
//
// Load pattern: all instances are killed at once and restart while callers keep sending. A caller that is refused then comes
// back late, whereas the instance can serve its request a few hundred milliseconds after its start.
func (s *Server) awaitStart(e *exchange) {
	if s.started() {
		return
	}
	timer := time.NewTimer(time.Until(s.startBy))
	defer timer.Stop()
	select {
	case <-s.deps.Started:
		e.view = s.deps.State.View()
	case <-timer.C:
	}
}

// newExchange returns the exchange of a caller's request and decodes the request's header. ctx must not be used after
// the answer was written.
func (s *Server) newExchange(ctx *fasthttp.RequestCtx) *exchange {
	now := time.Now()
	e := &exchange{
		server: s, ctx: ctx, begunAt: now, arrived: now,
		view:    s.deps.State.View(),
		request: s.deps.Codec.DecodeRequest(&ctx.Request.Header),
		tried:   make(map[string]bool),
	}
	if client, ok := ctx.Conn().(*clientConn); ok {
		e.fromPeer = client.fromPeer
	}
	e.context, e.cancel = context.WithCancel(context.Background())
	e.copyHeader()
	return e
}

// errCallerClosed is the error of a request whose caller closed the connection before the end of the answer.
var errCallerClosed = errors.New("caller closed the connection")
