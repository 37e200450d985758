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

// stopWait bounds the wait for the end of attempts that were given up.
const stopWait = 100 * time.Millisecond

// move gives up an attempt at a leaving endpoint. The attempt streams on while
// its KV cache is exported, and may finish meanwhile; then no other follows.
func (r *run) move(t *try) (kv *engine.KVHandle, again bool) {
	kv = r.export(t)
	r.record(timeline.KindResume, t, "move", "")
	for _, live := range r.live {
		live.cancel()
	}
	if r.awaitEnds() {
		return nil, false
	}
	r.avoid = appendAvoid(r.avoid, t.choice.Endpoint)
	r.idle++
	r.cancelLive()
	return kv, true
}

// awaitEnds waits for the ends of cancelled attempts, and reports whether one
// of them had answered the request before. An answer that is overlooked would
// be generated again, perhaps with another end.
func (r *run) awaitEnds() bool {
	timer := time.NewTimer(stopWait)
	defer timer.Stop()
	for len(r.live) > 0 {
		select {
		case e := <-r.ends:
			if !r.remove(e.try) {
				continue
			}
			if e.finish != nil {
				r.answered(e)
				return true
			}
			r.cancelAtEngine(e.try, e.result)
		case <-timer.C:
			return false
		}
	}
	return false
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
