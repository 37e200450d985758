package forward

import (
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/dispatch"
)

// observeAnswer takes over what the header of an answer states about the endpoint. Statements count only in an answer that
// the endpoint has signed, or in which it states that it did not run the request.
func (e *exchange) observeAnswer(status int, header AnswerHeader) {
	now := time.Now()
	if header.Load != nil {
		header.Load.At = now
		e.inFlight.RecordLoad(*header.Load)
	}
	if !header.Signed && !header.NotRun {
		return
	}
	if header.Leaving && e.inFlight.RecordLeaving() {
		e.server.logAvoidance(e.inFlight, e.request.ID, dispatch.Leaving, 0)
	}
	if status == fasthttp.StatusServiceUnavailable && header.RetryAfter > 0 && e.inFlight.RecordPause(now, header.RetryAfter) {
		e.server.logAvoidance(e.inFlight, e.request.ID, dispatch.Paused, header.RetryAfter)
	}
	e.observeRateLimit(now, header)
}

// logAvoidance logs and counts that an endpoint gets no new requests. id is the request that led to it, duration how long it
// lasts, 0 if that is not known.
func (s *Server) logAvoidance(inFlight *dispatch.InFlight, id string, reason dispatch.Reason, duration time.Duration) {
	s.deps.Metrics.Avoided[reason].Inc(1)
	s.deps.Log.Info("endpoint avoided", "endpoint", inFlight.Endpoint.ID, "reason", reason.String(), "id", id,
		"for_ms", duration.Milliseconds())
}
