package backend

import (
	"context"
	"errors"
	"time"

	"knapweedhoist/engine"
	"knapweedhoist/request"
	"knapweedhoist/timeline"
)

// stream runs an attempt at a model engine.
func (r *run) stream(t *try) end {
	work := r.engineRequest(t)
	if err := r.entry.MarkSent(t.number); err != nil {
		return end{try: t, result: request.ResultUnsent, err: err}
	}
	t.choice.Feedback.Sent(time.Now())
	err := t.choice.Engine.Stream(t.ctx, work, func(event engine.Event) error { return r.accept(t, event) })
	if t.finish != "" {
		// The answer is whole, also when the connection broke after its last event.
		return end{try: t, result: request.ResultDone, finish: r.modelFinish(t)}
	}
	if err == nil {
		err = errProtocol
	}
	return end{try: t, result: streamResult(err), err: err}
}

func (r *run) engineRequest(t *try) engine.Request {
	work := *r.spec.Completion
	work.ID = r.spec.ID.String()
	work.Attempt = t.number
	work.Priority = t.choice.Priority
	if len(t.resume) > 0 {
		work.Resume = &engine.Resume{Tokens: t.resume, KVHandle: r.importKV(t)}
	}
	return work
}

// importKV returns the handle of an imported KV cache, or "" to recompute it.
func (r *run) importKV(t *try) string {
	if t.kv == nil {
		return ""
	}
	ctx, cancel := context.WithTimeout(t.ctx, r.runner.cfg.ExportTimeout)
	defer cancel()
	if err := t.choice.Engine.ImportKV(ctx, *t.kv); err != nil {
		return ""
	}
	return t.kv.ID
}

// accept takes one event of an attempt.
func (r *run) accept(t *try, event engine.Event) error {
	if t.finish != "" {
		return errProtocol
	}
	if event.Token != "" || event.Finish == "" {
		if err := r.token(t, event); err != nil {
			return err
		}
	}
	t.finish = event.Finish
	t.usage = event.Usage
	return nil
}

func (r *run) token(t *try, event engine.Event) error {
	if event.Index != t.next {
		return errProtocol
	}
	if err := r.entry.AppendToken(t.number, event.Index, event.Token); err != nil {
		return err
	}
	t.next++
	t.got++
	if t.got > 1 {
		t.choice.Feedback.Token(time.Now())
		return nil
	}
	t.choice.Feedback.FirstToken(time.Now())
	r.record(timeline.KindFirstToken, t, "stream", "")
	select {
	case r.won <- t:
	case <-t.ctx.Done():
	}
	return nil
}

func (r *run) modelFinish(t *try) *request.Finish {
	usage := engine.Usage{}
	if t.usage != nil {
		usage = *t.usage
	}
	// The caller's usage covers the whole answer, not only the last attempt.
	usage.CompletionTokens = t.next
	return &request.Finish{Outcome: request.OutcomeRan, Reason: t.finish, Usage: &usage}
}

func streamResult(err error) request.AttemptResult {
	switch {
	case errors.Is(err, engine.ErrRefused), errors.Is(err, engine.ErrLeaving):
		return request.ResultRefused
	case errors.Is(err, request.ErrSuperseded), errors.Is(err, context.Canceled):
		return request.ResultSuperseded
	default:
		return request.ResultBroken
	}
}
