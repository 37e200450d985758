package entry

import (
	"context"
	"time"

	"knapweedhoist/internal/wait"
)

const (
	// connectionGrace is how long a stopping instance still accepts new connections: the platform checks readiness every
	// second and stops sending connections after two failed checks.
	connectionGrace = 3500 * time.Millisecond
	// requestGrace is how long a stopping instance still accepts requests. Later requests are refused, since too little of
	// the grace period is left for them: an engine under load takes several seconds to answer.
	requestGrace = 2800 * time.Millisecond
	// exitMargin is the time between the planned exit of the process and the end of the grace period.
	exitMargin = 300 * time.Millisecond
)

// drain performs a planned stop. It reports the instance as not ready, closes each connection after its next answer,
// releases the lease of the duties, refuses requests that arrive after requestGrace, and after connectionGrace closes
// idle connections and waits for the requests in progress. Requests that are still in progress exitMargin before the
// end of the grace period are cut off.
func (i *Instance) drain(ctx context.Context) {
	start := time.Now()
	grace := time.Duration(i.stopGrace.Load()) - exitMargin
	i.leaving.Store(true)
	i.server.Drain()
	i.lg.Info("instance stopping", "in_progress", i.server.InProgress(), "grace_ms", grace.Milliseconds())
	if i.duties != nil {
		i.duties.Release(ctx)
	}
	if !wait.For(ctx, time.Until(start.Add(requestGrace))) {
		return
	}
	i.server.Refuse()
	if !wait.For(ctx, time.Until(start.Add(connectionGrace))) {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, start.Add(grace))
	defer cancel()
	if err := i.server.Shutdown(ctx); err != nil {
		i.lg.Warn("requests cut at the stop", "in_progress", i.server.InProgress(), "ids", i.server.RequestsInProgress(),
			"error", err.Error())
	}
	i.lg.Info("instance stopped", "ms", time.Since(start).Milliseconds())
}
