package forward

import (
	"time"

	"knapweedhoist/endpointlimit"
)

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
