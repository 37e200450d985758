package standin

import (
	"bytes"
	"context"

	"github.com/valyala/fasthttp"
)

// loadPath is the path of load reports (GET). Every other request is a call to the service.
const loadPath = "/v1/load"

func (s *Service) serveHTTP(ctx context.Context, rc *fasthttp.RequestCtx) {
	if rc.IsGet() && string(rc.Path()) == loadPath {
		writeJSON(rc, fasthttp.StatusOK, s.Load())
		return
	}
	answer, err := s.Do(ctx, ServiceCall{
		Method: string(rc.Method()),
		Path:   string(rc.Path()),
		Key:    string(rc.Request.Header.Peek(HeaderIdempotencyKey)),
		Body:   bytes.Clone(rc.PostBody()),
	})
	if err != nil {
		closeConn(ctx)
		return
	}
	rc.SetStatusCode(answer.Status)
	rc.SetContentType("application/json")
	rc.SetBody(answer.Body)
	if answer.RetryAfter > 0 {
		setRetryAfter(rc, answer.RetryAfter)
	}
}
