package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"

	"knapweedhoist/clock"
	"knapweedhoist/deployment"
	"knapweedhoist/dispatch"
	"knapweedhoist/duty"
	"knapweedhoist/forward"
	"knapweedhoist/gossip"
	"knapweedhoist/objectapi"
	"knapweedhoist/objectrelay"
	"knapweedhoist/objectwatch"
	"knapweedhoist/retrybudget"
	"knapweedhoist/sizing"
	"knapweedhoist/teamlimit"
	"knapweedhoist/upstream"
	"knapweedhoist/usage"
	"knapweedhoist/walltime"
)

// Instance is one entry instance on a platform.
type Instance struct {
	lg       *slog.Logger
	settings Settings
	adapter  Adapter
	source   usage.Source

	state     *deployment.State
	table     *dispatch.Table
	limiter   *teamlimit.Limiter
	budget    *retrybudget.Budget
	pool      *upstream.Pool
	ledger    *usage.Ledger
	wall      *walltime.Estimator
	directory *gossip.Directory
	gauge     *sizing.Gauge
	meter     *sizing.Meter
	planner   *sizing.Planner
	config    *configSink
	endpoints *endpointSink
	// copies are what was read of the store, for this instance and others of its data centre.
	copies   map[objectapi.Kind]*objectrelay.Copy
	front    *forward.Server
	duties   *duty.Runner
	registry metrics.Registry

	socket   *gossip.Socket
	sequence uint64
	// joined is set when the other instances were read from the store.
	joined   atomic.Bool
	relaying relaying
	leaving  atomic.Bool
	stop     chan struct{}
	// grace is the time from SIGTERM to the end in nanoseconds; a reload may change it.
	grace atomic.Int64
}

// New returns an Instance that listens on nothing yet.
func New(lg *slog.Logger, settings Settings, adapter Adapter) *Instance {
	now := clock.Now()
	i := &Instance{
		lg: lg.With("instance", settings.Instance), settings: settings, adapter: adapter,
		source:    usage.Source{Instance: settings.Instance, Boot: rand.Uint64() | 1},
		state:     deployment.NewState(),
		table:     dispatch.NewTable(dispatch.Config{DataCentre: settings.DataCentre}),
		limiter:   teamlimit.NewLimiter(settings.Limits.config(settings.NewDeployment)),
		pool:      upstream.NewPool(upstream.Config{}),
		wall:      walltime.NewEstimator(settings.Instance),
		directory: gossip.NewDirectory(settings.Instance),
		gauge:     sizing.NewGauge(),
		meter:     sizing.NewMeter(),
		planner:   sizing.NewPlanner(sizing.Config{}),
		registry:  metrics.NewRegistry(),
		stop:      make(chan struct{}, 1),
	}
	i.budget = retrybudget.NewBudget(now, settings.Retries.config())
	i.grace.Store(int64(seconds(settings.StopGrace)))
	i.ledger = usage.NewLedger(seconds(settings.Usage.Window), i.source)
	i.config = &configSink{lg: i.lg, adapter: adapter, state: i.state, changed: func(c *deployment.Config) {
		i.limiter.SetTeams(clock.Now(), c.Teams)
	}}
	i.endpoints = newEndpointSink(i.lg, adapter, i.state, time.Now, i.table.Forget)
	i.copies = i.newCopies()
	i.front = forward.NewServer(forward.Config{MaxConfigAge: settings.freshness()}, forward.Deps{
		Log: i.lg, Codec: adapter.Dialect, State: i.state, Table: i.table, Limiter: i.limiter, Budget: i.budget,
		Pool: i.pool, Metrics: forward.NewMetrics(i.registry), Now: clock.Now, Random: rand.Float64,
		Instances:   func() int { return i.directory.Count() + 1 },
		RecordStart: func(team string) { i.ledger.Begin(i.wallNow(), team) },
	})
	return i
}

func (i *Instance) wallNow() time.Time { return i.wall.Wall(clock.Now(), time.Now().Round(0)) }

// Stop starts a planned stop; Run returns when it is done.
func (i *Instance) Stop() {
	select {
	case i.stop <- struct{}{}:
	default:
	}
}

// Run serves until Stop or the end of ctx.
func (i *Instance) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callers, err := net.Listen("tcp4", i.settings.Listen.Callers)
	if err != nil {
		return oops.With("step", "listen for callers").Wrap(err)
	}
	if i.socket, err = gossip.Listen(i.lg, i.settings.Listen.Peers); err != nil {
		return err
	}
	if err := i.serveInternal(); err != nil {
		return err
	}
	i.lg.Info("instance started", "callers", i.settings.Listen.Callers, "data_centre", i.settings.DataCentre,
		"boot", i.source.Boot, "new_deployment", i.settings.NewDeployment)
	go i.socket.Receive(i.observe)
	i.watch(ctx)
	go i.keepJoined(ctx)
	go i.control(ctx)
	i.startDuties(ctx)
	served := make(chan error, 1)
	go func() { served <- i.front.Serve(callers) }()
	select {
	case err := <-served:
		return oops.With("step", "serve callers").Wrap(err)
	case <-ctx.Done():
	case <-i.stop:
		i.drain(ctx)
	}
	return i.socket.Close()
}

func (i *Instance) watch(ctx context.Context) {
	peers := objectrelay.NewPeers(relayWait + relayMargin)
	for kind, copied := range i.copies {
		source := objectrelay.NewSource(i.lg, objectrelay.SourceConfig{
			Wait: relayWait, SharedWait: i.settings.sharedWatchWait(), Pause: relayPause, Now: clock.Now,
		}, i.adapter.Store, peers.Ask, i.relays)
		go objectwatch.NewWatcher(i.lg, objectwatch.Config{Kind: kind, Wait: i.settings.watchWait()}, source, copied).Run(ctx)
	}
}

// ready reports whether the instance takes new connections.
func (i *Instance) ready() bool {
	view := i.state.View()
	return view.Config != nil && view.Listed && i.joined.Load() && !i.leaving.Load()
}
