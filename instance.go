// Package knapweedhoist implements an entry instance of the serving system. It
// accepts callers' requests and runs them on the endpoints of the fleet, under
// the configuration that all entry instances share. A program embeds it with
// New and Run.
//
// One control goroutine, the hub, owns the control.Core, which holds the fleet,
// the configuration, the claims and the leases. Other goroutines send it events
// and read the immutable view that it publishes.
package knapweedhoist

import (
	"encoding/hex"
	"log/slog"
	"math/rand"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	metrics "github.com/rcrowley/go-metrics"

	"knapweedhoist/backend"
	"knapweedhoist/cloud"
	"knapweedhoist/control"
	"knapweedhoist/gateway"
	"knapweedhoist/handover"
	"knapweedhoist/heartbeat"
	"knapweedhoist/invariant"
	"knapweedhoist/membership"
	"knapweedhoist/objectapi"
	"knapweedhoist/objectera"
	"knapweedhoist/operator"
	"knapweedhoist/peer"
	"knapweedhoist/platform"
	"knapweedhoist/request"
	"knapweedhoist/roster"
	"knapweedhoist/settings"
	"knapweedhoist/timeline"
)

// storeConnections limits the open connections to the store, excluding those of
// watches. Each claim in progress uses one.
const storeConnections = 256

// Instance is one entry instance. Its exported methods are safe for concurrent
// use; Run must be called only once.
type Instance struct {
	lg          *slog.Logger
	cfg         settings.Settings
	incarnation string
	clock       *timeline.Clock
	ring        *timeline.Ring
	// recorder counts events and stores them in ring.
	recorder *meteredRecorder
	checker  *invariant.Reporter
	metrics  metrics.Registry

	store objectapi.Store
	list  roster.List
	cloud cloud.Cloud

	hub            *hub
	view           atomic.Pointer[control.View]
	registry       *request.Registry
	runner         *backend.Runner
	gateway        *gateway.Server
	policy         *policy
	quotas         *quotas
	handoverSource *handover.Source
	handoverTarget *handover.Target

	heartbeats *heartbeat.Transport
	peers      *peer.Client
	peerServer *peer.Server
	operators  *operator.Server

	drain drain
}

// New returns an instance that Run starts. It fails if the fleet key is not
// hexadecimal, or if the configuration of a server or client is invalid.
func New(lg *slog.Logger, cfg settings.Settings) (*Instance, error) {
	i := &Instance{cfg: cfg, incarnation: ulid.Make().String(), metrics: metrics.NewRegistry(), drain: newDrain()}
	i.lg = lg.With("instance", cfg.Instance, "datacentre", cfg.Datacentre)
	i.clock = timeline.NewClock(time.Now)
	i.ring = timeline.NewRing(i.clock, cfg.Instance, cfg.Datacentre, cfg.Limits.TimelineEvents)
	i.recorder = newMeteredRecorder(i.ring, i.metrics)
	i.checker = invariant.NewReporter(i.lg, i.recorder)
	i.createExternalClients()
	core := control.New(i.controlConfig(), time.Now())
	i.view.Store(core.View())
	i.hub = newHub(i, core)
	i.createRequestPath()
	if err := i.createPeerTransport(); err != nil {
		return nil, err
	}
	return i, nil
}

// Incarnation returns the ULID that New generated for this instance. A restart
// of the process gets another one.
func (i *Instance) Incarnation() string {
	return i.incarnation
}

// Violations returns the number of detected violations by name of the invariant.
func (i *Instance) Violations() map[string]int64 {
	return i.checker.Counts()
}

