package gateway

import (
	"errors"
	"net/http"

	"github.com/valyala/fasthttp"
)

// requestLimits returns the limits of a request whose header has been read.
// Without a valid credential the body is limited to one byte, so that
// unauthenticated callers cannot use up memory; 0 would select the server's limit.
func (s *Server) requestLimits(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if _, p := s.authenticate(header); p != nil {
		return fasthttp.RequestConfig{MaxRequestBodySize: 1}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: s.cfg.MaxBodyBytes}
}

// handleError writes the answer to a request that could not be read.
func (s *Server) handleError(ctx *fasthttp.RequestCtx, err error) {
	s.readProblem(ctx, err).write(ctx)
}

func (s *Server) readProblem(ctx *fasthttp.RequestCtx, err error) *problem {
	var small *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &small):
		return notRunProblem(http.StatusRequestHeaderFieldsTooLarge, "read", "the header is too large")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return s.bodyTooLarge(ctx)
	case errors.As(err, &timeout) && timeout.Timeout():
		return notRunProblem(http.StatusRequestTimeout, "read", "the request did not arrive in time")
	default:
		return notRunProblem(http.StatusBadRequest, "read", "the request is malformed or incomplete")
	}
}

// bodyTooLarge returns the problem of a body above the limit. If the header is still
// available and its credential is not valid, it returns the authentication problem
// instead.
func (s *Server) bodyTooLarge(ctx *fasthttp.RequestCtx) *problem {
	if len(ctx.Request.Header.Host()) == 0 {
		// fasthttp clears the header of a request whose chunked body exceeds the limit, so that
		// it is not known here which limit of requestLimits applied.
		return notRunProblem(http.StatusRequestEntityTooLarge, "read",
			"the body is too large, or it is sent in chunks without a valid bearer key")
	}
	if _, p := s.authenticate(&ctx.Request.Header); p != nil {
		return p
	}
	return notRunProblem(http.StatusRequestEntityTooLarge, "read", "the body is too large")
}
