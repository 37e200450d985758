package forward

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// refusal is an answer to a request that was sent to no endpoint.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// Times after which a refused caller may return.
const (
	// retryUnready suits an instance that reads its first configuration.
	retryUnready = 500 * time.Millisecond
	// retryNoEndpoint suits a service whose endpoints are all gone or full for the moment.
	retryNoEndpoint = 300 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the wait of a team over its limit.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 8 * time.Second
)

// admit finds the route and the team and takes the request's cost of the team's limit.
func (e *exchange) admit() *refusal {
	if e.view.Config == nil || !e.view.EndpointsRead {
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: retryUnready}
	}
	if refusal := e.findRoute(); refusal != nil {
		return refusal
	}
	if refusal := e.findTeam(); refusal != nil {
		return refusal
	}
	if most := e.view.Config.Limits.MaxBodyBytes; most > 0 && len(e.ctx.Request.Body()) > most {
		return &refusal{status: fasthttp.StatusRequestEntityTooLarge, reason: "body larger than the configuration allows"}
	}
	e.setDeadline()
	e.copyRequest()
	return e.takeLimit()
}

func (e *exchange) findRoute() *refusal {
	host := string(e.ctx.Host())
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	e.route = e.view.Config.Route(host, rawPath(e.ctx.RequestURI()))
	if e.route == nil {
		return e.unknown(fasthttp.StatusNotFound, "no route")
	}
	e.service = e.view.Config.Services[e.route.SelectService(e.server.deps.Random())]
	if e.service == nil {
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: "no service", retryAfter: retryNoEndpoint}
	}
	return nil
}

// rawPath returns the path as the caller wrote it.
func rawPath(uri []byte) string {
	for i, b := range uri {
		if b == '?' || b == '#' {
			return string(uri[:i])
		}
	}
	return string(uri)
}

func (e *exchange) findTeam() *refusal {
	if e.route.Public || !e.view.Config.HasTeams() {
		return nil
	}
	e.team = e.view.Config.Team(e.request.Key)
	if e.team == nil {
		return e.unknown(fasthttp.StatusUnauthorized, "no team has the key")
	}
	return nil
}

// unknown refuses for what the configuration does not have. An instance whose
// configuration may be old cannot know, and sends the caller to another one.
func (e *exchange) unknown(status int, reason string) *refusal {
	if e.server.deps.State.ConfigAge(e.server.deps.Now()) > e.server.cfg.Freshness {
		return &refusal{
			status: fasthttp.StatusServiceUnavailable, reason: reason + " in a configuration that may be old",
			retryAfter: retryUnready,
		}
	}
	return &refusal{status: status, reason: reason}
}

func (e *exchange) setDeadline() {
	wait := e.route.Timeout
	if e.request.Patience > 0 && (wait <= 0 || e.request.Patience < wait) {
		wait = e.request.Patience
	}
	if wait <= 0 {
		wait = defaultTimeout
	}
	e.deadline = e.arrived.Add(wait)
}

// defaultTimeout applies where neither the route nor the caller gives a time.
const defaultTimeout = 30 * time.Second

func (e *exchange) copyRequest() {
	e.header = &fasthttp.RequestHeader{}
	e.ctx.Request.Header.CopyTo(e.header)
	e.body = append([]byte(nil), e.ctx.Request.Body()...)
}

func (e *exchange) takeLimit() *refusal {
	if e.team == nil {
		return nil
	}
	e.cost = e.team.Limit.Cost(e.request.PromptTokens + e.request.OutputTokens)
	ok, wait := e.server.deps.Limiter.Take(e.server.deps.Now(), e.team.Name, e.cost)
	if ok {
		return nil
	}
	e.cost = 0
	// The spread keeps the callers that are refused together from returning together.
	wait += time.Duration(e.server.deps.Random() * float64(wait))
	return &refusal{
		status: fasthttp.StatusTooManyRequests, reason: "team over its limit",
		retryAfter: min(max(wait, minRetryAfter), maxRetryAfter),
	}
}

// refund returns the request's cost when it reached no endpoint.
func (e *exchange) refund() {
	if e.team != nil && e.cost > 0 {
		e.server.deps.Limiter.Refund(e.team.Name, e.cost)
		e.cost = 0
	}
}
