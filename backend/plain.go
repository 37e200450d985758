package backend

import (
	"errors"
	"time"

	"knapweedhoist/request"
)

// call runs an attempt at a plain endpoint.
func (r *run) call(t *try) end {
	if err := r.entry.MarkSent(t.number); err != nil {
		return end{try: t, result: request.ResultUnsent, err: err}
	}
	t.choice.Feedback.Sent(time.Now())
	answer, err := r.runner.deps.Caller.Call(t.ctx, t.choice.Address, Outgoing{
		RequestID: r.spec.ID.String(), Attempt: t.number, Call: r.spec.Call,
		Repeatable: r.spec.Repeatable(), MaxAnswerBytes: r.runner.cfg.MaxAnswerBytes,
	})
	if err != nil {
		return end{try: t, result: callResult(err), err: err}
	}
	return end{try: t, result: request.ResultDone, finish: &request.Finish{
		Outcome: request.OutcomeRan, Status: answer.Status, Header: answer.Header, Body: answer.Body,
	}}
}

func callResult(err error) request.AttemptResult {
	switch {
	case errors.Is(err, ErrUnsent):
		return request.ResultUnsent
	case errors.Is(err, ErrRefused):
		return request.ResultRefused
	case errors.Is(err, ErrAnswerTooLarge):
		return request.ResultDone
	default:
		return request.ResultBroken
	}
}
