package gateway

import (
	"net/http"
	"strings"

	"github.com/valyala/fasthttp"
)

// Paths that a Server serves.
const (
	pathCompletions = "/v1/chat/completions"
	prefixRequests  = "/v1/requests/"
	prefixServices  = "/services/"
	pathHealth      = "/healthz"
	pathReady       = "/readyz"
)

// handle routes a request. It recovers a panic, which would otherwise end the process; a panic while a streamed answer
// is written is not covered.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	defer s.recoverPanic(ctx)
	if p := s.route(ctx); p != nil {
		p.write(ctx)
	}
}

func (s *Server) route(ctx *fasthttp.RequestCtx) *problem {
	path := string(ctx.URI().PathOriginal())
	switch {
	case path == pathHealth:
		ctx.SetBodyString("ok\n")
		return nil
	case path == pathReady:
		return s.serveReady(ctx)
	case ctx.Request.Header.Len() > s.cfg.MaxHeaderFields:
		return notRunProblem(http.StatusRequestHeaderFieldsTooLarge, "read", "too many header fields")
	case path == pathCompletions:
		return s.serveCompletion(ctx)
	case strings.HasPrefix(path, prefixRequests):
		return s.serveReattach(ctx, strings.TrimPrefix(path, prefixRequests))
	case strings.HasPrefix(path, prefixServices):
		return s.serveServiceCall(ctx, strings.TrimPrefix(path, prefixServices))
	default:
		return notRunProblem(http.StatusNotFound, "route", "unknown path")
	}
}

func (s *Server) serveReady(ctx *fasthttp.RequestCtx) *problem {
	if !s.acceptsWork() {
		return notRunProblem(http.StatusServiceUnavailable, "ready", "the instance takes no new work")
	}
	ctx.SetBodyString("ready\n")
	return nil
}

// recoverPanic recovers a panic of the handler, responds with status 500, and has the connection closed after the
// response.
func (s *Server) recoverPanic(ctx *fasthttp.RequestCtx) {
	cause := recover()
	if cause == nil {
		return
	}
	s.lg.Error("recovered a panic in a request handler", "step", "handle", "cause", cause)
	p := &problem{Status: http.StatusInternalServerError, Outcome: "unknown", Step: "handle"}
	p.write(ctx)
	ctx.SetConnectionClose()
}
