package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/objectapi"
)

const (
	objectsPath = "/v1/objects/"
	watchPath   = "/v1/watch/"
	// maxWatchWait bounds the wait of a long poll.
	maxWatchWait = 60 * time.Second
)

func (p *Platform) serveHTTP(ctx context.Context, rc *fasthttp.RequestCtx) {
	request, err := parsePlatform(rc)
	if err != nil {
		writeProblem(rc, fasthttp.StatusBadRequest, err.Error())
		return
	}
	reply, err := p.Do(ctx, request)
	writePlatform(rc, reply, err)
}

// parsePlatform reads the raw path, since names can contain escaped slashes.
func parsePlatform(rc *fasthttp.RequestCtx) (objectapi.Request, error) {
	path, _, _ := strings.Cut(string(rc.Request.Header.RequestURI()), "?")
	if rest, ok := strings.CutPrefix(path, watchPath); ok && rc.IsGet() {
		return parseWatch(rc, rest)
	}
	rest, ok := strings.CutPrefix(path, objectsPath)
	if !ok {
		return objectapi.Request{}, fmt.Errorf("%w: path", objectapi.ErrInvalid)
	}
	escapedKind, escapedName, named := strings.Cut(rest, "/")
	kind, kindErr := url.PathUnescape(escapedKind)
	name, nameErr := url.PathUnescape(escapedName)
	if err := errors.Join(kindErr, nameErr); err != nil {
		return objectapi.Request{}, fmt.Errorf("%w: %w", objectapi.ErrInvalid, err)
	}
	if !named {
		return parseList(rc, objectapi.Kind(kind))
	}
	return parseObject(rc, objectapi.Kind(kind), name)
}

func parseWatch(rc *fasthttp.RequestCtx, escapedKind string) (objectapi.Request, error) {
	kind, kindErr := url.PathUnescape(escapedKind)
	from, fromErr := strconv.ParseUint(string(rc.QueryArgs().Peek("from")), 10, 64)
	wait, waitErr := strconv.ParseUint(string(rc.QueryArgs().Peek("wait_ms")), 10, 31)
	if err := errors.Join(kindErr, fromErr, waitErr); err != nil {
		return objectapi.Request{}, fmt.Errorf("%w: %w", objectapi.ErrInvalid, err)
	}
	return objectapi.Request{
		Op: objectapi.OpWatch, Kind: objectapi.Kind(kind), From: objectapi.Version(from),
		Wait: min(time.Duration(wait)*time.Millisecond, maxWatchWait),
	}, nil
}

func parseList(rc *fasthttp.RequestCtx, kind objectapi.Kind) (objectapi.Request, error) {
	query := rc.QueryArgs()
	limit := 0
	if text := string(query.Peek("limit")); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return objectapi.Request{}, fmt.Errorf("%w: limit: %w", objectapi.ErrInvalid, err)
		}
		limit = int(parsed)
	}
	return objectapi.Request{
		Op: objectapi.OpList, Kind: kind, Name: string(query.Peek("prefix")),
		After: string(query.Peek("after")), Limit: limit,
	}, nil
}

func parseObject(rc *fasthttp.RequestCtx, kind objectapi.Kind, name string) (objectapi.Request, error) {
	request := objectapi.Request{Op: objectapi.OpGet, Kind: kind, Name: name}
	switch string(rc.Method()) {
	case fasthttp.MethodGet:
		return request, nil
	case fasthttp.MethodDelete:
		request.Op = objectapi.OpDelete
	case fasthttp.MethodPut:
		request.Op = objectapi.OpPut
		var body objectapi.PutBody
		if err := json.Unmarshal(rc.PostBody(), &body); err != nil {
			return request, fmt.Errorf("%w: %w", objectapi.ErrInvalid, err)
		}
		request.Value = body.Value
	default:
		return request, fmt.Errorf("%w: method", objectapi.ErrInvalid)
	}
	condition, err := parseCondition(rc)
	request.Condition = condition
	return request, err
}

func parseCondition(rc *fasthttp.RequestCtx) (objectapi.Condition, error) {
	var condition objectapi.Condition
	if tag := string(rc.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)); tag != "" {
		if tag != "*" {
			return condition, fmt.Errorf("%w: If-None-Match", objectapi.ErrInvalid)
		}
		condition.IfAbsent = true
	}
	if tag := string(rc.Request.Header.Peek(fasthttp.HeaderIfMatch)); tag != "" {
		version, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
		if err != nil || version == 0 {
			return condition, fmt.Errorf("%w: If-Match", objectapi.ErrInvalid)
		}
		condition.IfVersion = objectapi.Version(version)
	}
	return condition, nil
}

func writePlatform(rc *fasthttp.RequestCtx, reply objectapi.Reply, err error) {
	var throttled *objectapi.ThrottledError
	switch {
	case err == nil:
		writeJSON(rc, fasthttp.StatusOK, objectapi.NewReplyBody(reply))
	case errors.Is(err, objectapi.ErrConflict):
		writeJSON(rc, fasthttp.StatusPreconditionFailed, objectapi.NewReplyBody(reply))
	case errors.As(err, &throttled):
		writeRetry(rc, throttled.RetryAfter, err.Error())
	case errors.Is(err, objectapi.ErrNotFound):
		writeProblem(rc, fasthttp.StatusNotFound, err.Error())
	case errors.Is(err, objectapi.ErrCompacted):
		writeProblem(rc, fasthttp.StatusGone, err.Error())
	case errors.Is(err, objectapi.ErrInvalid):
		writeProblem(rc, fasthttp.StatusBadRequest, err.Error())
	default:
		writeProblem(rc, fasthttp.StatusServiceUnavailable, err.Error())
	}
}
