package operator

import (
	"context"
	"log/slog"
	"net"
	"strings"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"
)

// Server serves the operators' API.
type Server struct {
	lg     *slog.Logger
	cfg    Config
	keys   keyring
	fleet  Fleet
	config Configuration
	events Timeline
	http   *fasthttp.Server
}

// NewServer returns a Server over the daemon's parts.
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

// Serve answers requests until the server is closed.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(listener)
}

// Close stops the server and waits for requests in progress until ctx ends.
func (s *Server) Close(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}

// handle routes a request. Health is open; everything else needs a credential.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/healthz":
		ctx.SetBodyString("ok\n")
		return
	case "/readyz":
		s.ready(ctx)
		return
	}
	operator, ok := s.keys.operator(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if !ok {
		writeProblem(ctx, Problem{
			Status: fasthttp.StatusUnauthorized, Step: "operator/authenticate",
			Detail: "missing or unknown bearer key", Next: "use the key of an operator's credential",
		})
		return
	}
	s.route(ctx, path, operator)
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	if err := s.fleet.Ready(); err != nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(err.Error() + "\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

func (s *Server) route(ctx *fasthttp.RequestCtx, path, operator string) {
	switch {
	case path == "/metrics":
		s.get(ctx, s.metrics)
	case strings.HasPrefix(path, "/debug/pprof"):
		pprofhandler.PprofHandler(ctx)
	case path == "/operator/v1/status":
		s.get(ctx, func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, fasthttp.StatusOK, s.fleet.Status()) })
	case path == "/operator/v1/endpoints":
		s.get(ctx, func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, fasthttp.StatusOK, s.fleet.Endpoints()) })
	case strings.HasPrefix(path, "/operator/v1/requests/"):
		s.get(ctx, s.request)
	case path == "/operator/v1/timeline":
		s.get(ctx, s.timeline)
	case path == "/operator/v1/drain":
		s.drain(ctx, operator)
	case path == "/operator/v1/config":
		s.get(ctx, func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, fasthttp.StatusOK, s.config.Document()) })
	case strings.HasPrefix(path, "/operator/v1/config/"):
		s.item(ctx, operator)
	case path == "/operator/v1/in-force":
		s.inForce(ctx, operator)
	case path == "/operator/v1/revision":
		s.get(ctx, s.revision)
	default:
		writeProblem(ctx, Problem{Status: fasthttp.StatusNotFound, Step: "operator/route", Detail: "no such path"})
	}
}

func (s *Server) get(ctx *fasthttp.RequestCtx, handler fasthttp.RequestHandler) {
	if !ctx.IsGet() {
		refuseMethod(ctx, "GET")
		return
	}
	handler(ctx)
}

func refuseMethod(ctx *fasthttp.RequestCtx, allowed string) {
	ctx.Response.Header.Set(fasthttp.HeaderAllow, allowed)
	writeProblem(ctx, Problem{
		Status: fasthttp.StatusMethodNotAllowed, Step: "operator/route", Detail: "allowed methods: " + allowed,
	})
}

func (s *Server) metrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4; charset=utf-8")
	WriteMetrics(ctx, s.cfg.Metrics)
}
