package duty

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"knapweedhoist/clock"
	"knapweedhoist/internal/contain"
	"knapweedhoist/invariant"
	"knapweedhoist/lease"
	"knapweedhoist/objectapi"
	"knapweedhoist/timeline"
)

// leaseRunner ticks the keeper of the lease "duties" and makes its store calls.
type leaseRunner struct {
	lg    *slog.Logger
	store objectapi.Store
	// era returns the highest era of the store that any call of this instance has seen.
	era func() objectapi.Era

	mu     sync.Mutex // guards keeper
	keeper *lease.Keeper
}

func newLeaseRunner(lg *slog.Logger, cfg Config, store objectapi.Store, era func() objectapi.Era) *leaseRunner {
	return &leaseRunner{lg: lg, store: store, era: era, keeper: lease.NewKeeper(lg, lease.Config{
		Duty: "duties", Holder: cfg.Instance, Incarnation: cfg.Incarnation,
		Duration: cfg.leaseDuration(), Margin: leaseMargin, MaxOrderDuration: maxOrderDuration,
		Checker: invariant.NewReporter(lg, timeline.Discard),
	})}
}

// permit returns the fencing token for one call to the cloud that is sent now, or an error of lease.Keeper.Permit.
func (l *leaseRunner) permit(checksFence bool) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.era() > l.keeper.Era() {
		return 0, lease.ErrNotHeld // the next tick tells the keeper
	}
	permit, err := l.keeper.Permit(clock.Now(), checksFence)
	return permit.Fence, err
}

// raiseFence makes the next renewal store a higher fencing token.
func (l *leaseRunner) raiseFence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keeper.RaiseFence()
}

// tick starts the store calls that are due. candidate reports whether this instance contends for the lease.
func (l *leaseRunner) tick(ctx context.Context, candidate bool) {
	l.mu.Lock()
	l.keeper.SetCandidate(candidate)
	risen := l.keeper.ObserveEra(clock.Now(), l.era())
	out := l.keeper.Tick(clock.Now())
	l.mu.Unlock()
	l.handleOutput(ctx, risen)
	l.handleOutput(ctx, out)
}

// handleOutput logs the events and starts the calls of an output of the keeper.
func (l *leaseRunner) handleOutput(ctx context.Context, out lease.Output) {
	for _, event := range out.Events {
		l.logEvent(event)
	}
	for _, call := range out.Calls {
		go l.doCall(ctx, call)
	}
}

// doCall makes one store call and passes its result to the keeper.
func (l *leaseRunner) doCall(ctx context.Context, call objectapi.Call) {
	reply, err := l.store.Do(ctx, call.Request)
	l.mu.Lock()
	out := l.keeper.Done(clock.Now(), objectapi.CallResult{ID: call.ID, Reply: reply, Err: err})
	l.mu.Unlock()
	l.handleOutput(ctx, out)
}

func (l *leaseRunner) logEvent(event lease.Event) {
	lg := l.lg.With("fence", event.Fence, "version", event.Version, "era", event.Era)
	switch event.Kind {
	case lease.Acquired:
		lg.Info("duties acquired")
	case lease.Lost:
		lg.Warn("duties lost")
	case lease.Released:
		lg.Info("duties released")
	}
}

// release releases the lease, so that the next holder need not wait for its expiry.
func (l *leaseRunner) release(ctx context.Context) {
	l.mu.Lock()
	out := l.keeper.Release(clock.Now())
	l.mu.Unlock()
	l.handleOutput(ctx, out)
}

// run ticks every leaseTickInterval until ctx is done.
func (l *leaseRunner) run(ctx context.Context, candidate func() bool) {
	ticker := time.NewTicker(leaseTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = contain.Run(l.lg, "tick lease", func() { l.tick(ctx, candidate()) })
		}
	}
}
