package backend

import (
	"context"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/engine"
	"knapweedhoist/timeline"
)

// moveTimer returns a channel that fires MoveMargin before endsAt, when the leaving endpoint stops. It is nil for plain
// calls, which cannot be moved: they end with their answer or when their connection closes.
func (r *run) moveTimer(endsAt time.Time) <-chan time.Time {
	if r.spec.Kind != catalog.KindModel {
		return nil
	}
	return time.After(time.Until(endsAt) - r.runner.cfg.MoveMargin)
}

// maxCancelWait bounds the wait for cancelled attempts to end.
const maxCancelWait = 100 * time.Millisecond

// move cancels all running attempts because the endpoint of a is leaving, and reports whether another attempt must
// start. Attempt a continues to stream while its KV cache is exported; if it completes the answer during that time, no
// other attempt starts.
func (r *run) move(a *attempt) (kv *engine.KVHandle, startNext bool) {
	kv = r.exportKV(a)
	r.record(timeline.KindResume, a, "move", "")
	for _, running := range r.running {
		running.cancel()
	}
	if r.awaitCancelled() {
		return nil, false
	}
	r.avoid = appendAvoid(r.avoid, a.choice.Endpoint)
	r.unproductiveAttempts++
	r.cancelRunning()
	return kv, true
}

// awaitCancelled waits until the cancelled attempts have ended, at most for maxCancelWait, and reports whether one of
// them had already answered the request. Without this check the end of the answer would be generated again, possibly
// with different text.
func (r *run) awaitCancelled() bool {
	timer := time.NewTimer(maxCancelWait)
	defer timer.Stop()
	for len(r.running) > 0 {
		select {
		case e := <-r.ends:
			if !r.remove(e.attempt) {
				continue
			}
			if e.finish != nil {
				r.finishAnswered(e)
				return true
			}
			r.cancelAtEngine(e.attempt, e.result)
		case <-timer.C:
			return false
		}
	}
	return false
}

// exportKV exports the KV cache of an attempt and returns its handle. It returns nil if too little time is left or the
// export fails; the engine of the next attempt then recomputes the cache.
func (r *run) exportKV(a *attempt) *engine.KVHandle {
	left := r.runner.timeLeft(a.choice.Endpoint) - r.runner.cfg.ExportMargin
	if left <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, min(left, r.runner.cfg.ExportTimeout))
	defer cancel()
	handle, err := a.choice.Engine.ExportKV(ctx, r.spec.ID.String(), a.number)
	if err != nil {
		return nil
	}
	return &handle
}

// timeLeft returns the time until the announced end of a leaving endpoint.
func (r *Runner) timeLeft(endpoint string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Until(r.leaving[endpoint])
}
