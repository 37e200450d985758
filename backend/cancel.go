package backend

import (
	"context"
	"slices"

	"knapweedhoist/request"
)

// keepOnly cancels the attempts that lost a hedge.
func (r *run) keepOnly(winner *try) {
	for _, t := range slices.Clone(r.live) {
		if t != winner {
			r.abandon(t)
		}
	}
}

// cancelLive cancels all running attempts.
func (r *run) cancelLive() {
	for _, t := range slices.Clone(r.live) {
		r.abandon(t)
	}
}

// abandon ends an attempt whose events no longer count.
func (r *run) abandon(t *try) {
	r.remove(t)
	t.cancel()
	r.cancelAtEngine(t, request.ResultSuperseded)
}

func (r *run) remove(t *try) bool {
	i := slices.Index(r.live, t)
	if i < 0 {
		return false
	}
	r.live = slices.Delete(r.live, i, i+1)
	return true
}

// cancelAtEngine tells the engine to stop, since a closed connection alone may
// go unnoticed there. Failures are harmless: late events are dropped.
func (r *run) cancelAtEngine(t *try, result request.AttemptResult) {
	if t.choice.Engine == nil || result == request.ResultUnsent || result == request.ResultRefused {
		return
	}
	id := r.spec.ID.String()
	r.runner.work.start(func() {
		ctx, cancel := context.WithTimeout(context.Background(), r.runner.cfg.CancelTimeout)
		defer cancel()
		_ = t.choice.Engine.Cancel(ctx, id, t.number)
	})
}
