package forward

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/dispatch"
	"knapweedhoist/quarantine"
)

// statusError returns errUnexpectedAnswer with the status of the endpoint's answer.
func statusError(status int) error {
	return fmt.Errorf("%w: status %d", errUnexpectedAnswer, status)
}

// closeIfDraining makes the connection close after the answer, which then says so.
func (e *exchange) closeIfDraining() {
	if e.server.draining.Load() {
		e.ctx.SetConnectionClose()
	}
}

// respondBuffered passes an endpoint's buffered answer on to the caller.
func (e *exchange) respondBuffered(answer *endpointAnswer) {
	e.closeIfDraining()
	e.server.deps.Codec.EncodeAnswer(&e.ctx.Response.Header, answer.header)
	e.ctx.SetStatusCode(answer.header.StatusCode())
	e.setBody(answer.body)
	e.server.deps.Metrics.recordFirstByte(time.Since(e.arrived))
	e.server.deps.Metrics.Served.Inc(1)
	e.logOutcome("request served", answer.header.StatusCode(), nil)
}

// setBody sets the body of the answer. The memory of a large one is in use until the caller has it.
func (e *exchange) setBody(body []byte) {
	if !e.buffer.Counts() {
		e.ctx.Response.SetBodyRaw(body)
		return
	}
	e.ctx.Response.SetBodyStream(&heldBody{Reader: bytes.NewReader(body), buffer: e.buffer}, len(body))
	e.buffer = nil
}

// respondStream passes a stream on to the caller as it arrives.
func (e *exchange) respondStream(answer *endpointAnswer, body io.ReadCloser) {
	e.closeIfDraining()
	e.server.deps.Codec.EncodeAnswer(&e.ctx.Response.Header, answer.header)
	e.ctx.SetStatusCode(answer.header.StatusCode())
	e.server.deps.Metrics.recordFirstByte(time.Since(e.arrived))
	e.ctx.Response.SetBodyStream(body, -1)
}

// refuse answers a request that was not sent to any endpoint.
func (e *exchange) refuse(r *refusal) {
	if r.status == fasthttp.StatusTooManyRequests {
		e.server.deps.Metrics.Limited.Inc(1)
	} else {
		e.server.deps.Metrics.Refused.Inc(1)
	}
	e.respondLocal(r.status, r.reason, r.retryAfter)
	if r.notPassedOn {
		e.ctx.Response.Header.Set(headerNotPassedOn, "1")
	}
	e.logOutcome("request refused", r.status, errors.New(r.reason), "retry_after_ms", r.retryAfter.Milliseconds())
	e.cancel()
	e.releaseBody()
}

// fail answers a request that got no usable answer from an endpoint. The caller
// gets a refusal (503) only if no endpoint can have run the request.
func (e *exchange) fail(err error) {
	var failed *failure
	if !errors.As(err, &failed) {
		failed = &failure{cause: causeBroken, err: err}
	}
	status, retryAfter := e.failureStatus(failed)
	e.countFailure(status, failed)
	e.respondLocal(status, failed.cause.String(), retryAfter)
	attributes := []any{"retry_after_ms", retryAfter.Milliseconds()}
	var refused *quarantine.RefusedError
	if errors.As(failed, &refused) {
		attributes = append(attributes, "key", refused.Key.String(), "kind", refused.Key.Kind())
	}
	e.logOutcome("request failed", status, failed, attributes...)
}

// failureStatus returns the status and Retry-After of a failed request. It refunds the cost of a request that did not run.
func (e *exchange) failureStatus(failed *failure) (status int, retryAfter time.Duration) {
	switch {
	case failed.cause == causeTimeout:
		return fasthttp.StatusGatewayTimeout, 0
	case e.mayHaveRun:
		return fasthttp.StatusBadGateway, 0
	default:
		e.refund()
		return fasthttp.StatusServiceUnavailable, e.retryAfter(failed)
	}
}

