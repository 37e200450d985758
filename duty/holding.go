package duty

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"knapweedhoist/clock"
	"knapweedhoist/invariant"
	"knapweedhoist/lease"
	"knapweedhoist/objectapi"
	"knapweedhoist/timeline"
)

// holding runs the keeper of the lease and makes its calls.
type holding struct {
	lg    *slog.Logger
	store objectapi.Store

	mu     sync.Mutex
	keeper *lease.Keeper
}

func newHolding(lg *slog.Logger, cfg Config, store objectapi.Store) *holding {
	return &holding{lg: lg, store: store, keeper: lease.NewKeeper(lg, lease.Config{
		Duty: "duties", Holder: cfg.Instance, Incarnation: cfg.Incarnation,
		Duration: cfg.leaseDuration(), Margin: leaseMargin, LongestOrder: longestOrder,
		Checker: invariant.NewReporter(lg, timeline.Discard),
	})}
}

// permit returns the fence for one order now.
func (h *holding) permit(checksFence bool) (uint64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	permit, err := h.keeper.Permit(clock.Now(), checksFence)
	return permit.Fence, err
}

// tick makes the calls that are due. candidate tells whether this instance contends.
func (h *holding) tick(ctx context.Context, candidate bool) {
	h.mu.Lock()
	h.keeper.SetCandidate(candidate)
	out := h.keeper.Tick(clock.Now())
	h.mu.Unlock()
	h.perform(ctx, out)
}

func (h *holding) perform(ctx context.Context, out lease.Output) {
	for _, event := range out.Events {
		h.logEvent(event)
	}
	for _, call := range out.Calls {
		go h.call(ctx, call)
	}
}

func (h *holding) call(ctx context.Context, call objectapi.Call) {
	reply, err := h.store.Do(ctx, call.Request)
	h.mu.Lock()
	out := h.keeper.Done(clock.Now(), objectapi.Done{ID: call.ID, Reply: reply, Err: err})
	h.mu.Unlock()
	h.perform(ctx, out)
}

func (h *holding) logEvent(event lease.Event) {
	switch event.Kind {
	case lease.Acquired:
		h.lg.Info("duties acquired", "fence", event.Fence)
	case lease.Lost:
		h.lg.Warn("duties lost", "fence", event.Fence)
	case lease.Released:
		h.lg.Info("duties released", "fence", event.Fence)
	}
}

// release gives the lease up, so that a successor need not wait for its end.
func (h *holding) release(ctx context.Context) {
	h.mu.Lock()
	out := h.keeper.Release(clock.Now())
	h.mu.Unlock()
	h.perform(ctx, out)
}

// run ticks until the end of ctx.
func (h *holding) run(ctx context.Context, candidate func() bool) {
	ticker := time.NewTicker(leaseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.tick(ctx, candidate())
		}
	}
}
