package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"

	"knapweedhoist/clock"
	"knapweedhoist/deployment"
	"knapweedhoist/dispatch"
	"knapweedhoist/duty"
	"knapweedhoist/enginemodel"
	"knapweedhoist/fleetstate"
	"knapweedhoist/forward"
	"knapweedhoist/gossip"
	"knapweedhoist/internal/listen"
	"knapweedhoist/internal/wait"
	"knapweedhoist/objectapi"
	"knapweedhoist/objectera"
	"knapweedhoist/objectrelay"
	"knapweedhoist/objectwatch"
	"knapweedhoist/quarantine"
	"knapweedhoist/reach"
	"knapweedhoist/retrybudget"
	"knapweedhoist/sizing"
	"knapweedhoist/streamorigin"
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
	// store is that of adapter, and knows the era of its history.
	store  *objectera.Store
	source fleetstate.Source

	state    *deployment.State
	learner  *enginemodel.Learner
	balancer *dispatch.Balancer
	limiter  *teamlimit.Limiter
	budget   *retrybudget.Budget
	// quarantine refuses requests with prompt parts that crash endpoints, quarantineStore keeps its state in the store.
	quarantine      *quarantine.Guard
	quarantineStore *quarantineStore
	// origins knows which software versions began streams, originStore keeps them in the store.
	origins     *origins
	originStore *originStore
	pool        *upstream.Pool
	// reach and peers decide when requests are passed on through another instance, and through which; peerPool has the connections to
	// them. pathsLost is what was last logged of reach, probedAt when an endpoint was last probed. Both belong to the control loop.
	reach     *reach.Monitor
	peers     *reach.Peers
	peerPool  *upstream.Pool
	pathsLost bool
	probedAt  time.Time
	ledger    *usage.Ledger
	wall      *walltime.Estimator
	fleet     *fleetstate.Fleet
	// localEndpoints holds the endpoints in the data centre of this instance.
	localEndpoints localEndpoints
	// wallOffset is the difference in nanoseconds between the estimated true time of day and the decision clock.
	wallOffset    atomic.Int64
	rateEstimator *sizing.RateEstimator
	// inFlight holds the average number of requests in flight by service. It belongs to the control loop.
	inFlight sizing.Averages
	planner  *sizing.Planner
	// ownServices and otherServices hold the demand for each service at this instance and at the others.
	ownServices, otherServices atomic.Pointer[map[string]fleetstate.ServiceLoad]
	configSink                 *configSink
	endpointSink               *endpointSink
	// copies holds the objects read from the store, for this instance and others of its data centre.
	copies map[objectapi.Kind]*objectrelay.Copy
	// freshPeers are read while the store does not answer this instance.
	freshPeers *freshPeers
	server     *forward.Server
	duties     *duty.Runner
	registry   metrics.Registry

	socket *gossip.Socket
	// sequence is the number of the last message. It and the paces belong to the control loop.
	sequence                            uint64
	reportPace, summaryPace, digestPace pace
	// aggregation is the fleet's view when it was last logged.
	aggregation fleetstate.Status
	// unlisted is set when another instance reports that the store has no object for this one.
	unlisted atomic.Bool
	// joined is set once the other instances have been read from the store.
	joined      atomic.Bool
	configFetch configFetch
	leaving     atomic.Bool
	stop        chan struct{}
	// started is closed once the instance has read the configuration, the endpoints and the list of instances.
	started chan struct{}
	// stopGrace is the longest time from SIGTERM to the exit of the process, in nanoseconds. Reload may change it.
	stopGrace atomic.Int64
}

// New returns an Instance that opens no listener and makes no call before Run.
func New(lg *slog.Logger, settings Settings, adapter Adapter) *Instance {
	return newInstance(lg, settings, adapter, upstream.Config{})
}

