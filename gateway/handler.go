package gateway

import (
	"net/http"
	"strings"

	"github.com/valyala/fasthttp"
)

// Paths of the callers' side.
const (
	pathCompletions = "/v1/chat/completions"
	prefixRequests  = "/v1/requests/"
	prefixServices  = "/services/"
	pathHealth      = "/healthz"
	pathReady       = "/readyz"
)

// handle routes a request. A panic in one request does not reach others.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	defer s.recover(ctx)
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
		return s.answerReady(ctx)
	case ctx.Request.Header.Len() > s.cfg.MaxHeaders:
		return notRun(http.StatusRequestHeaderFieldsTooLarge, "read", "too many header fields")
	case path == pathCompletions:
		return s.complete(ctx)
	case strings.HasPrefix(path, prefixRequests):
		return s.reattach(ctx, strings.TrimPrefix(path, prefixRequests))
	case strings.HasPrefix(path, prefixServices):
		return s.callService(ctx, strings.TrimPrefix(path, prefixServices))
	default:
		return notRun(http.StatusNotFound, "route", "unknown path")
	}
}

func (s *Server) answerReady(ctx *fasthttp.RequestCtx) *problem {
	if !s.takesWork() {
		return notRun(http.StatusServiceUnavailable, "ready", "the instance takes no new work")
	}
	ctx.SetBodyString("ready\n")
	return nil
}

func (s *Server) recover(ctx *fasthttp.RequestCtx) {
	cause := recover()
	if cause == nil {
		return
	}
	s.lg.Error("panic in a request", "step", "handle", "cause", cause)
	p := &problem{Status: http.StatusInternalServerError, Outcome: "unknown", Step: "handle"}
	p.write(ctx)
	ctx.SetConnectionClose()
}
