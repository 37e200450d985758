package forward

import (
	"errors"
	"time"

	"knapweedhoist/dispatch"
	"knapweedhoist/endpointlimit"
	"knapweedhoist/internal/wait"
)

// errNotUsable is the error of an attempt whose endpoint began to be avoided, or was removed, before its rate limit allowed
// the request.
var errNotUsable = errors.New("endpoint not usable any more after the wait for its rate limit")

// awaitRateLimit waits until the rate limit of the chosen endpoint allows the request, and checks again what may have changed
// meanwhile.
func (e *exchange) awaitRateLimit() *failure {
	if e.inFlight.Wait <= 0 {
		return nil
	}
	e.server.deps.Metrics.RateLimitWaits.Inc(1)
	admittedAt := e.server.deps.Now()
	failed := e.awaitTurn()
	if failed == nil && e.context.Err() != nil {
		failed = e.waitEnded()
	}
	if failed != nil {
		e.inFlight.Done(time.Now(), dispatch.Withdrawn)
		return failed
	}
	now := time.Now()
	if !e.inFlight.Usable(now, e.server.deps.State.View().Endpoints) {
		e.inFlight.Done(now, dispatch.Withdrawn)
		return &failure{cause: causeNotSent, err: errNotUsable}
	}
	if err := e.server.deps.Quarantine.AdmitAgain(e.server.deps.Now(), admittedAt, e.keys); err != nil {
		e.inFlight.Done(now, dispatch.Withdrawn)
		return &failure{cause: causeQuarantined, err: err}
	}
	return nil
}

// awaitTurn waits for the turn of the request, and for a new one if the limit changes meanwhile. A turn that comes too late for
// the request is not awaited.
func (e *exchange) awaitTurn() *failure {
	defer e.watchWait()()
	for turn := e.inFlight.Wait; turn > 0; turn = e.inFlight.RetakeTurn(time.Now()) {
		if turn > e.remaining()-minAttemptTime {
			return &failure{cause: causeNoEndpoint, err: &dispatch.RateLimitedError{Wait: turn}}
		}
		if !wait.For(e.context, turn) {
			return e.waitEnded()
		}
	}
	return nil
}

// waitEnded returns why the exchange was cancelled during a wait.
func (e *exchange) waitEnded() *failure {
	if e.server.cutting.Load() {
		return &failure{cause: causeStopping, err: e.context.Err()}
	}
	return &failure{cause: causeCallerClosed, err: errCallerClosed}
}

// watchWait cancels the exchange if the caller closes its connection, until stop is called. Requests that must not be repeated
// are not watched otherwise, but one that was not sent yet must not be sent for a caller that has left.
func (e *exchange) watchWait() (stop func()) {
	if e.watchedConn != nil {
		return func() {}
	}
	conn, ok := e.ctx.Conn().(*clientConn)
	if !ok {
		return func() {}
	}
	conn.watch(e.cancel)
	return conn.unwatch
}

// observeRateLimit takes over what the header of an answer states about the endpoint's rate limit. An answer without a limit
// ends one only if the endpoint has signed it: a refusal may have been written before the endpoint counted the request.
func (e *exchange) observeRateLimit(now time.Time, header AnswerHeader) {
	statement := header.RateLimit
	if statement.Kind == endpointlimit.Invalid {
		e.server.deps.Metrics.InvalidRateLimits.Inc(1)
		e.server.deps.Log.Warn("rate limit of endpoint cannot be read, the last one stays in force",
			"endpoint", e.inFlight.Endpoint.ID, "id", e.request.ID)
		return
	}
	if statement.Kind == endpointlimit.Absent && (header.NotRun || !header.Signed) {
		return
	}
	change, changed := e.inFlight.RecordRateLimit(now, statement)
	if !changed {
		return
	}
	e.server.deps.Metrics.RateLimitChanges.Inc(1)
	message := "rate limit of endpoint stated"
	if change.Ended {
		message = "rate limit of endpoint ended"
	}
	e.server.deps.Log.Info(message, "endpoint", e.inFlight.Endpoint.ID, "per_second", change.PerSecond, "id", e.request.ID,
		"source", "answer")
}