// retryAfter returns when the caller should try again: when a quarantined key is tried again, after the first of the pauses
// that the endpoints have asked for, when the first rate limit allows a request, or after the wait for a slot if every endpoint
// is full, but at least retryAfterNoEndpoint; after maxRetryAfter if the stream can't go on. Random parts spread the retries of
// callers that are refused at the same time.
func (e *exchange) retryAfter(failed *failure) time.Duration {
	if failed.cause == causeVersionGone {
		return maxRetryAfter + time.Duration(e.server.deps.Random()*float64(retryAfterNoEndpoint))
	}
	wait := retryAfterNoEndpoint
	var overloaded *dispatch.OverloadedError
	if errors.As(failed, &overloaded) {
		wait = min(max(wait, overloaded.Wait), maxRetryAfter)
	}
	var paused *dispatch.PausedError
	if errors.As(failed, &paused) {
		return paused.Wait + time.Duration(e.server.deps.Random()*float64(retryAfterNoEndpoint))
	}
	var limited *dispatch.RateLimitedError
	if errors.As(failed, &limited) {
		return min(max(limited.Wait, minRetryAfter), maxRetryAfter) + time.Duration(e.server.deps.Random()*float64(retryAfterNoEndpoint))
	}
	var refused *quarantine.RefusedError
	if errors.As(failed, &refused) {
		return refused.RetryAfter
	}
	return wait/2 + time.Duration(e.server.deps.Random()*float64(wait))
}

func (e *exchange) countFailure(status int, failed *failure) {
	counters := e.server.deps.Metrics
	e.countOriginFailure(failed)
	if failed.cause == causeQuarantined {
		counters.Quarantined.Inc(1)
	}
	var limited *dispatch.RateLimitedError
	if errors.As(failed, &limited) {
		counters.RateLimited.Inc(1)
	}
	switch {
	case failed.cause == causeCallerClosed:
		counters.Abandoned.Inc(1)
	case status == fasthttp.StatusServiceUnavailable:
		counters.Refused.Inc(1)
	case status == fasthttp.StatusGatewayTimeout:
		counters.TimedOut.Inc(1)
	default:
		counters.Failed.Inc(1)
	}
}

// countOriginFailure counts a stream that did not go on because of the software version that began it.
func (e *exchange) countOriginFailure(err error) {
	var failed *failure
	if !errors.As(err, &failed) {
		return
	}
	switch failed.cause {
	case causeOriginUnknown:
		e.server.deps.Metrics.OriginUnknown.Inc(1)
	case causeVersionGone:
		e.server.deps.Metrics.VersionGone.Inc(1)
	}
}

// respondLocal writes an answer that this instance generates, with reason as its body.
func (e *exchange) respondLocal(status int, reason string, retryAfter time.Duration) {
	e.ctx.Response.Reset()
	e.closeIfDraining()
	e.server.deps.Codec.EncodeLocalAnswer(&e.ctx.Response.Header, e.request.ID)
	e.ctx.SetStatusCode(status)
	e.ctx.Response.Header.SetContentType("text/plain; charset=utf-8")
	if retryAfter > 0 {
		e.ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	e.ctx.SetBodyString(reason + "\n")
}

// logOutcome logs the final answer of a request with the configuration, route, team and endpoint that led to it.
func (e *exchange) logOutcome(message string, status int, err error, extra ...any) {
	attributes := []any{"id", e.request.ID, "status", status, "ms", time.Since(e.arrived).Milliseconds(), "sends", e.sends}
	if e.configVersion != 0 {
		attributes = append(attributes, "config", e.configVersion,
			"config_age_ms", e.server.deps.State.ConfigAge(e.server.deps.Now()).Milliseconds())
	}
	if e.route != nil {
		attributes = append(attributes, "route", e.route.Name, "kind", e.route.Kind.String())
	}
	if e.team != nil {
		attributes = append(attributes, "team", e.team.Name)
	}
	if e.inFlight != nil {
		attributes = append(attributes, "endpoint", e.inFlight.Endpoint.ID, "cost_ms", e.inFlight.Cost.Milliseconds(),
			"missing_tokens", e.inFlight.UncachedTokens)
	}
	if e.peer != "" {
		attributes = append(attributes, "peer", e.peer)
	}
	if e.fromPeer {
		attributes = append(attributes, "from_peer", true)
	}
	if e.origin != nil {
		attributes = append(attributes, "software", e.origin.Version)
	}
	if e.request.Continues {
		attributes = append(attributes, "resumes", e.request.Resumes)
	}
	if !e.lastEventAt.IsZero() {
		attributes = append(attributes, "last_event", e.lastEventID, "silent_ms", time.Since(e.lastEventAt).Milliseconds())
	}
	if err == nil {
		e.server.deps.Log.Info(message, append(attributes, extra...)...)
		return
	}
	if e.keys.Key != 0 {
		attributes = append(attributes, "fingerprint", e.keys.Key.String())
	}
	if len(e.keys.Parts) > 0 {
		attributes = append(attributes, "parts", formatKeys(e.keys.Parts))
	}
	e.server.deps.Log.Warn(message, append(append(attributes, "reason", err.Error()), extra...)...)
}
