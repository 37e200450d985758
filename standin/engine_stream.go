package standin

import (
	"context"
	"slices"
	"time"

	"knapweedhoist/engine"
)

// sink receives the output of a stream.
type sink struct {
	event func(engine.Event) error
	// idle is called each time that EngineConfig.CommentInterval passes without a new token.
	idle func() error
}

// Stream implements engine.Engine.
func (e *Engine) Stream(ctx context.Context, request engine.Request, yield func(engine.Event) error) error {
	s, fault, err := e.accept(ctx, request)
	if err != nil {
		return err
	}
	return e.sendTokens(ctx, s, fault, sink{event: yield, idle: func() error { return nil }})
}

// accept applies the faults of the call and enqueues the request. The error is
// that of a fault or the reason for the refusal.
func (e *Engine) accept(ctx context.Context, request engine.Request) (*sequence, effect, error) {
	fault, err := e.beforeCall(ctx, Call{Op: "stream", Name: request.ID, Attempt: request.Attempt})
	if err != nil {
		return nil, fault, err
	}
	s, err := e.submit(request)
	return s, fault, err
}

func (e *Engine) submit(request engine.Request) (*sequence, error) {
	s := newSequence(request)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.refusal(request); err != nil {
		return nil, err
	}
	e.arrivalCount++
	s.arrival = e.arrivalCount
	if !e.batch.enqueue(s) {
		return nil, &engine.RefusedError{RetryAfter: e.estimatedQueueWait(), Reason: "queue full"}
	}
	s.record = newAttempt(s)
	e.active[s.key()] = s
	e.addRecord(s.record)
	e.recordLoad()
	e.startSteps()
	return s, nil
}

// refusal returns the error with which the engine refuses a request, or nil if only a full queue can still refuse it. It
// records a request that arrives after the notice to leave. The caller holds e.mu.
func (e *Engine) refusal(request engine.Request) error {
	_, duplicate := e.active[attemptKey{id: request.ID, number: request.Attempt}]
	switch {
	case e.closed:
		return engine.ErrUnreachable
	case e.leaving:
		e.lateArrivals.add(e.cfg.Clock.Now())
		return engine.ErrLeaving
	case duplicate:
		return &engine.RefusedError{Reason: "attempt is running"}
	case len(request.Messages) == 0:
		return &engine.RefusedError{Reason: "no messages"}
	case len(e.models) > 0 && !slices.Contains(e.models, request.Model):
		return &engine.RefusedError{Reason: "model not loaded"}
	default:
		return nil
	}
}

// estimatedQueueWait estimates the time until the queue has a free slot. The caller holds e.mu.
func (e *Engine) estimatedQueueWait() time.Duration {
	shortest := maxAnswerTokens
	for _, s := range e.batch.running {
		shortest = min(shortest, s.answer.Tokens-s.generated)
	}
	return time.Duration(shortest) * e.batch.stepDuration(len(e.batch.running), 0)
}

// addRecord appends an attempt record. Above 2*retainedAttempts records it drops the oldest retainedAttempts. The caller
// holds e.mu.
func (e *Engine) addRecord(record *Attempt) {
	e.attempts = append(e.attempts, record)
	if len(e.attempts) > 2*retainedAttempts {
		e.attempts = slices.Clone(e.attempts[retainedAttempts:])
	}
}

func (s *sequence) key() attemptKey {
	return attemptKey{id: s.request.ID, number: s.request.Attempt}
}

// sendTokens sends the tokens of a sequence to out until the sequence ends.
func (e *Engine) sendTokens(ctx context.Context, s *sequence, fault effect, out sink) error {
	defer e.release(s)
	sent := s.resumedTokens()
	for {
		generated, state := e.progress(s)
		for ; sent < generated; sent++ {
			if err := fault.applyAtToken(ctx, sent-s.resumedTokens()); err != nil {
				return err
			}
			if err := out.event(engine.Event{Index: sent, Token: s.answer.Token(sent)}); err != nil {
				return err
			}
		}
		switch state {
		case sequenceFinished:
			return e.sendFinalEvent(ctx, s, fault, out)
		case sequenceCancelled, sequenceBroken:
			return engine.ErrBroken
		}
		if err := e.waitForChange(ctx, s, out); err != nil {
			return err
		}
	}
}

// applyAtToken applies FaultBreak, and FaultSilence with AfterTokens, once sent, the
// number of new tokens sent, reaches AfterTokens. On a silenced connection the
// engine continues to generate, because it cannot detect that the data is lost.
func (e effect) applyAtToken(ctx context.Context, sent int) error {
	if e.afterTokens == 0 && !e.breakStream || sent < e.afterTokens {
		return nil
	}
	if e.silence && !silenceConn(ctx) {
		return engine.ErrBroken
	}
	if e.breakStream {
		closeConn(ctx)
		return engine.ErrBroken
	}
	return nil
}

func (e *Engine) sendFinalEvent(ctx context.Context, s *sequence, fault effect, out sink) error {
	if err := fault.applyAtToken(ctx, s.generated-s.resumedTokens()); err != nil {
		return err
	}
	usage := s.usage
	event := engine.Event{Index: s.generated, FinishReason: s.answer.Finish, Usage: &usage}
	return fault.after(ctx, out.event(event), engine.ErrBroken)
}

func (e *Engine) progress(s *sequence) (generated int, state sequenceState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.generated, s.state
}

// waitForChange waits for a change of the sequence, and calls out.idle if there is
// none within EngineConfig.CommentInterval.
func (e *Engine) waitForChange(ctx context.Context, s *sequence, out sink) error {
	elapsed, stop := e.cfg.Clock.After(e.cfg.CommentInterval)
	defer stop()
	select {
	case <-s.changed:
		return nil
	case <-elapsed:
		return out.idle()
	case <-ctx.Done():
		return engine.ErrBroken
	}
}

// release removes a sequence whose stream has ended, and cancels it if it is still active.
func (e *Engine) release(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.active() {
		s.end(sequenceCancelled)
	}
	s.updateRecord()
	delete(e.active, s.key())
	e.batch.removeEnded()
	e.recordLoad()
}
