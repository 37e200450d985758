package entry

import (
	"context"
	"time"

	"knapweedhoist/internal/wait"
)

const (
	// leaveTime is how long an instance that leaves still takes new connections: the platform asks every second,
	// and stops sending them after two misses.
	leaveTime = 3500 * time.Millisecond
	// acceptTime is how long an instance that leaves still sends requests to endpoints. What arrives later is refused, as
	// too little of the grace is left for it: an answer of an engine under load takes several seconds.
	acceptTime = 2800 * time.Millisecond
	// killMargin is the time before the end of the grace at which the process ends by itself.
	killMargin = 300 * time.Millisecond
)

// drain ends the instance without cutting a request: it stops being ready,
// makes each answer the last on its connection, refuses what comes late, then
// closes what is idle and waits for what is in progress.
func (i *Instance) drain(ctx context.Context) {
	start := time.Now()
	grace := time.Duration(i.grace.Load()) - killMargin
	i.leaving.Store(true)
	i.front.Drain()
	i.lg.Info("instance stopping", "in_progress", i.front.InProgress(), "grace_ms", grace.Milliseconds())
	if i.duties != nil {
		i.duties.Release(ctx)
	}
	if !wait.For(ctx, time.Until(start.Add(acceptTime))) {
		return
	}
	i.front.Refuse()
	if !wait.For(ctx, time.Until(start.Add(leaveTime))) {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, start.Add(grace))
	defer cancel()
	if err := i.front.Shutdown(ctx); err != nil {
		i.lg.Warn("requests cut at the stop", "in_progress", i.front.InProgress(), "error", err.Error())
	}
	i.lg.Info("instance stopped", "ms", time.Since(start).Milliseconds())
}
