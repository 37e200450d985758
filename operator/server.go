package operator

import (
	"context"
	"log/slog"
	"net"
	"strings"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"
)

// Server serves the HTTP API for operators.
type Server struct {
	lg     *slog.Logger
	cfg    Config
	keys   keyring
	fleet  Fleet
	config Configuration
	events Timeline
	http   *fasthttp.Server
}

// NewServer returns a Server that answers from fleet, config and events. It returns
// ErrInvalid if the credentials are missing or invalid.
func NewServer(lg *slog.Logger, cfg Config, fleet Fleet, config Configuration, events Timeline) (*Server, error) {
	keys, err := newKeyring(cfg.Credentials)
	if err != nil {
		return nil, err
	}
	s := &Server{lg: lg, cfg: cfg, keys: keys, fleet: fleet, config: config, events: events}
	s.http = &fasthttp.Server{
		Handler: s.handle, Name: "knapweedhoist", MaxRequestBodySize: maxBodyBytes, Concurrency: maxConnections,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: writeTimeout,
		NoDefaultServerHeader: true, Logger: slog.NewLogLogger(lg.Handler(), slog.LevelDebug),
	}
	return s, nil
}

// Serve accepts connections on listener until Close is called.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(listener)
}

// Close stops the server and waits for requests in progress to finish or ctx to end.
func (s *Server) Close(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}

// handle authenticates and routes a request. The health checks need no credential; all other paths do.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/healthz":
		ctx.SetBodyString("ok\n")
		return
	case "/readyz":
		s.handleReady(ctx)
		return
	}
	operator, ok := s.keys.authenticate(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if !ok {
		writeProblem(ctx, Problem{
			Status: fasthttp.StatusUnauthorized, Step: "operator/authenticate",
			Detail: "missing or unknown bearer key", Next: "use the key of an operator's credential",
		})
		return
	}
	s.route(ctx, path, operator)
}

// handleReady serves /readyz: status 503 and the reason if the instance does not accept new work.
func (s *Server) handleReady(ctx *fasthttp.RequestCtx) {
	if err := s.fleet.Ready(); err != nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(err.Error() + "\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// route dispatches an authenticated request by its path.
func (s *Server) route(ctx *fasthttp.RequestCtx, path, operator string) {
	switch {
	case path == "/metrics":
		s.getOnly(ctx, s.handleMetrics)
	case strings.HasPrefix(path, "/debug/pprof"):
		pprofhandler.PprofHandler(ctx)
	case path == "/operator/v1/status":
		s.getOnly(ctx, func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, fasthttp.StatusOK, s.fleet.Status()) })
	case path == "/operator/v1/endpoints":
		s.getOnly(ctx, func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, fasthttp.StatusOK, s.fleet.Endpoints()) })
	case strings.HasPrefix(path, "/operator/v1/requests/"):
		s.getOnly(ctx, s.handleRequest)
	case path == "/operator/v1/timeline":
		s.getOnly(ctx, s.handleTimeline)
	case path == "/operator/v1/drain":
		s.handleDrain(ctx, operator)
	case path == "/operator/v1/config":
		s.getOnly(ctx, func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, fasthttp.StatusOK, s.config.Document()) })
	case strings.HasPrefix(path, "/operator/v1/config/"):
		s.handleItem(ctx, operator)
	case path == "/operator/v1/in-force":
		s.handleInForce(ctx, operator)
	case path == "/operator/v1/revision":
		s.getOnly(ctx, s.handleRevision)
	default:
		writeProblem(ctx, Problem{Status: fasthttp.StatusNotFound, Step: "operator/route", Detail: "no such path"})
	}
}

// getOnly calls handler for a GET request and refuses other methods.
func (s *Server) getOnly(ctx *fasthttp.RequestCtx, handler fasthttp.RequestHandler) {
	if !ctx.IsGet() {
		refuseMethod(ctx, "GET")
		return
	}
	handler(ctx)
}

// refuseMethod responds with status 405 and the allowed methods.
func refuseMethod(ctx *fasthttp.RequestCtx, allowed string) {
	ctx.Response.Header.Set(fasthttp.HeaderAllow, allowed)
	writeProblem(ctx, Problem{
		Status: fasthttp.StatusMethodNotAllowed, Step: "operator/route", Detail: "allowed methods: " + allowed,
	})
}

// handleMetrics serves /metrics.
func (s *Server) handleMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4; charset=utf-8")
	WriteMetrics(ctx, s.cfg.Metrics)
}
