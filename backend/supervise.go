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

// supervise waits for the end of an attempt and its hedge. It returns whether
// another attempt follows, and the KV cache from which that one continues.
func (r *run) supervise(t *try) (*engine.KVHandle, bool) {
	hedge := time.NewTimer(time.Hour)
	defer hedge.Stop()
	r.askHedge(t, hedge)
	var move <-chan time.Time
	for {
		if t != r.live[0] {
			// The attempt ended or lost; its hedge takes its place.
			t, move = r.live[0], nil
		}
		select {
		case e := <-r.ends:
			if again, decided := r.ended(e); decided {
				return nil, again
			}
		case winner := <-r.won:
			// An attempt that has ended meanwhile decides nothing.
			if slices.Contains(r.live, winner) {
				hedge.Stop()
				r.keepOnly(winner)
			}
		case <-hedge.C:
			r.askHedge(t, hedge)
		case until := <-t.leave:
			move = r.moveAt(until)
		case <-move:
			return r.move(t)
		case <-r.ctx.Done():
			r.fail(context.Cause(r.ctx))
			return nil, false
		}
	}
}

// ended handles the end of an attempt. It decides when no attempt is left.
func (r *run) ended(e end) (again, decided bool) {
	if !r.remove(e.try) {
		return false, false
	}
	if e.finish != nil {
		r.answered(e)
		return false, true
	}
	r.noteFailure(e)
	if len(r.live) > 0 {
		return false, false
	}
	return r.mayRetry(e), true
}

func (r *run) answered(e end) {
	if err := r.entry.Finish(time.Now(), *e.finish); err != nil {
		return
	}
	r.record(timeline.KindFinish, e.try, "finish", string(e.finish.Outcome))
	r.runner.deps.Retrier.Succeeded(r.spec.Service)
	r.reportClaim(*e.finish)
}

func (r *run) noteFailure(e end) {
	r.avoid = appendAvoid(r.avoid, e.try.choice.Endpoint)
	r.idle++
	if e.try.got > 0 {
		r.idle = 0
	}
	r.record(timeline.KindAttempt, e.try, "failed", e.result.String())
	r.cancelAtEngine(e.try, e.result)
}

// maxAvoid bounds the endpoints that a request remembers; the oldest are forgotten.
const maxAvoid = 16

func appendAvoid(avoid []string, endpoint string) []string {
	if len(avoid) >= maxAvoid {
		avoid = avoid[1:]
	}
	// The full slice expression copies, because queries share the old slice.
	return append(avoid[:len(avoid):len(avoid)], endpoint)
}

// mayRetry asks for another attempt and waits for its time.
func (r *run) mayRetry(e end) bool {
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

func (r *run) retryDelay(e end, cause Cause) (time.Duration, bool) {
	if cause == CauseReclaim {
		return r.reclaimDelay(), true
	}
	return r.runner.deps.Retrier.Retry(time.Now(), Failure{
		Service: r.spec.Service, Endpoint: e.try.choice.Endpoint, Cause: cause, Progressed: e.try.got > 0,
		Attempt: e.try.number, Deadline: r.spec.Deadline,
	})
}

// reclaimDelay is zero for the first move, and grows while attempts at leaving
// endpoints produce nothing, so that a late view of the members causes no storm.
func (r *run) reclaimDelay() time.Duration {
	if r.idle <= 1 {
		return 0
	}
	delay := r.runner.cfg.MinBackoff << min(r.idle-2, 10)
	return min(delay, r.runner.cfg.MaxBackoff)
}

func causeOf(e end) Cause {
	switch {
	case errors.Is(e.err, engine.ErrLeaving):
		return CauseReclaim
	case e.result == request.ResultUnsent, e.result == request.ResultRefused:
		return CauseRefused
	default:
		return CauseBroken
	}
}

// askHedge asks whether to start a hedge, and sets the timer for the next time.
func (r *run) askHedge(t *try, timer *time.Timer) {
	timer.Stop()
	if len(r.live) != 1 || !r.spec.Repeatable() {
		return
	}
	start, again := r.runner.deps.Retrier.Hedge(time.Now(), r.slow(t))
	if !start && again > 0 {
		timer.Reset(again)
	}
	if start {
		r.hedge()
	}
}

func (r *run) slow(t *try) Slow {
	slow := Slow{
		Service: r.spec.Service, Endpoint: t.choice.Endpoint, Team: r.spec.Team,
		PromptTokens: r.spec.PromptTokens, Waited: time.Since(t.sent),
	}
	if r.spec.Kind == catalog.KindModel {
		slow.MaxTokens = r.spec.Completion.MaxTokens
	}
	return slow
}

func (r *run) hedge() {
	query := r.query(true)
	query.Avoid = appendAvoid(r.avoid, r.live[0].choice.Endpoint)
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
