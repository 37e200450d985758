// Package knapweedhoist is an entry instance of the serving system as a
// library: it takes callers' requests and runs them on the endpoints of the
// fleet under the configuration that operators share.
package knapweedhoist

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"knapweedhoist/backend"
	"knapweedhoist/catalog"
	"knapweedhoist/engine"
	"knapweedhoist/gateway"
	"knapweedhoist/invariant"
	"knapweedhoist/platform"
	"knapweedhoist/request"
	"knapweedhoist/roster"
	"knapweedhoist/settings"
	"knapweedhoist/timeline"
)

// Instance is one entry instance.
type Instance struct {
	lg          *slog.Logger
	cfg         settings.Settings
	incarnation string
	recorder    timeline.Recorder
	checker     *invariant.Reporter

	store    platform.Store
	list     roster.List
	view     atomic.Pointer[view]
	control  *control
	registry *request.Registry
	runner   *backend.Runner
	gateway  *gateway.Server
}

// New returns an instance that is not running yet.
func New(lg *slog.Logger, cfg settings.Settings) *Instance {
	i := &Instance{lg: lg.With("instance", cfg.Instance, "datacentre", cfg.Datacentre), cfg: cfg}
	i.incarnation = ulid.Make().String()
	i.recorder = timeline.Discard
	i.checker = invariant.NewReporter(i.lg, i.recorder)
	i.store = platform.NewClient(i.lg, platform.ClientConfig{
		Address: cfg.Platform.Address, Token: string(cfg.Platform.Credential), Timeout: cfg.Platform.CallTimeout(),
	})
	i.list = roster.NewClient(i.lg, roster.ClientConfig{
		Address: cfg.List.Address, Token: string(cfg.List.Credential), Timeout: cfg.List.CallTimeout(),
	})
	i.view.Store(&view{document: &catalog.Document{}})
	i.control = newControl(i)
	i.wireTraffic()
	return i
}

func (i *Instance) wireTraffic() {
	limits := i.cfg.Limits
	i.registry = request.NewRegistry(i.incarnation, i.checker, request.Config{
		MaxInProgress: limits.MaxRequests, Keep: time.Duration(limits.FinishedKept),
	})
	i.runner = backend.NewRunner(i.lg, backend.Config{}, backend.Deps{
		Chooser: &chooser{instance: i, outstanding: make(map[string]int), engines: make(map[string]*engine.Client)},
		Retrier: policy{}, Claimer: policy{}, Caller: backend.NewHTTPCaller(), Answers: i.registry, Recorder: i.recorder,
	})
	i.gateway = gateway.NewServer(i.lg, gateway.Config{
		MaxHeaderBytes: limits.MaxHeaderBytes, MaxBodyBytes: limits.MaxBodyBytes,
		ReadTimeout: time.Duration(limits.ReadTimeout), Deadline: time.Duration(limits.DefaultDeadline),
		MaxDeadline: time.Duration(limits.MaxDeadline),
	}, gateway.Deps{
		Directory: i, Admitter: policy{}, Registry: i.registry, Remote: policy{}, Starter: i.runner, Recorder: i.recorder,
	})
}

// Run serves until ctx ends, then stops gracefully.
func (i *Instance) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", i.cfg.Listen.Callers)
	if err != nil {
		return oops.With("step", "listen", "peer", i.cfg.Listen.Callers).Wrap(err)
	}
	i.lg.Info("instance started", "incarnation", i.incarnation, "callers", listener.Addr().String())
	group, background := errgroup.WithContext(context.WithoutCancel(ctx))
	work, cancel := context.WithCancel(background)
	defer cancel()
	group.Go(func() error { i.control.run(work); return nil })
	group.Go(func() error { i.control.readRoster(work, i.list); return nil })
	group.Go(func() error {
		i.followConfiguration(work, func(document *catalog.Document) { send(work, i.control.documents, document) })
		return nil
	})
	group.Go(func() error { return i.gateway.Serve(listener) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		defer cancel()
		return i.stop()
	})
	return group.Wait()
}

// stop lets requests in progress finish within the drain timeout.
func (i *Instance) stop() error {
	i.gateway.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i.cfg.Shutdown.DrainTimeout))
	defer cancel()
	return i.gateway.Shutdown(ctx)
}
