package backend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"knapweedhoist/request"
	"knapweedhoist/timeline"
)

// claim gets the claim of a keyed call. It returns false when the request has
// ended: with the answer of the holder of the claim, or with a problem.
func (r *run) claim() bool {
	if !r.spec.NeedsClaim {
		return true
	}
	for {
		verdict, err := r.runner.deps.Claimer.Claim(r.ctx, r.claimOf())
		if err == nil && r.granted(verdict) {
			r.record(timeline.KindClaim, nil, "granted", "")
			return r.entry.MarkClaimed() == nil
		}
		if r.settle(verdict, err) {
			return false
		}
		if err := r.sleep(r.runner.cfg.ClaimRetry); err != nil {
			r.failClaim(verdict, err)
			return false
		}
	}
}

func (r *run) claimOf() Claim {
	return Claim{
		Team: r.spec.Team, Service: r.spec.Service, Key: r.spec.Key,
		BodyHash: r.spec.BodyHash, RequestID: r.spec.ID,
	}
}

// granted also accepts a claim that this request already holds: the first
// reply was lost, or the home that claimed it moved the unsent request here.
func (r *run) granted(verdict Verdict) bool {
	if verdict.Kind == VerdictGranted {
		return true
	}
	return verdict.Kind == VerdictInProgress && verdict.Holder == r.spec.ID
}

// settle ends the request when the verdict decides it. Otherwise the claim is
// asked for again.
func (r *run) settle(verdict Verdict, err error) bool {
	switch {
	case err != nil:
		return r.settleError(err)
	case verdict.Kind == VerdictMismatch:
		r.conclude(request.Finish{
			Outcome: request.OutcomeNotRun, Status: http.StatusUnprocessableEntity, Step: "claim",
			Detail: "the Idempotency-Key was used with another request",
		})
		return true
	case verdict.Kind == VerdictDone && verdict.Answer != nil:
		r.conclude(storedFinish(verdict.Answer))
		return true
	default:
		return r.follow(verdict)
	}
}

func (r *run) settleError(err error) bool {
	if r.ctx.Err() == nil && (errors.Is(err, ErrClaimUnavailable) || errors.Is(err, context.DeadlineExceeded)) {
		return false
	}
	r.failClaim(Verdict{}, err)
	return true
}

// failClaim ends a request whose claim was not decided in time.
func (r *run) failClaim(last Verdict, err error) {
	if errors.Is(err, request.ErrMoved) || errors.Is(context.Cause(r.ctx), request.ErrMoved) {
		return
	}
	if last.Kind == VerdictInProgress {
		r.conclude(request.Finish{
			Outcome: request.OutcomeUnknown, Status: http.StatusConflict, Step: "claim",
			Detail: "another request with this Idempotency-Key is still in progress",
		})
		return
	}
	r.conclude(request.Finish{
		Outcome: request.OutcomeNotRun, Status: http.StatusServiceUnavailable, Step: "claim",
		Detail: "the Idempotency-Key could not be claimed before the deadline", RetryAfter: retryAfter,
	})
	// The claim may become durable later; nothing was sent under it.
	r.runner.deps.Claimer.Finish(ClaimEnd{Claim: r.claimOf(), Released: true, At: time.Now()})
}

// follow waits for the answer of the request that holds the claim. It returns
// false when the claim is to be asked for again.
func (r *run) follow(verdict Verdict) bool {
	var finish *request.Finish
	err := r.runner.deps.Answers.Attach(r.ctx, verdict.Holder, r.spec.Team, 0, func(event request.Event) error {
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
		r.conclude(holderFinish(*finish))
		return true
	case verdict.Kind == VerdictDone:
		r.conclude(request.Finish{
			Outcome: request.OutcomeRan, Status: http.StatusConflict, Step: "claim",
			Detail: "the call ran and its answer is no longer kept",
		})
		return true
	default:
		return false
	}
}

// holderFinish is the finish of a second caller: the holder's answer, or 409
// when the holder itself does not know whether it ran.
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

// conclude finishes a request that sent nothing itself.
func (r *run) conclude(finish request.Finish) {
	if r.entry.Finish(time.Now(), finish) == nil {
		r.record(timeline.KindFinish, nil, "claim", string(finish.Outcome))
	}
}

// reportClaim tells how the claim of a finished request ended. With an unknown
// outcome nothing is reported: the key stays claimed and never runs again.
func (r *run) reportClaim(finish request.Finish) {
	if !r.spec.NeedsClaim || finish.Outcome == request.OutcomeUnknown {
		return
	}
	report := ClaimEnd{Claim: r.claimOf(), At: time.Now(), Released: finish.Outcome == request.OutcomeNotRun}
	if !report.Released && !finish.Failed() {
		report.Answer = &StoredAnswer{Status: finish.Status, ContentType: finish.ContentType(), Body: finish.Body}
	}
	r.runner.deps.Claimer.Finish(report)
}
