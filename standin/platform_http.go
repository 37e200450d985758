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

	"knapweedhoist/platform"
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
func parsePlatform(rc *fasthttp.RequestCtx) (platform.Request, error) {
	path, _, _ := strings.Cut(string(rc.Request.Header.RequestURI()), "?")
	if rest, ok := strings.CutPrefix(path, watchPath); ok && rc.IsGet() {
		return parseWatch(rc, rest)
	}
	rest, ok := strings.CutPrefix(path, objectsPath)
	if !ok {
		return platform.Request{}, fmt.Errorf("%w: path", platform.ErrInvalid)
	}
	escapedKind, escapedName, named := strings.Cut(rest, "/")
	kind, kindErr := url.PathUnescape(escapedKind)
	name, nameErr := url.PathUnescape(escapedName)
	if err := errors.Join(kindErr, nameErr); err != nil {
		return platform.Request{}, fmt.Errorf("%w: %w", platform.ErrInvalid, err)
	}
	if !named {
		return parseList(rc, platform.Kind(kind))
	}
	return parseObject(rc, platform.Kind(kind), name)
}

func parseWatch(rc *fasthttp.RequestCtx, escapedKind string) (platform.Request, error) {
	kind, kindErr := url.PathUnescape(escapedKind)
	from, fromErr := strconv.ParseUint(string(rc.QueryArgs().Peek("from")), 10, 64)
	wait, waitErr := strconv.ParseUint(string(rc.QueryArgs().Peek("wait_ms")), 10, 31)
	if err := errors.Join(kindErr, fromErr, waitErr); err != nil {
		return platform.Request{}, fmt.Errorf("%w: %w", platform.ErrInvalid, err)
	}
	return platform.Request{
		Op: platform.OpWatch, Kind: platform.Kind(kind), From: platform.Version(from),
		Wait: min(time.Duration(wait)*time.Millisecond, maxWatchWait),
	}, nil
}

func parseList(rc *fasthttp.RequestCtx, kind platform.Kind) (platform.Request, error) {
	query := rc.QueryArgs()
	limit := 0
	if text := string(query.Peek("limit")); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return platform.Request{}, fmt.Errorf("%w: limit: %w", platform.ErrInvalid, err)
		}
		limit = int(parsed)
	}
	return platform.Request{
		Op: platform.OpList, Kind: kind, Name: string(query.Peek("prefix")),
		After: string(query.Peek("after")), Limit: limit,
	}, nil
}

func parseObject(rc *fasthttp.RequestCtx, kind platform.Kind, name string) (platform.Request, error) {
	request := platform.Request{Op: platform.OpGet, Kind: kind, Name: name}
	switch string(rc.Method()) {
	case fasthttp.MethodGet:
		return request, nil
	case fasthttp.MethodDelete:
		request.Op = platform.OpDelete
	case fasthttp.MethodPut:
		request.Op = platform.OpPut
		var body platform.PutBody
		if err := json.Unmarshal(rc.PostBody(), &body); err != nil {
			return request, fmt.Errorf("%w: %w", platform.ErrInvalid, err)
		}
		request.Value = body.Value
	default:
		return request, fmt.Errorf("%w: method", platform.ErrInvalid)
	}
	condition, err := parseCondition(rc)
	request.Condition = condition
	return request, err
}

func parseCondition(rc *fasthttp.RequestCtx) (platform.Condition, error) {
	var condition platform.Condition
	if tag := string(rc.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)); tag != "" {
		if tag != "*" {
			return condition, fmt.Errorf("%w: If-None-Match", platform.ErrInvalid)
		}
		condition.IfAbsent = true
	}
	if tag := string(rc.Request.Header.Peek(fasthttp.HeaderIfMatch)); tag != "" {
		version, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
		if err != nil || version == 0 {
			return condition, fmt.Errorf("%w: If-Match", platform.ErrInvalid)
		}
		condition.IfVersion = platform.Version(version)
	}
	return condition, nil
}

func writePlatform(rc *fasthttp.RequestCtx, reply platform.Reply, err error) {
	var throttled *platform.ThrottledError
	switch {
	case err == nil:
		writeJSON(rc, fasthttp.StatusOK, platform.NewReplyBody(reply))
	case errors.Is(err, platform.ErrConflict):
		writeJSON(rc, fasthttp.StatusPreconditionFailed, platform.NewReplyBody(reply))
	case errors.As(err, &throttled):
		writeRetry(rc, throttled.RetryAfter, err.Error())
	case errors.Is(err, platform.ErrNotFound):
		writeProblem(rc, fasthttp.StatusNotFound, err.Error())
	case errors.Is(err, platform.ErrCompacted):
		writeProblem(rc, fasthttp.StatusGone, err.Error())
	case errors.Is(err, platform.ErrInvalid):
		writeProblem(rc, fasthttp.StatusBadRequest, err.Error())
	default:
		writeProblem(rc, fasthttp.StatusServiceUnavailable, err.Error())
	}
}
