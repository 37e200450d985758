package duty

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"knapweedhoist/clock"
	"knapweedhoist/internal/contain"
	"knapweedhoist/lease"
	"knapweedhoist/objectapi"
	"knapweedhoist/sizing"
	"knapweedhoist/usage"
)

// Deps are the dependencies of a Runner.
type Deps struct {
	Store objectapi.Store
	// StoreEra returns the highest era that any answer of Store has named, 0 for none.
	StoreEra func() objectapi.Era
	Cloud    Cloud
	Ledger   *usage.Ledger
	// CompleteUntil returns the time of day up to which Ledger has the counts of all connected instances.
	CompleteUntil func() time.Time
	// WallTime returns the estimated true time of day.
	WallTime func() time.Time
	// Candidate reports whether this instance contends for the lease.
	Candidate func() bool
	// PlanSizes returns the wanted sizes of the services, nil while none can be planned. Only the holder calls it.
	PlanSizes func(now time.Time) []sizing.Size
}

// Runner contends for the lease of the duties at one instance and runs them while it holds the lease.
type Runner struct {
	lg          *slog.Logger
	cfg         Config
	deps        Deps
	leaseRunner *leaseRunner
	usageDuty   *usageDuty
	sizeDuty    *sizeDuty
	startedAt   time.Time
	// refusedFence is the highest fencing token that the cloud refused, 0 for none.
	refusedFence uint64
}

// NewRunner returns a Runner that makes no call before Run.
func NewRunner(lg *slog.Logger, cfg Config, deps Deps) *Runner {
	cfg = cfg.withDefaults()
	leaseRunner := newLeaseRunner(lg, cfg, deps.Store, deps.StoreEra)
	return &Runner{
		lg: lg, cfg: cfg, deps: deps, leaseRunner: leaseRunner, startedAt: time.Now(),
		usageDuty: &usageDuty{
			lg: lg, cfg: cfg, store: deps.Store, cloud: deps.Cloud, ledger: deps.Ledger, completeUntil: deps.CompleteUntil,
			now: clock.Now,
		},
		sizeDuty: newSizeDuty(lg, deps.Cloud, cfg.ChecksFence, leaseRunner.raiseFence),
	}
}

// Run contends for the lease, and runs the duties while this instance holds it, until ctx is done.
func (r *Runner) Run(ctx context.Context) {
	go r.leaseRunner.run(ctx, func() bool {
		return (r.cfg.NewDeployment || time.Since(r.startedAt) >= r.cfg.startDelay()) && r.deps.Candidate()
	})
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = contain.Run(r.lg, "run duties", func() { r.runDuties(ctx) })
		}
	}
}

// Release releases the lease before a planned stop.
func (r *Runner) Release(ctx context.Context) { r.leaseRunner.release(ctx) }

// Holds reports whether this instance holds the lease.
func (r *Runner) Holds() bool {
	_, err := r.leaseRunner.permit(r.cfg.ChecksFence)
	return err == nil
}

// permit returns the holder for one call to the cloud, or the reason why none may be sent now.
func (r *Runner) permit() (Holder, error) {
	fence, err := r.leaseRunner.permit(r.cfg.ChecksFence)
	if err == nil && fence <= r.refusedFence {
		err = errFenceRefused
	}
	return Holder{Name: r.cfg.Instance, Fence: fence}, err
}

// errFenceRefused means that the cloud refused the fencing token, so that no call is sent until it is raised.
var errFenceRefused = errors.New("duty: fencing token refused by the cloud")

// handleRefusedFence stops all calls with a fencing token that the cloud refused, and asks for a higher one.
func (r *Runner) handleRefusedFence(err error, fence uint64) {
	if errors.Is(err, ErrFenced) && fence > r.refusedFence {
		r.refusedFence = fence
		r.leaseRunner.raiseFence()
		r.lg.Warn("fencing token refused", "fence", fence)
	}
}

// runDuties runs each enabled duty once, or discards the state of the duties when the lease is not held. It does
// nothing while calls of the former holder may be in flight to a cloud that ignores fencing tokens.
func (r *Runner) runDuties(ctx context.Context) {
	r.usageDuty.observeEra(r.deps.StoreEra())
	clocks := r.readClocks()
	holder, err := r.permit()
	if err != nil {
		if errors.Is(err, lease.ErrNotHeld) {
			r.usageDuty.reset()
			r.sizeDuty.reset()
		}
		return
	}
	if r.cfg.ReportsUsage {
		err := r.usageDuty.runOnce(ctx, clocks, r.permit)
		r.handleRefusedFence(err, holder.Fence)
		r.logFailure("usage", err)
	}
	if r.cfg.OrdersEndpoints {
		r.logFailure("order", r.sizeDuty.placeOrders(ctx, time.Now(), r.deps.PlanSizes(time.Now()), r.permit))
	}
}

// readClocks returns the present times of the clocks.
func (r *Runner) readClocks() reading {
	now := clock.Now()
	return reading{now: now, wall: r.deps.WallTime(), local: time.Now().Round(0)}
}

func (r *Runner) logFailure(step string, err error) {
	if err != nil {
		r.lg.Warn("duty failed", "step", step, "error", err.Error())
	}
}
