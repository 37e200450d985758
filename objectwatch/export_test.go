package objectwatch

import (
	"context"
	"time"

	"knapweedhoist/clock"
)

// Step does what Run does in one iteration, without the wait after a failure.
func (w *Watcher) Step(ctx context.Context) {
	start := clock.Now()
	reply, err := w.containedCall(ctx)
	if err != nil {
		w.backoff = time.Nanosecond
		w.handleFailure(ctx, err)
		return
	}
	w.handleSuccess(max(clock.Now().Sub(start)-reply.Waited, 0) + reply.Age)
}
