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

// serveServiceCall serves calls to plain services at /services/{name}/{path}.
func (s *Server) serveServiceCall(ctx *fasthttp.RequestCtx, rest string) *problem {
	entry, p := s.acceptServiceCall(ctx, rest)
	if p != nil {
		return p
	}
	return s.writeAnswer(ctx, entry, 0, false)
}

// acceptServiceCall registers and starts a call.
func (s *Server) acceptServiceCall(ctx *fasthttp.RequestCtx, rest string) (*request.Entry, *problem) {
	team, p := s.authenticateNewWork(ctx)
	if p != nil {
		return nil, p
	}
	body, buffer, p := s.readBody(ctx)
	if p != nil {
		return nil, p
	}
	defer buffer.Release()
	name, path, _ := strings.Cut(rest, "/")
	service, found := s.deps.Directory.Service(name)
	if !found || service.Kind != catalog.KindPlain {
		return nil, notRunProblem(http.StatusNotFound, "route", "unknown service")
	}
	if p := authorise(team, service, len(body)); p != nil {
		return nil, p
	}
	spec, p := s.callSpec(ctx, service, "/"+path, body)
	if p != nil {
		return nil, p
	}
	return s.accept(spec, team, service)
}

func (s *Server) callSpec(ctx *fasthttp.RequestCtx, service *catalog.Service, path string, body []byte) (request.Spec, *problem) {
	now := time.Now()
	deadline, p := s.parseDeadline(&ctx.Request.Header, now)
	if p != nil {
		return request.Spec{}, p
	}
	key, err := idempotencyKey(&ctx.Request.Header)
	if err != nil {
		return request.Spec{}, notRunProblem(http.StatusBadRequest, "parse", err.Error())
	}
	call := &request.Call{
		Method: string(ctx.Method()), Path: path, Query: string(ctx.URI().QueryString()),
		Header: endToEndFields(&ctx.Request.Header), Body: append([]byte(nil), body...),
	}
	idempotent := isIdempotent(service, call.Method, path)
	return request.Spec{
		Idempotent: idempotent, NeedsClaim: !idempotent && key != "" && !service.Deduplicates,
		Key: key, CallHash: callHash(call), Call: call, Received: now, Deadline: deadline,
	}, nil
}

// isIdempotent reports whether a call may be repeated, because of its method or
// because of a rule in the configuration of the service.
func isIdempotent(service *catalog.Service, method, path string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	if !isCanonicalPath(path) {
		return false
	}
	for _, rule := range service.Idempotent {
		if rule.Method == method && hasPathPrefix(path, rule.PathPrefix) {
			return true
		}
	}
	return false
}

// isCanonicalPath reports whether the path has no escapes, empty segments or segments
// that begin with a dot. The endpoint may resolve other paths differently, so no
// idempotency rule applies to them.
func isCanonicalPath(path string) bool {
	unescaped, err := url.PathUnescape(path)
	return err == nil && unescaped == path && !strings.Contains(path, "/.") && !strings.Contains(path, "//")
}

// hasPathPrefix reports whether prefix matches whole leading segments of path: "/a" matches "/a" and "/a/b", not "/ab".
func hasPathPrefix(path, prefix string) bool {
	rest, found := strings.CutPrefix(path, prefix)
	return found && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// callHash returns a hash of the method, path, query and body. Claims compare it to
// detect an idempotency key that a team uses again for a different call. It need not
// be cryptographic, because claims of different teams are never compared.
func callHash(call *request.Call) [16]byte {
	hasher := xxh3.New128()
	for _, part := range []string{call.Method, call.Path, call.Query} {
		_, _ = hasher.WriteString(part)
		_, _ = hasher.Write([]byte{0})
	}
	_, _ = hasher.Write(call.Body)
	return hasher.Sum128().Bytes()
}
