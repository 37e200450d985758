package duty

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"knapweedhoist/lease"
	"knapweedhoist/objectapi"
	"knapweedhoist/sizing"
	"knapweedhoist/usage"
)

// Deps are the parts that a Runner uses.
type Deps struct {
	Store  objectapi.Store
	Cloud  Cloud
	Ledger *usage.Ledger
	// Wall returns the estimated true time of day.
	Wall func() time.Time
	// Candidate tells whether this instance is among those that contend for the duties.
	Candidate func() bool
	// Sizes returns the wanted sizes of the services, nil while nothing is known. It is called by the holder only.
	Sizes func(now time.Time) []sizing.Size
}

// Runner runs the duties of one instance.
type Runner struct {
	lg      *slog.Logger
	cfg     Config
	deps    Deps
	holding *holding
	usage   *usageDuty
	sizes   *sizeDuty
	started time.Time
}

// NewRunner returns a Runner that makes no call before Run.
func NewRunner(lg *slog.Logger, cfg Config, deps Deps) *Runner {
	cfg = cfg.withDefaults()
	return &Runner{
		lg: lg, cfg: cfg, deps: deps, holding: newHolding(lg, cfg, deps.Store), started: time.Now(),
		usage: &usageDuty{lg: lg, cfg: cfg, store: deps.Store, cloud: deps.Cloud, ledger: deps.Ledger},
		sizes: newSizeDuty(lg, deps.Cloud),
	}
}

// Run contends for the lease and does the duties while it is held, until the end of ctx.
func (r *Runner) Run(ctx context.Context) {
	go r.holding.run(ctx, func() bool {
		return (r.cfg.NewDeployment || time.Since(r.started) >= r.cfg.startDelay()) && r.deps.Candidate()
	})
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.step(ctx)
		}
	}
}

// Release gives the duties up, before a planned stop.
func (r *Runner) Release(ctx context.Context) { r.holding.release(ctx) }

func (r *Runner) allow() (Holder, error) {
	fence, err := r.holding.permit(r.cfg.ChecksFence)
	return Holder{Name: r.cfg.Instance, Fence: fence}, err
}

func (r *Runner) step(ctx context.Context) {
	if _, err := r.allow(); err != nil {
		if errors.Is(err, lease.ErrNotHeld) {
			r.usage.reset()
			r.sizes.reset()
		}
		return
	}
	if r.cfg.Reports {
		r.note("usage", r.usage.step(ctx, r.deps.Wall(), r.allow))
	}
	if r.cfg.Orders {
		r.note("order", r.sizes.step(ctx, time.Now(), r.deps.Sizes(time.Now()), r.allow))
	}
}

func (r *Runner) note(step string, err error) {
	if err != nil {
		r.lg.Warn("duty failed", "step", step, "error", err.Error())
	}
}
