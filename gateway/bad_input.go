package gateway

import (
	"errors"
	"net/http"

	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/boundedbuffer"
)

// handleError writes the answer to a request that could not be read.
func (*Server) handleError(ctx *fasthttp.RequestCtx, err error) {
	readProblem(err).write(ctx)
}

func readProblem(err error) *problem {
	var small *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &small):
		return notRunProblem(http.StatusRequestHeaderFieldsTooLarge, "read", "the header is too large")
	case errors.Is(err, boundedbuffer.ErrTooLarge):
		return notRunProblem(http.StatusRequestEntityTooLarge, "read", "the body is too large")
	case errors.As(err, &timeout) && timeout.Timeout():
		return notRunProblem(http.StatusRequestTimeout, "read", "the request did not arrive in time")
	default:
		return notRunProblem(http.StatusBadRequest, "read", "the request is malformed or incomplete")
	}
}
