package backend

import (
	"errors"
	"time"

	"knapweedhoist/request"
)

// callPlainService runs an attempt at an endpoint of a plain service.
func (r *run) callPlainService(a *attempt) attemptEnd {
	if err := r.entry.MarkSent(a.number); err != nil {
		return attemptEnd{attempt: a, result: request.ResultUnsent, err: err}
	}
	a.choice.Feedback.Sent(time.Now())
	answer, err := r.runner.deps.Caller.Call(a.ctx, a.choice.Address, OutgoingCall{
		RequestID: r.spec.ID.String(), Attempt: a.number, Call: r.spec.Call,
		Repeatable: r.spec.Repeatable(), MaxAnswerBytes: r.runner.cfg.MaxAnswerBytes,
	})
	if err != nil {
		return attemptEnd{attempt: a, result: callResult(err), err: err}
	}
	return attemptEnd{attempt: a, result: request.ResultDone, finish: &request.Finish{
		Outcome: request.OutcomeRan, Status: answer.Status, Header: answer.Header, Body: answer.Body,
	}}
}

// callResult returns the result of an attempt that failed with err. An attempt whose answer is too large counts as done,
// because the call ran.
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