func (i *Instance) createExternalClients() {
	i.store = objectera.NewStore(i.lg, i.metrics, &meteredStore{registry: i.metrics, Store: platform.NewStore(platform.StoreConfig{
		Address: i.cfg.Platform.Address, Token: string(i.cfg.Platform.Credential), Timeout: i.cfg.Platform.CallTimeout(),
		MaxConnections: storeConnections,
	})})
	i.list = &meteredList{registry: i.metrics, List: roster.NewClient(i.lg, roster.ClientConfig{
		Address: i.cfg.List.Address, Token: string(i.cfg.List.Credential), Timeout: i.cfg.List.CallTimeout(),
	})}
	if i.cfg.Cloud.Address != "" {
		i.cloud = &meteredCloud{registry: i.metrics, Cloud: cloud.NewClient(i.lg, cloud.ClientConfig{
			Address: i.cfg.Cloud.Address, Token: string(i.cfg.Cloud.Credential), Timeout: i.cfg.Cloud.Remote().CallTimeout(),
		})}
	}
}

func (i *Instance) controlConfig() control.Config {
	return control.Config{
		Member: membership.Config{
			ID: i.cfg.Instance, Incarnation: i.incarnation, Datacentre: i.cfg.Datacentre,
			PeerAddress: i.cfg.Listen.Peers, DatagramAddress: i.cfg.Listen.Heartbeats,
			OperatorAddress: i.cfg.Listen.Operators,
		},
		Rand:   rand.New(rand.NewSource(time.Now().UnixNano())),
		Logger: i.lg, Recorder: i.recorder, Checker: i.checker,
	}
}

func (i *Instance) createRequestPath() {
	limits := i.cfg.Limits
	i.registry = request.NewRegistry(i.incarnation, i.checker, request.Config{
		MaxInProgress: limits.MaxRequests, Retention: time.Duration(limits.FinishedKept),
	})
	i.quotas = newQuotas(i)
	i.registerRequestMetrics()
	i.policy = newPolicy(i)
	eventAttacher := &attacher{instance: i}
	i.runner = backend.NewRunner(i.lg, backend.Config{}, backend.Deps{
		Chooser: i.policy, Retrier: i.policy, Claimer: &claimer{instance: i}, Caller: backend.NewHTTPCaller(),
		Attacher: eventAttacher, Recorder: i.recorder,
	})
	i.gateway = gateway.NewServer(i.lg, gateway.Config{
		MaxHeaderBytes: limits.MaxHeaderBytes, MaxBodyBytes: limits.MaxBodyBytes,
		ReadTimeout: time.Duration(limits.ReadTimeout), DefaultDeadline: time.Duration(limits.DefaultDeadline),
		MaxDeadline: time.Duration(limits.MaxDeadline),
	}, gateway.Deps{
		Directory: directory{view: &i.view}, Admitter: i.policy, Registry: i.registry, Remote: eventAttacher,
		Starter: i.runner, Recorder: i.recorder,
	})
	i.handoverSource = handover.NewSource(i.incarnation, i.registry, &handoverTransport{instance: i}, i.checker)
	i.handoverTarget = handover.NewTarget(i.incarnation, handover.TargetConfig{}, i.registry, i.runner, i.checker)
}

func (i *Instance) createPeerTransport() error {
	key, err := hex.DecodeString(string(i.cfg.FleetKey))
	if err != nil {
		return stepError("configure", "", err)
	}
	i.heartbeats, err = heartbeat.NewTransport(i.lg, heartbeat.Config{
		Key: key, Address: i.cfg.Listen.Heartbeats, Metrics: i.metrics,
	}, i.receiveHeartbeat)
	if err != nil {
		return stepError("configure", "", err)
	}
	cfg := peer.Config{Key: key, Incarnation: i.incarnation, Clock: i.clock, Recorder: i.recorder, Metrics: i.metrics}
	if i.peers, err = peer.NewClient(i.lg, cfg); err != nil {
		return stepError("configure", "", err)
	}
	if i.peerServer, err = peer.NewServer(i.lg, cfg, &peerHandler{instance: i}); err != nil {
		return stepError("configure", "", err)
	}
	i.operators, err = i.newOperatorServer()
	return stepError("configure", "", err)
}
