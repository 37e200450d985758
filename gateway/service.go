package gateway

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"

	"knapweedhoist/catalog"
	"knapweedhoist/request"
)

// callService serves /services/{name}/….
func (s *Server) callService(ctx *fasthttp.RequestCtx, rest string) *problem {
	team, p := s.newWork(ctx)
	if p != nil {
		return p
	}
	name, path, _ := strings.Cut(rest, "/")
	service, found := s.deps.Directory.Service(name)
	if !found || service.Kind != catalog.KindPlain {
		return notRun(http.StatusNotFound, "route", "unknown service")
	}
	if p := permit(team, service, len(ctx.Request.Body())); p != nil {
		return p
	}
	spec, p := s.callSpec(ctx, service, "/"+path)
	if p != nil {
		return p
	}
	entry, p := s.accept(spec, team, service)
	if p != nil {
		return p
	}
	return s.answer(ctx, entry, 0, false)
}

func (s *Server) callSpec(ctx *fasthttp.RequestCtx, service *catalog.Service, path string) (request.Spec, *problem) {
	now := time.Now()
	deadline, p := s.deadline(&ctx.Request.Header, now)
	if p != nil {
		return request.Spec{}, p
	}
	key, err := idempotencyKey(&ctx.Request.Header)
	if err != nil {
		return request.Spec{}, notRun(http.StatusBadRequest, "parse", err.Error())
	}
	call := &request.Call{
		Method: string(ctx.Method()), Path: path, Query: string(ctx.URI().QueryString()),
		Header: endToEnd(&ctx.Request.Header), Body: append([]byte(nil), ctx.Request.Body()...),
	}
	idempotent := repeatable(service, call.Method, path)
	return request.Spec{
		Idempotent: idempotent, NeedsClaim: !idempotent && key != "" && !service.Deduplicates,
		Key: key, BodyHash: callHash(call), Call: call, Received: now, Deadline: deadline,
	}, nil
}

// repeatable reports whether a call may be repeated: by its method, or because
// the service's configuration says so.
func repeatable(service *catalog.Service, method, path string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	if !plainPath(path) {
		return false
	}
	for _, rule := range service.Idempotent {
		if rule.Method == method && hasPathPrefix(path, rule.PathPrefix) {
			return true
		}
	}
	return false
}

// plainPath reports whether the endpoint sees the path as it is written. A path
// with escapes or dot segments may mean another path there, so that no rule applies.
func plainPath(path string) bool {
	unescaped, err := url.PathUnescape(path)
	return err == nil && unescaped == path && !strings.Contains(path, "/.") && !strings.Contains(path, "//")
}

// hasPathPrefix matches whole segments: "/a" matches "/a" and "/a/b", not "/ab".
func hasPathPrefix(path, prefix string) bool {
	rest, found := strings.CutPrefix(path, prefix)
	return found && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// callHash identifies a call for claims of its key. It tells different calls
// of one team apart; it is no protection between teams, whose keys never meet.
func callHash(call *request.Call) [16]byte {
	hasher := xxh3.New128()
	for _, part := range []string{call.Method, call.Path, call.Query} {
		_, _ = hasher.WriteString(part)
		_, _ = hasher.Write([]byte{0})
	}
	_, _ = hasher.Write(call.Body)
	return hasher.Sum128().Bytes()
}
