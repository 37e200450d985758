package entry

import (
	"context"
	"time"

	"knapweedhoist/internal/wait"
)

// drain performs a planned stop. It reports the instance as not ready, closes each connection after its next answer and
// releases the lease of the duties. Then it goes through the phases of stopPhases: it refuses further requests, closes idle
// connections, waits for the requests in progress, and ends those that remain with an answer of its own.
func (i *Instance) drain(ctx context.Context) {
	start := time.Now()
	phases := newStopPhases(time.Duration(i.stopGrace.Load()))
	i.leaving.Store(true)
	i.server.Drain()
	i.lg.Info("instance stopping", "in_progress", i.server.InProgress(), "grace_ms", phases.exit.Milliseconds())
	if i.duties != nil {
		i.duties.Release(ctx)
	}
	if !wait.For(ctx, time.Until(start.Add(phases.refuse))) {
		return
	}
	i.server.Refuse()
	if !wait.For(ctx, time.Until(start.Add(phases.close))) {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, start.Add(phases.exit))
	defer cancel()
	i.endRequests(ctx, start.Add(phases.cut))
	i.lg.Info("instance stopped", "ms", time.Since(start).Milliseconds())
}

// endRequests waits for the requests in progress until cut and then ends the others. It returns when ctx ends, at the latest.
func (i *Instance) endRequests(ctx context.Context, cut time.Time) {
	untilCut, cancel := context.WithDeadline(ctx, cut)
	defer cancel()
	err := i.server.Shutdown(untilCut)
	if err == nil {
		return
	}
	i.lg.Warn("requests cut at the stop", "in_progress", i.server.InProgress(), "ids", i.server.RequestsInProgress(),
		"error", err.Error())
	if err := i.server.Cut(ctx); err != nil {
		i.lg.Warn("connections left open at the stop", "in_progress", i.server.InProgress(), "error", err.Error())
	}
}
