package backend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"knapweedhoist/request"
	"knapweedhoist/timeline"
)

// claim requests the claim of a keyed call until it is granted, and reports whether the call may be sent. If not, the
// request has finished with the answer of the claim's holder or with a problem, or it has moved.
func (r *run) claim() bool {
	if !r.spec.NeedsClaim {
		return true
	}
	for {
		verdict, err := r.runner.deps.Claimer.Claim(r.ctx, r.newClaim())
		if err == nil && r.granted(verdict) {
			r.record(timeline.KindClaim, nil, "granted", "")
			return r.entry.MarkClaimed() == nil
		}
		if r.handleVerdict(verdict, err) {
			return false
		}
		if err := r.sleep(r.runner.cfg.ClaimRetryDelay); err != nil {
			r.failClaim(verdict, err)
			return false
		}
	}
}

func (r *run) newClaim() Claim {
	return Claim{
		Team: r.spec.Team, Service: r.spec.Service, Key: r.spec.Key,
		CallHash: r.spec.CallHash, RequestID: r.spec.ID,
	}
}

// granted reports whether the request holds the claim. VerdictInProgress with the request itself as the holder counts as
// granted: the first reply was lost, or the instance that handed the unsent request over to this one obtained the claim.
func (r *run) granted(verdict Verdict) bool {
	if verdict.Kind == VerdictGranted {
		return true
	}
	return verdict.Kind == VerdictInProgress && verdict.Holder == r.spec.ID
}

// handleVerdict finishes the request if the verdict or error decides it, and reports whether the request has ended.
// If not, the claim request is to be repeated.
func (r *run) handleVerdict(verdict Verdict, err error) bool {
	switch {
	case err != nil:
		return r.handleClaimError(err)
	case verdict.Kind == VerdictMismatch:
		r.finishUnsent(request.Finish{
			Outcome: request.OutcomeNotRun, Status: http.StatusUnprocessableEntity, Step: "claim",
			Detail: "the Idempotency-Key was used with another request",
		})
		return true
	case verdict.Kind == VerdictDone && verdict.Answer != nil:
		r.finishUnsent(storedFinish(verdict.Answer))
		return true
	default:
		return r.awaitHolder(verdict)
	}
}

// handleClaimError reports whether the error ended the request; an unavailable claim is requested again until the
// request's context ends.
func (r *run) handleClaimError(err error) bool {
	if r.ctx.Err() == nil && (errors.Is(err, ErrClaimUnavailable) || errors.Is(err, context.DeadlineExceeded)) {
		return false
	}
	r.failClaim(Verdict{}, err)
	return true
}

// failClaim finishes the request when its context has ended before the claim was decided, or when err is permanent. last
// is the latest verdict, or the zero value after an error. A moved request is left to the instance that took it over.
func (r *run) failClaim(last Verdict, err error) {
	if errors.Is(err, request.ErrMoved) || errors.Is(context.Cause(r.ctx), request.ErrMoved) {
		return
	}
	if last.Kind == VerdictInProgress {
		r.finishUnsent(request.Finish{
			Outcome: request.OutcomeUnknown, Status: http.StatusConflict, Step: "claim",
			Detail: "another request with this Idempotency-Key is still in progress",
		})
		return
	}
	r.finishUnsent(request.Finish{
		Outcome: request.OutcomeNotRun, Status: http.StatusServiceUnavailable, Step: "claim",
		Detail: "the Idempotency-Key could not be claimed before the deadline", RetryAfter: retryAfter,
	})
	// The claim may still become durable; it can be released because nothing was sent under it.
	r.runner.deps.Claimer.Finish(ClaimResult{Claim: r.newClaim(), Released: true, EndedAt: time.Now()})
}

// awaitHolder waits for the answer of the request that holds the claim, and reports whether this request has ended. If
// not, the claim request is to be repeated.
func (r *run) awaitHolder(verdict Verdict) bool {
	var finish *request.Finish
	err := r.runner.deps.Attacher.Attach(r.ctx, verdict.Holder, r.spec.Team, 0, func(event request.Event) error {
		finish = event.Finish
		return nil
	})
	switch {
	case r.ctx.Err() != nil:
		r.failClaim(verdict, context.Cause(r.ctx))
		return true
	case err == nil && finish != nil && finish.Outcome == request.OutcomeNotRun:
		return false
	case err == nil && finish != nil:
		r.finishUnsent(holderFinish(*finish))
		return true
	case verdict.Kind == VerdictDone:
		r.finishUnsent(request.Finish{
			Outcome: request.OutcomeRan, Status: http.StatusConflict, Step: "claim",
			Detail: "the call ran and its answer is no longer kept",
		})
		return true
	default:
		return false
	}
}

// holderFinish returns the finish of a request that waited for the holder of its key: the holder's finish, with status 409
// if it is unknown whether the holder's call ran.
func holderFinish(finish request.Finish) request.Finish {
	if finish.Outcome == request.OutcomeUnknown {
		finish.Status = http.StatusConflict
		finish.Step = "claim"
	}
	return finish
}

func storedFinish(answer *StoredAnswer) request.Finish {
	finish := request.Finish{Outcome: request.OutcomeRan, Status: answer.Status, Body: answer.Body}
	if answer.ContentType != "" {
		finish.Header = []request.Field{{Name: "Content-Type", Value: answer.ContentType}}
	}
	return finish
}

// finishUnsent finishes the request without having sent it to an endpoint.
func (r *run) finishUnsent(finish request.Finish) {
	if r.entry.Finish(time.Now(), finish) == nil {
		r.record(timeline.KindFinish, nil, "claim", string(finish.Outcome))
	}
}

// reportClaim reports to the Claimer how the claim of a finished request ended. With an unknown outcome it reports
// nothing: the key stays claimed until the claim expires, and the call does not run again during that time.
func (r *run) reportClaim(finish request.Finish) {
	if !r.spec.NeedsClaim || finish.Outcome == request.OutcomeUnknown {
		return
	}
	result := ClaimResult{Claim: r.newClaim(), EndedAt: time.Now(), Released: finish.Outcome == request.OutcomeNotRun}
	if !result.Released && !finish.Failed() {
		result.Answer = &StoredAnswer{Status: finish.Status, ContentType: finish.ContentType(), Body: finish.Body}
	}
	r.runner.deps.Claimer.Finish(result)
}
