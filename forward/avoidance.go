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
	if status == fasthttp.StatusServiceUnavailable {
		pause := max(header.RetryAfter, rejectionPause(header.RejectionLimit, e.server.deps.Instances()))
		if pause > 0 && e.inFlight.RecordPause(now, pause) {
			e.server.logAvoidance(e.inFlight, e.request.ID, dispatch.Paused, pause)
		}
	}
	e.observeRateLimit(now, header)
}

// maxRejectionPause bounds rejectionPause, so that an endpoint is not left out for long after its state has changed.
const maxRejectionPause = 10 * time.Second

// rejectionPause returns how long an instance sends nothing to an endpoint that has rejected a request and fails above limit
// rejections a second, 0 without a limit.
//
// Load pattern: an endpoint has less room than its reports state, and each rejection brings it nearer to its failure, after which the
// others get its load. All instances together cause at most limit rejections a second.
func rejectionPause(limit float64, instances int) time.Duration {
	if limit <= 0 {
		return 0
	}
	return min(time.Duration(float64(max(instances, 1))/limit*float64(time.Second)), maxRejectionPause)
}

// logAvoidance logs and counts that an endpoint gets no new requests. id is the request that led to it, duration how long it
// lasts, 0 if that is not known.
func (s *Server) logAvoidance(inFlight *dispatch.InFlight, id string, reason dispatch.Reason, duration time.Duration) {
	s.deps.Metrics.Avoided[reason].Inc(1)
	s.deps.Log.Info("endpoint avoided", "endpoint", inFlight.Endpoint.ID, "reason", reason.String(), "id", id,
		"for_ms", duration.Milliseconds())
}