// newInstance returns an Instance that opens connections to endpoints as endpoints says.
func newInstance(lg *slog.Logger, settings Settings, adapter Adapter, endpoints upstream.Config) *Instance {
	now, learner := clock.Now(), enginemodel.NewLearner()
	i := &Instance{
		lg: lg.With("instance", settings.Instance), settings: settings, adapter: adapter,
		source:        fleetstate.Source{Instance: settings.Instance, Boot: rand.Uint64() | 1},
		state:         deployment.NewState(),
		learner:       learner,
		balancer:      dispatch.NewBalancer(dispatch.Config{DataCentre: settings.DataCentre}, learner),
		limiter:       teamlimit.NewLimiter(settings.Limits.config(settings.NewDeployment, rand.Float64())),
		pool:          upstream.NewPool(endpoints),
		reach:         reach.NewMonitor(reach.Config{}),
		peers:         reach.NewPeers(),
		peerPool:      upstream.NewPool(upstream.Config{Dial: upstream.DialUpgraded(passOnPath, passOnProtocol)}),
		wall:          walltime.NewEstimator(settings.Instance),
		rateEstimator: sizing.NewRateEstimator(),
		inFlight:      make(sizing.Averages),
		planner:       sizing.NewPlanner(sizing.Config{}),
		quarantine:    quarantine.NewGuard(quarantine.Config{}),
		registry:      metrics.NewRegistry(),
		stop:          make(chan struct{}, 1),
		started:       make(chan struct{}),
		reportPace:    newPace(reportBytesPerSecond), summaryPace: newPace(summaryBytesPerSecond),
		digestPace: newPace(digestBytesPerSecond),
	}
	i.store = objectera.NewStore(i.lg, i.registry, adapter.Store)
	i.ownServices.Store(&map[string]fleetstate.ServiceLoad{})
	i.otherServices.Store(&map[string]fleetstate.ServiceLoad{})
	i.fleet = fleetstate.NewFleet(fleetstate.Config{
		Self: i.source, DataCentre: settings.DataCentre, Address: settings.Listen.Peers, Weight: settings.weight(),
		IsLocal: i.localEndpoints.contains,
	})
	i.localEndpoints.dataCentre = settings.DataCentre
	i.updateWallTime()
	i.budget = retrybudget.NewBudget(now, settings.Retries.config())
	i.stopGrace.Store(int64(seconds(settings.StopGrace)))
	i.ledger = usage.NewLedger(seconds(settings.Usage.Window), i.fleet.StartedElsewhere)
	i.configSink = &configSink{
		lg: i.lg, adapter: adapter, state: i.state, refused: metrics.NewRegisteredCounter("config_refused", i.registry),
		onApplied: func(c *deployment.Config) { i.limiter.SetTeams(clock.Now(), c.Teams) },
	}
	i.configSink.register(i.registry)
	i.origins = newOrigins(i.lg, clock.Now, settings.maxConfigAge(), settings.maxOriginMemory(), i.registry)
	i.originStore = newOriginStore(i.lg, i.store, i.origins, i.wallNow, i.source, rand.Float64(),
		func() int { return i.fleet.Total(clock.Now()) }, i.isCandidate, i.registry)
	i.endpointSink = newEndpointSink(i.lg, adapter, i.state, endpointSinkConfig{
		now: clock.Now, configAge: func() time.Duration { return i.state.ConfigAge(clock.Now()) },
		absenceLimit: settings.absenceLimit(), onRestart: i.balancer.Forget,
		onListed:   func(listed map[streamorigin.Origin]bool) { i.origins.directory.SetListed(clock.Now(), listed) },
		onComplete: func(at time.Time) { i.origins.directory.Confirm(clock.Now(), at) },
	})
	i.quarantineStore = newQuarantineStore(i.lg, i.store, i.quarantine)
	i.copies, i.freshPeers = i.newCopies(), newFreshPeers()
	i.server = forward.NewServer(forward.Config{
		MaxConfigAge: settings.maxConfigAge(), MaxAnswerMemory: settings.maxAnswerMemory(),
		MaxBodyMemory:  settings.maxBodyMemory(),
		MaxConnections: settings.maxCallerConnections(),
	}, forward.Deps{
		Log: i.lg, Codec: adapter.Codec, State: i.state, Balancer: i.balancer, Limiter: i.limiter, Budget: i.budget,
		Pool: i.pool, Reach: i.reach, Peers: i.peers, PeerPool: i.peerPool, Quarantine: i.quarantine, Metrics: forward.NewMetrics(i.registry), Now: clock.Now, Slot: i.slot, Random: rand.Float64,
		Origins:     i.origins,
		Instances:   func() int { return i.fleet.Total(clock.Now()) },
		Started:     i.started,
		RecordStart: func(team string) { i.ledger.RecordStart(i.wallNow(), team) },
	})
	// Neither name is registered elsewhere.
	_ = i.registry.Register("forward_answer_memory_bytes", metrics.NewFunctionalGauge(i.server.AnswerMemory))
	_ = i.registry.Register("forward_body_memory_bytes", metrics.NewFunctionalGauge(i.server.BodyMemory))
	return i
}

