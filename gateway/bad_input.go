package gateway

import (
	"errors"
	"net/http"

	"github.com/valyala/fasthttp"
)

// limits chooses the limits of a request once its header is read. Without a
// valid credential no body is read, so that strangers cost no memory.
func (s *Server) limits(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if _, p := s.authenticate(header); p != nil {
		return fasthttp.RequestConfig{MaxRequestBodySize: 1}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: s.cfg.MaxBodyBytes}
}

// handleError answers a request that could not be read.
func (s *Server) handleError(ctx *fasthttp.RequestCtx, err error) {
	s.readProblem(ctx, err).write(ctx)
}

func (s *Server) readProblem(ctx *fasthttp.RequestCtx, err error) *problem {
	var small *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &small):
		return notRun(http.StatusRequestHeaderFieldsTooLarge, "read", "the header is too large")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return s.bodyTooLarge(ctx)
	case errors.As(err, &timeout) && timeout.Timeout():
		return notRun(http.StatusRequestTimeout, "read", "the request did not arrive in time")
	default:
		return notRun(http.StatusBadRequest, "read", "the request is malformed or incomplete")
	}
}

// bodyTooLarge tells a caller without a valid credential of that instead.
func (s *Server) bodyTooLarge(ctx *fasthttp.RequestCtx) *problem {
	if len(ctx.Request.Header.Host()) == 0 {
		// fasthttp clears the header of a request whose body in chunks exceeds the limit, so that
		// it is not known here which of the two limits applied.
		return notRun(http.StatusRequestEntityTooLarge, "read",
			"the body is too large, or it is sent in chunks without a valid bearer key")
	}
	if _, p := s.authenticate(&ctx.Request.Header); p != nil {
		return p
	}
	return notRun(http.StatusRequestEntityTooLarge, "read", "the body is too large")
}
