package backend

import (
	"context"
	"slices"

	"knapweedhoist/request"
)

// cancelLosers cancels all running attempts except the one that won the hedge.
func (r *run) cancelLosers(winner *attempt) {
	for _, a := range slices.Clone(r.running) {
		if a != winner {
			r.cancelAttempt(a)
		}
	}
}

// cancelRunning cancels all running attempts.
func (r *run) cancelRunning() {
	for _, a := range slices.Clone(r.running) {
		r.cancelAttempt(a)
	}
}

// cancelAttempt removes an attempt from the running ones, cancels its context and cancels it at its engine.
func (r *run) cancelAttempt(a *attempt) {
	r.remove(a)
	a.cancel()
	r.cancelAtEngine(a, request.ResultSuperseded)
}

// remove removes an attempt from the running ones and reports whether it was one of them.
func (r *run) remove(a *attempt) bool {
	i := slices.Index(r.running, a)
	if i < 0 {
		return false
	}
	r.running = slices.Delete(r.running, i, i+1)
	return true
}

// cancelAtEngine sends a cancel call to the engine, since the engine may not detect that the connection was closed.
// It sends none for a plain service, or if the result proves that the engine did not run the attempt. An error of the
// call is ignored: the request's entry drops late events of the attempt.
func (r *run) cancelAtEngine(a *attempt, result request.AttemptResult) {
	if a.choice.Engine == nil || result == request.ResultUnsent || result == request.ResultRefused {
		return
	}
	id := r.spec.ID.String()
	r.runner.tasks.start(func() {
		ctx, cancel := context.WithTimeout(context.Background(), r.runner.cfg.CancelTimeout)
		defer cancel()
		_ = a.choice.Engine.Cancel(ctx, id, a.number)
	})
}