// wallNow returns the estimated true time of day.
func (i *Instance) wallNow() time.Time { return clock.Now().Add(time.Duration(i.wallOffset.Load())) }

// updateWallTime estimates the true time of day from the wall clocks of the instances.
func (i *Instance) updateWallTime() {
	now := clock.Now()
	i.wallOffset.Store(int64(i.wall.WallTime(now, time.Now().Round(0)).Sub(now)))
}

// Stop starts a planned stop. Run returns when the stop is complete.
func (i *Instance) Stop() {
	select {
	case i.stop <- struct{}{}:
	default:
	}
}

// Run serves until the planned stop that Stop starts is complete, or until ctx ends. It returns an error if a listener
// cannot be opened or the one for callers fails.
func (i *Instance) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ln, err := listen.TCP(i.lg, i.settings.Listen.Callers, "callers")
	if err != nil {
		return err
	}
	if i.socket, err = gossip.Listen(i.lg, i.settings.Listen.Peers); err != nil {
		return err
	}
	if err := i.serveInternal(); err != nil {
		return err
	}
	i.lg.Info("instance started", "callers", i.settings.Listen.Callers, "data_centre", i.settings.DataCentre,
		"boot", i.source.Boot, "new_deployment", i.settings.NewDeployment)
	i.startDuties(ctx) // before the control loop, which asks whether this instance holds the duties
	go i.socket.Receive(i.messageHandler())
	go i.startWatches(ctx)
	go i.maintainMembership(ctx)
	go i.controlLoop(ctx)
	go i.awaitStart(ctx)
	go i.quarantineStore.run(ctx, i.isCandidate)
	go i.originStore.run(ctx)
	served := make(chan error, 1)
	go func() { served <- i.server.Serve(ln) }()
	select {
	case err := <-served:
		return oops.With("step", "serve callers").Wrap(err)
	case <-ctx.Done():
	case <-i.stop:
		i.drain(ctx)
	}
	return i.socket.Close()
}

// startWatches starts a watch for each kind of object that has a copy, once it is known whether other instances relay
// the store.
func (i *Instance) startWatches(ctx context.Context) {
	i.awaitRelays(ctx)
	relayClient := objectrelay.NewClient(i.settings.relayWait() + i.settings.relayMargin())
	for kind, objectCopy := range i.copies {
		source := objectrelay.NewSource(i.lg, objectrelay.SourceConfig{
			RelayWait: i.settings.relayWait(), SharedWait: i.settings.sharedWatchWait(),
			SharedGap: i.settings.sharedWatchGap(), Backoff: relayBackoff, Now: clock.Now,
		}, i.store, relayClient.Read, i.readRoute)
		go objectwatch.NewWatcher(i.lg, objectwatch.Config{
			Kind: kind, Era: i.store.Watch, Wait: i.settings.watchWait(),
		}, source, objectCopy).Run(ctx)
	}
}

// ready reports whether the instance takes new connections.
func (i *Instance) ready() bool {
	return i.loaded() && !i.leaving.Load()
}

// loaded reports whether the instance has read the configuration, the endpoints and the list of instances.
func (i *Instance) loaded() bool {
	view := i.state.View()
	return view.Config != nil && view.EndpointsRead && i.joined.Load()
}

// awaitStart closes started once the instance has loaded what it needs to serve requests.
func (i *Instance) awaitStart(ctx context.Context) {
	begin := clock.Now()
	for !i.loaded() {
		if !wait.For(ctx, startPollInterval) {
			return
		}
	}
	if i.quarantineStore.missed.Load() {
		i.quarantine.ExtendCaution(clock.Now())
		i.lg.Warn("crashes may have been forgotten", "reason", "the store was away at the start")
	}
	close(i.started)
	i.lg.Info("instance loaded", "ms", clock.Now().Sub(begin).Milliseconds())
}

// startPollInterval is the period at which a starting instance checks whether the next step of its start is possible.
const startPollInterval = 20 * time.Millisecond
