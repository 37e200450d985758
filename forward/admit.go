package forward

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/deployment"
)

// refusal is the answer to a request that is not sent to any endpoint.
type refusal struct {
	status     int
	reason     string        // body of the answer
	retryAfter time.Duration // 0 sends no Retry-After field
	// notPassedOn is set if the request of another instance was not tried.
	notPassedOn bool
}

// Values of the Retry-After field of refusals.
const (
	// retryAfterNotReady applies while the configuration is not loaded yet or may be out of date.
	retryAfterNotReady = 500 * time.Millisecond
	// retryAfterNoEndpoint applies if the service does not exist or if no endpoint ran the request. In the second case,
	// failureStatus varies it by up to half, which spreads the retries of callers that are refused at the same time.
	retryAfterNoEndpoint = 300 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the value for a team over its limit. minRetryAfter also applies while the
	// instance is stopping.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 8 * time.Second
)

// admit finds the route and the team, sets the deadline and charges the request to the team's limit.
func (e *exchange) admit() *refusal {
	if e.view.Config == nil || !e.view.EndpointsRead {
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: retryAfterNotReady}
	}
	e.configVersion = e.view.Config.Version
	if refusal := e.findRoute(); refusal != nil {
		return refusal
	}
	if refusal := e.findTeam(); refusal != nil {
		return refusal
	}
	if maxBytes := e.view.Config.Limits.MaxBodyBytes; maxBytes > 0 && len(e.body) > maxBytes {
		return &refusal{status: fasthttp.StatusRequestEntityTooLarge, reason: "body larger than the configuration allows"}
	}
	// A stream may last for many versions of the configuration, which would all stay in memory.
	e.view = nil
	e.setDeadline()
	if e.remaining() <= 0 { // an endpoint would only be taken for silent
		return &refusal{status: fasthttp.StatusRequestTimeout, reason: "request complete only after its deadline"}
	}
	e.setKeys()
	return e.chargeTeam()
}

func (e *exchange) findRoute() *refusal {
	host := string(e.ctx.Host())
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	e.route = e.view.Config.Route(host, rawPath(e.ctx.RequestURI()))
	if e.route == nil {
		return e.refuseUnknown(fasthttp.StatusNotFound, "no route")
	}
	e.service = e.view.Config.Services[e.route.SelectService(e.server.deps.Random())]
	if e.service == nil {
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: "no service", retryAfter: retryAfterNoEndpoint}
	}
	return nil
}

// rawPath returns the path of uri without decoding or normalising it.
func rawPath(uri []byte) string {
	for i, b := range uri {
		if b == '?' || b == '#' {
			return string(uri[:i])
		}
	}
	return string(uri)
}

func (e *exchange) findTeam() *refusal {
	if e.route.Public || e.view.Config.Access == deployment.OpenToAll {
		return nil
	}
	e.team = e.view.Config.Team(e.request.Key)
	if e.team == nil {
		return e.refuseUnknown(fasthttp.StatusUnauthorized, "no team has the key")
	}
	return nil
}

// refuseUnknown refuses a request whose route or API key is not in the configuration.
// If the configuration is older than MaxConfigAge, a newer one may contain the route or key:
// the answer is 503 instead of status, so that the caller tries another instance.
func (e *exchange) refuseUnknown(status int, reason string) *refusal {
	if e.server.deps.State.ConfigAge(e.server.deps.Now()) > e.server.cfg.MaxConfigAge {
		return &refusal{
			status: fasthttp.StatusServiceUnavailable, reason: reason + " in a configuration that may be old",
			retryAfter: retryAfterNotReady,
		}
	}
	return &refusal{status: status, reason: reason}
}

// setDeadline applies the earlier end of the route's timeout and of the time that the caller allows, or defaultTimeout.
func (e *exchange) setDeadline() {
	timeout, allowed := e.route.Timeout, e.request.Timeout
	if timeout <= 0 && allowed <= 0 {
		timeout = defaultTimeout
	}
	e.deadline = e.arrived.Add(timeout)
	if end := e.begunAt.Add(allowed); allowed > 0 && (timeout <= 0 || end.Before(e.deadline)) {
		e.deadline = end
	}
}

// defaultTimeout applies when neither the route nor the caller sets a timeout.
const defaultTimeout = 30 * time.Second

// copyHeader must be called before readBody, which adds the fields of the trailer to the header.
func (e *exchange) copyHeader() {
	e.header = &fasthttp.RequestHeader{}
	e.ctx.Request.Header.CopyTo(e.header)
}

// chargeTeam takes the request's cost from the team's limit.
func (e *exchange) chargeTeam() *refusal {
	if e.team == nil {
		return nil
	}
	e.cost = e.team.Limit.Cost(e.request.PromptTokens + e.request.OutputTokens)
	ok, wait := e.server.deps.Limiter.Take(e.server.deps.Now(), e.server.deps.Slot(), e.team.Name, e.cost)
	if ok {
		return nil
	}
	e.cost = 0
	// The jitter spreads the retries of callers that are refused at the same time.
	wait += time.Duration(e.server.deps.Random() * float64(wait))
	return &refusal{
		status: fasthttp.StatusTooManyRequests, reason: "team over its limit",
		retryAfter: min(max(wait, minRetryAfter), maxRetryAfter),
	}
}

// refund returns the request's cost to the team's limit. It is called when no endpoint can have run the request.
func (e *exchange) refund() {
	if e.team != nil && e.cost > 0 {
		e.server.deps.Limiter.Refund(e.server.deps.Now(), e.team.Name, e.cost)
		e.cost = 0
	}
}
