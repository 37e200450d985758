package backend

import (
	"context"
	"errors"
	"time"

	"knapweedhoist/engine"
	"knapweedhoist/request"
	"knapweedhoist/timeline"
)

// stream runs an attempt at a model engine until its stream ends.
func (r *run) stream(a *attempt) attemptEnd {
	work := r.engineRequest(a)
	if err := r.entry.MarkSent(a.number); err != nil {
		return attemptEnd{attempt: a, result: request.ResultUnsent, err: err}
	}
	a.choice.Feedback.Sent(time.Now())
	err := a.choice.Engine.Stream(a.ctx, work, func(event engine.Event) error { return r.handleEvent(a, event) })
	if a.finishReason != "" {
		// The answer is complete even if the connection broke after its last event.
		return attemptEnd{attempt: a, result: request.ResultDone, finish: r.modelFinish(a)}
	}
	if err == nil {
		err = errProtocol
	}
	return attemptEnd{attempt: a, result: streamResult(err), err: err}
}

func (r *run) engineRequest(a *attempt) engine.Request {
	work := *r.spec.Completion
	work.ID = r.spec.ID.String()
	work.Attempt = a.number
	work.Priority = a.choice.Priority
	if len(a.resume) > 0 {
		work.Resume = &engine.Resume{Tokens: a.resume, KVHandle: r.importKV(a)}
	}
	return work
}

// importKV imports the exported KV cache at the engine and returns its handle. Without an export, or if the import
// fails, it returns "" and the engine recomputes the cache.
func (r *run) importKV(a *attempt) string {
	if a.kv == nil {
		return ""
	}
	ctx, cancel := context.WithTimeout(a.ctx, r.runner.cfg.ExportTimeout)
	defer cancel()
	if err := a.choice.Engine.ImportKV(ctx, *a.kv); err != nil {
		return ""
	}
	return a.kv.ID
}

// streamEndTime is how long the end of a stream is awaited after its finish. An engine in trouble may never send it.
const streamEndTime = 500 * time.Millisecond

// handleEvent checks and stores one event of an attempt. An event after the finish is an error.
func (r *run) handleEvent(a *attempt, event engine.Event) error {
	if a.finishReason != "" {
		return errProtocol
	}
	if event.Token != "" || event.FinishReason == "" {
		if err := r.handleToken(a, event); err != nil {
			return err
		}
	}
	a.finishReason = event.FinishReason
	a.usage = event.Usage
	if a.finishReason != "" {
		time.AfterFunc(streamEndTime, a.cancel)
	}
	return nil
}

func (r *run) handleToken(a *attempt, event engine.Event) error {
	if event.Index != a.nextIndex {
		return errProtocol
	}
	if err := r.entry.AppendToken(a.number, event.Index, event.Token); err != nil {
		return err
	}
	a.nextIndex++
	a.received++
	if a.received > 1 {
		a.choice.Feedback.Token(time.Now())
		return nil
	}
	a.choice.Feedback.FirstToken(time.Now())
	r.record(timeline.KindFirstToken, a, "stream", "")
	select {
	case r.firstTokens <- a:
	case <-a.ctx.Done():
	}
	return nil
}

func (r *run) modelFinish(a *attempt) *request.Finish {
	usage := engine.Usage{}
	if a.usage != nil {
		usage = *a.usage
	}
	// The completion tokens that the caller gets are those of the whole answer, not only of the last attempt.
	usage.CompletionTokens = a.nextIndex
	return &request.Finish{Outcome: request.OutcomeRan, FinishReason: a.finishReason, Usage: &usage}
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
