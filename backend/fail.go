package backend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"knapweedhoist/request"
	"knapweedhoist/timeline"
)

// retryAfter is the Retry-After for callers whose request did not run, for example because no endpoint was available.
const retryAfter = time.Second

// fail finishes the request without an answer. The outcome is not_run or ran only if that is proved, else unknown. A
// moved request is left to the instance that took it over.
func (r *run) fail(err error) {
	if errors.Is(err, request.ErrMoved) {
		return
	}
	finish := failureFinish(err)
	finish.Outcome = r.entry.OutcomeIfEnded()
	if errors.Is(err, ErrAnswerTooLarge) {
		finish.Outcome = request.OutcomeRan
	}
	if finish.Outcome != request.OutcomeNotRun {
		finish.RetryAfter = 0
	} else if finish.Status == http.StatusBadGateway {
		// Nothing ran, so the caller may safely repeat the request.
		finish.Status = http.StatusServiceUnavailable
	}
	if r.entry.Finish(time.Now(), finish) != nil {
		return
	}
	r.record(timeline.KindFinish, nil, finish.Step, string(finish.Outcome))
	r.reportClaim(finish)
}

// failureFinish maps an error to the problem that the caller receives.
func failureFinish(err error) request.Finish {
	switch {
	case errors.Is(err, ErrNoEndpoint):
		return request.Finish{
			Status: http.StatusServiceUnavailable, Step: "choose",
			Detail: "no endpoint became available before the deadline", RetryAfter: retryAfter,
		}
	case errors.Is(err, context.DeadlineExceeded):
		return request.Finish{Status: http.StatusGatewayTimeout, Step: "deadline", Detail: "the deadline passed"}
	case errors.Is(err, request.ErrTooLarge), errors.Is(err, ErrAnswerTooLarge):
		return request.Finish{Status: http.StatusBadGateway, Step: "answer", Detail: "the answer exceeds the size limit"}
	case errors.Is(err, errInterrupted):
		return request.Finish{
			Status: http.StatusBadGateway, Step: "handover",
			Detail: "the instance that sent the call left before the answer arrived",
		}
	default:
		return request.Finish{
			Status: http.StatusBadGateway, Step: "endpoint",
			Detail: "the endpoint did not answer", RetryAfter: retryAfter,
		}
	}
}
