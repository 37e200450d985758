package standin

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"knapweedhoist/engine"
)

func (e *Engine) serveHTTP(ctx context.Context, rc *fasthttp.RequestCtx) {
	path := string(rc.Path())
	switch {
	case rc.IsPost() && path == "/v1/chat/completions":
		e.serveStream(ctx, rc)
	case rc.IsDelete() && strings.HasPrefix(path, "/v1/requests/"):
		e.serveCancel(ctx, rc)
	case rc.IsPost() && path == "/v1/kv/export":
		e.serveExport(ctx, rc)
	case rc.IsPost() && path == "/v1/kv/import":
		e.serveImport(ctx, rc)
	case rc.IsGet() && strings.HasPrefix(path, "/v1/kv/"):
		e.serveHoldsKV(ctx, rc)
	case rc.IsGet() && path == "/v1/load":
		report, err := e.Load(ctx)
		writeEngineReply(rc, report, err)
	case rc.IsGet() && path == "/v1/cache-events":
		e.serveCacheEvents(ctx, rc)
	case rc.IsPost() && path == "/v1/orders":
		e.serveOrder(ctx, rc)
	default:
		writeProblem(rc, fasthttp.StatusNotFound, "no such call")
	}
}

func (e *Engine) serveCancel(ctx context.Context, rc *fasthttp.RequestCtx) {
	id := strings.TrimPrefix(string(rc.Path()), "/v1/requests/")
	attempt, err := rc.QueryArgs().GetUint("attempt")
	if err != nil {
		writeProblem(rc, fasthttp.StatusBadRequest, "attempt is a number")
		return
	}
	writeEngineReply(rc, nil, e.Cancel(ctx, id, attempt))
}

func (e *Engine) serveExport(ctx context.Context, rc *fasthttp.RequestCtx) {
	var body engine.ExportBody
	if !readJSON(rc, &body) {
		return
	}
	handle, err := e.ExportKV(ctx, body.ID, body.Attempt)
	writeEngineReply(rc, handle, err)
}

func (e *Engine) serveImport(ctx context.Context, rc *fasthttp.RequestCtx) {
	var handle engine.KVHandle
	if readJSON(rc, &handle) {
		writeEngineReply(rc, nil, e.ImportKV(ctx, handle))
	}
}

func (e *Engine) serveHoldsKV(ctx context.Context, rc *fasthttp.RequestCtx) {
	tokens, _ := rc.QueryArgs().GetUint("tokens")
	id := strings.TrimPrefix(string(rc.Path()), "/v1/kv/")
	writeEngineReply(rc, nil, e.HoldsKV(ctx, engine.KVHandle{ID: id, Tokens: tokens}))
}

func (e *Engine) serveCacheEvents(ctx context.Context, rc *fasthttp.RequestCtx) {
	from, err := strconv.ParseUint(string(rc.QueryArgs().Peek("from")), 10, 64)
	if err != nil {
		writeProblem(rc, fasthttp.StatusBadRequest, "from is a number")
		return
	}
	events, err := e.CacheEvents(ctx, from)
	writeEngineReply(rc, engine.CacheEventsBody{Events: events}, err)
}

func (e *Engine) serveOrder(ctx context.Context, rc *fasthttp.RequestCtx) {
	var order engine.Order
	if readJSON(rc, &order) {
		writeEngineReply(rc, nil, e.Order(ctx, order))
	}
}

// readJSON decodes the request body. On an error it answers 400 and returns false.
func readJSON(rc *fasthttp.RequestCtx, target any) bool {
	if err := json.Unmarshal(rc.PostBody(), target); err != nil {
		writeProblem(rc, fasthttp.StatusBadRequest, err.Error())
		return false
	}
	return true
}

func writeEngineReply(rc *fasthttp.RequestCtx, value any, err error) {
	var refused *engine.RefusedError
	switch {
	case err == nil && value == nil:
		writeJSON(rc, fasthttp.StatusOK, struct{}{})
	case err == nil:
		writeJSON(rc, fasthttp.StatusOK, value)
	case errors.Is(err, engine.ErrLeaving):
		writeJSON(rc, fasthttp.StatusServiceUnavailable, engine.ProblemBody{Error: err.Error(), Status: engine.StatusLeaving})
	case errors.As(err, &refused):
		writeRefused(rc, refused)
	case errors.Is(err, engine.ErrNotFound):
		writeProblem(rc, fasthttp.StatusNotFound, err.Error())
	case errors.Is(err, engine.ErrStaleFence):
		writeProblem(rc, fasthttp.StatusConflict, err.Error())
	default:
		writeProblem(rc, fasthttp.StatusBadGateway, err.Error())
	}
}

// writeRefused answers 429 with a Retry-After header if RetryAfter is positive, otherwise 400.
func writeRefused(rc *fasthttp.RequestCtx, refused *engine.RefusedError) {
	if refused.RetryAfter > 0 {
		writeThrottled(rc, refused.RetryAfter, refused.Reason)
		return
	}
	writeProblem(rc, fasthttp.StatusBadRequest, refused.Reason)
}
