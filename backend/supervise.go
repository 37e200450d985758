package backend

import (
	"context"
	"errors"
	"slices"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/engine"
	"knapweedhoist/request"
	"knapweedhoist/timeline"
)

// supervise waits until an attempt has answered the request, all attempts have failed, the work must move to another
// endpoint, or the request's context has ended. It returns the exported KV cache for the next attempt, nil if there is
// none, and reports whether the run must start that attempt.
func (r *run) supervise(a *attempt) (*engine.KVHandle, bool) {
	// The hour is a placeholder: checkHedge stops the timer or sets the real time.
	hedgeTimer := time.NewTimer(time.Hour)
	defer hedgeTimer.Stop()
	r.checkHedge(a, hedgeTimer)
	var moveTime <-chan time.Time
	for {
		if a != r.running[0] {
			// The attempt has failed or was cancelled; the remaining one is supervised from now on.
			a, moveTime = r.running[0], nil
		}
		select {
		case e := <-r.ends:
			if startNext, decided := r.handleEnd(e); decided {
				return nil, startNext
			}
		case winner := <-r.firstTokens:
			// The attempt may have ended since it received its first token; then the other one must not be cancelled.
			if slices.Contains(r.running, winner) {
				hedgeTimer.Stop()
				r.cancelLosers(winner)
			}
		case <-hedgeTimer.C:
			r.checkHedge(a, hedgeTimer)
		case endsAt := <-a.endpointEnd:
			moveTime = r.moveTimer(endsAt)
		case <-moveTime:
			return r.move(a)
		case <-r.ctx.Done():
			r.fail(context.Cause(r.ctx))
			return nil, false
		}
	}
}

// handleEnd handles the end of an attempt. decided is true if supervise must return: the attempt answered the request, or
// none is left running. startNext then reports whether another attempt must start. The end of a cancelled attempt is
// ignored.
func (r *run) handleEnd(e attemptEnd) (startNext, decided bool) {
	if !r.remove(e.attempt) {
		return false, false
	}
	if e.finish != nil {
		r.finishAnswered(e)
		return false, true
	}
	r.recordFailure(e)
	if len(r.running) > 0 {
		return false, false
	}
	return r.awaitRetry(e), true
}

func (r *run) finishAnswered(e attemptEnd) {
	if err := r.entry.Finish(time.Now(), *e.finish); err != nil {
		// The request has finished already or was handed over.
		return
	}
	r.record(timeline.KindFinish, e.attempt, "finish", string(e.finish.Outcome))
	r.runner.deps.Retrier.RecordSuccess(r.spec.Service)
	r.reportClaim(*e.finish)
}

// recordFailure adds the attempt's endpoint to the endpoints to avoid, updates unproductiveAttempts, and cancels the
// attempt at the engine.
func (r *run) recordFailure(e attemptEnd) {
	r.avoid = appendAvoid(r.avoid, e.attempt.choice.Endpoint)
	r.unproductiveAttempts++
	if e.attempt.received > 0 {
		r.unproductiveAttempts = 0
	}
	r.record(timeline.KindAttempt, e.attempt, "failed", e.result.String())
	r.cancelAtEngine(e.attempt, e.result)
}

// maxAvoid bounds the endpoints that a request avoids; beyond it the oldest is removed.
const maxAvoid = 16

func appendAvoid(avoid []string, endpoint string) []string {
	if len(avoid) >= maxAvoid {
		avoid = avoid[1:]
	}
	// The full slice expression makes append copy, because a Query given to the Chooser may still hold the old slice.
	return append(avoid[:len(avoid):len(avoid)], endpoint)
}

// awaitRetry asks the Retrier for another attempt and waits for the delay. It reports whether the attempt may start;
// if not, the request has failed or was handed over, or the attempt was superseded.
func (r *run) awaitRetry(e attemptEnd) bool {
	cause := causeOf(e)
	switch {
	case errors.Is(e.err, request.ErrMoved), errors.Is(e.err, request.ErrSuperseded):
		return false
	case errors.Is(e.err, request.ErrTooLarge), errors.Is(e.err, ErrAnswerTooLarge), !r.entry.MaySend():
		r.fail(e.err)
		return false
	}
	delay, ok := r.retryDelay(e, cause)
	if !ok {
		r.fail(e.err)
		return false
	}
	if err := r.sleep(delay); err != nil {
		r.fail(err)
		return false
	}
	return true
}

// retryDelay returns the delay before the next attempt and whether one may start. The Retrier decides, except after
// CauseReclaim, when another attempt may always start.
func (r *run) retryDelay(e attemptEnd, cause Cause) (time.Duration, bool) {
	if cause == CauseReclaim {
		return r.reclaimDelay(), true
	}
	return r.runner.deps.Retrier.Retry(time.Now(), Failure{
		Service: r.spec.Service, Endpoint: e.attempt.choice.Endpoint, Cause: cause, DeliveredTokens: e.attempt.received > 0,
		Attempt: e.attempt.number, Deadline: r.spec.Deadline,
	})
}

// reclaimDelay returns the delay after an endpoint refused an attempt because it is leaving: 0 after the first
// unproductive attempt, then MinBackoff, doubled for each further one up to MaxBackoff. It limits the rate of attempts, so
// that an outdated list of endpoints does not cause a retry storm.
func (r *run) reclaimDelay() time.Duration {
	if r.unproductiveAttempts <= 1 {
		return 0
	}
	// The limit of 10 doublings keeps the shift from overflowing.
	delay := r.runner.cfg.MinBackoff << min(r.unproductiveAttempts-2, 10)
	return min(delay, r.runner.cfg.MaxBackoff)
}

func causeOf(e attemptEnd) Cause {
	switch {
	case errors.Is(e.err, engine.ErrLeaving):
		return CauseReclaim
	case e.result == request.ResultUnsent, e.result == request.ResultRefused:
		return CauseRefused
	default:
		return CauseBroken
	}
}

// checkHedge starts a hedge if exactly one attempt runs, the request is repeatable and the Retrier allows a hedge now. If
// the Retrier asks for a later check instead, checkHedge resets the timer to that time.
func (r *run) checkHedge(a *attempt, timer *time.Timer) {
	timer.Stop()
	if len(r.running) != 1 || !r.spec.Repeatable() {
		return
	}
	start, recheckAfter := r.runner.deps.Retrier.Hedge(time.Now(), r.slowAttempt(a))
	if !start && recheckAfter > 0 {
		timer.Reset(recheckAfter)
	}
	if start {
		r.startHedge()
	}
}

func (r *run) slowAttempt(a *attempt) SlowAttempt {
	slow := SlowAttempt{
		Service: r.spec.Service, Endpoint: a.choice.Endpoint, Team: r.spec.Team,
		PromptTokens: r.spec.PromptTokens, Elapsed: time.Since(a.started),
	}
	if r.spec.Kind == catalog.KindModel {
		slow.MaxTokens = r.spec.Completion.MaxTokens
	}
	return slow
}

// startHedge starts a second attempt. It starts none if no endpoint is available or the request has ended.
func (r *run) startHedge() {
	query := r.query(true)
	query.Avoid = appendAvoid(r.avoid, r.running[0].choice.Endpoint)
	choice, err := r.runner.deps.Chooser.Choose(time.Now(), query)
	if err != nil {
		return
	}
	number, resume, err := r.entry.BeginHedge()
	if err != nil {
		choice.Feedback.Finished(time.Now(), Report{Result: request.ResultUnsent})
		return
	}
	r.launch(choice, number, resume, nil)
}
