package backend

import (
	"context"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/engine"
	"knapweedhoist/timeline"
)

// moveAt returns when the work leaves an endpoint whose notice ends at until.
// Plain calls cannot be moved; they end with their answer or their connection.
func (r *run) moveAt(until time.Time) <-chan time.Time {
	if r.spec.Kind != catalog.KindModel {
		return nil
	}
	return time.After(time.Until(until) - r.runner.cfg.MoveMargin)
}

// move gives up an attempt at a leaving endpoint. The attempt streams on while
// its KV cache is exported.
func (r *run) move(t *try) *engine.KVHandle {
	kv := r.export(t)
	r.avoid = appendAvoid(r.avoid, t.choice.Endpoint)
	r.idle++
	r.record(timeline.KindResume, t, "move", "")
	r.cancelLive()
	return kv
}

// export returns the exported KV cache, nil when there is no time or it fails.
// The next attempt then continues from the tokens so far.
func (r *run) export(t *try) *engine.KVHandle {
	left := r.runner.timeLeft(t.choice.Endpoint) - r.runner.cfg.ExportMargin
	if left <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, min(left, r.runner.cfg.ExportTimeout))
	defer cancel()
	handle, err := t.choice.Engine.ExportKV(ctx, r.spec.ID.String(), t.number)
	if err != nil {
		return nil
	}
	return &handle
}

// timeLeft returns the time until a leaving endpoint ends.
func (r *Runner) timeLeft(endpoint string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Until(r.leaving[endpoint])
}
