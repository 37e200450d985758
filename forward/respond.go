package forward

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

func statusError(status int) error {
	return fmt.Errorf("%w with status %d", errStatus, status)
}

// respondWhole passes an endpoint's whole answer on.
func (e *exchange) respondWhole(answer *endpointAnswer) {
	e.server.deps.Dialect.EncodeReply(&e.ctx.Response.Header, answer.header)
	e.ctx.SetStatusCode(answer.header.StatusCode())
	e.ctx.Response.SetBodyRaw(answer.body)
	e.server.deps.Metrics.firstByte(time.Since(e.arrived))
	e.server.deps.Metrics.Served.Inc(1)
	e.logEnd("request served", answer.header.StatusCode(), nil)
}

// respondStream passes the events of an endpoint on as they come.
func (e *exchange) respondStream(answer *endpointAnswer) {
	e.server.deps.Dialect.EncodeReply(&e.ctx.Response.Header, answer.header)
	e.ctx.SetStatusCode(answer.header.StatusCode())
	e.server.deps.Metrics.firstByte(time.Since(e.arrived))
	e.ctx.Response.SetBodyStream(answer.events, -1)
}

// refuse answers a request that was sent to no endpoint.
func (e *exchange) refuse(r *refusal) {
	if r.status == fasthttp.StatusTooManyRequests {
		e.server.deps.Metrics.Limited.Inc(1)
	} else {
		e.server.deps.Metrics.Refused.Inc(1)
	}
	e.own(r.status, r.reason, r.retryAfter)
	e.logEnd("request refused", r.status, errors.New(r.reason), "retry_after_ms", r.retryAfter.Milliseconds())
	e.cancel()
}

// fail answers a request that got no endpoint's answer. A refusal is sent only
// where no endpoint can have run the request.
func (e *exchange) fail(err error) {
	var failed *failure
	if !errors.As(err, &failed) {
		failed = &failure{cause: causeBroken, err: err}
	}
	status, retryAfter := e.failureStatus(failed)
	e.countFailure(status, failed)
	e.own(status, failed.cause.String(), retryAfter)
	e.logEnd("request failed", status, failed, "retry_after_ms", retryAfter.Milliseconds())
}

func (e *exchange) failureStatus(failed *failure) (status int, retryAfter time.Duration) {
	switch {
	case failed.cause == causeTimeout:
		return fasthttp.StatusGatewayTimeout, 0
	case e.mayHaveRun:
		return fasthttp.StatusBadGateway, 0
	default:
		e.refund()
		spread := time.Duration(e.server.deps.Random() * float64(retryNoEndpoint))
		return fasthttp.StatusServiceUnavailable, retryNoEndpoint/2 + spread
	}
}

func (e *exchange) countFailure(status int, failed *failure) {
	counters := e.server.deps.Metrics
	switch {
	case failed.cause == causeCallerGone:
		counters.Abandoned.Inc(1)
	case status == fasthttp.StatusServiceUnavailable:
		counters.Refused.Inc(1)
	case status == fasthttp.StatusGatewayTimeout:
		counters.TimedOut.Inc(1)
	default:
		counters.Failed.Inc(1)
	}
}

// own writes an answer of this instance.
func (e *exchange) own(status int, reason string, retryAfter time.Duration) {
	e.ctx.Response.Reset()
	if e.server.draining.Load() {
		e.ctx.SetConnectionClose()
	}
	e.server.deps.Dialect.EncodeOwn(&e.ctx.Response.Header, e.request.ID)
	e.ctx.SetStatusCode(status)
	e.ctx.Response.Header.SetContentType("text/plain; charset=utf-8")
	if retryAfter > 0 {
		e.ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	e.ctx.SetBodyString(reason + "\n")
}

// logEnd writes the line of a request's final answer with the inputs that decided it.
func (e *exchange) logEnd(message string, status int, err error, more ...any) {
	attributes := []any{"id", e.request.ID, "status", status, "ms", time.Since(e.arrived).Milliseconds(), "sends", e.sends}
	if e.view.Config != nil {
		attributes = append(attributes, "config", e.view.Config.Version,
			"config_age_ms", e.server.deps.State.ConfigAge(e.server.deps.Now()).Milliseconds())
	}
	if e.route != nil {
		attributes = append(attributes, "route", e.route.Name, "kind", e.route.Kind.String())
	}
	if e.team != nil {
		attributes = append(attributes, "team", e.team.Name)
	}
	if e.flight != nil {
		attributes = append(attributes, "endpoint", e.flight.Endpoint.ID, "cost_ms", e.flight.Cost.Milliseconds(),
			"missing_tokens", e.flight.UncachedTokens)
	}
	if err == nil {
		e.server.deps.Log.Info(message, append(attributes, more...)...)
		return
	}
	e.server.deps.Log.Warn(message, append(append(attributes, "reason", err.Error()), more...)...)
}
