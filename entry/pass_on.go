package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/clock"
	"knapweedhoist/deployment"
	"knapweedhoist/internal/contain"
	"knapweedhoist/upstream"
)

const (
	// passOnPath is the path at which an instance takes over a connection on which another one passes requests on, and
	// passOnProtocol the name of that protocol: HTTP with the callers' requests.
	passOnPath     = "/requests"
	passOnProtocol = "hoist-requests"
	// probeInterval is the time between two connections that an instance without paths to endpoints opens to find them again.
	probeInterval = 200 * time.Millisecond
)

// acceptPeer hands the connection of a request for passOnPath over to the server for callers.
func (i *Instance) acceptPeer(ctx *fasthttp.RequestCtx) {
	conn := ctx.Conn()
	ctx.SetStatusCode(fasthttp.StatusSwitchingProtocols)
	ctx.Response.Header.Set(fasthttp.HeaderConnection, "Upgrade")
	ctx.Response.Header.Set(fasthttp.HeaderUpgrade, passOnProtocol)
	ctx.Hijack(func(net.Conn) {
		_ = conn.SetDeadline(time.Time{}) // that of the server for instances
		if err := i.server.ServePeer(conn); err != nil {
			i.lg.Debug("connection of another instance ended", "peer", conn.RemoteAddr().String(), "error", err.Error())
		}
	})
}

// updatePeers sets the instances through which requests can be passed on.
func (i *Instance) updatePeers() {
	now := clock.Now()
	var addresses []string
	for _, peer := range i.fleet.Peers(now, math.MaxInt) {
		if peer.Name != i.settings.Instance {
			addresses = append(addresses, peer.Address)
		}
	}
	i.peers.Set(time.Now(), addresses)
}

// updateReach logs when the paths to all endpoints are lost or found again, and probes endpoints in between.
func (i *Instance) updateReach() {
	now, endpoints := time.Now(), i.state.View().Endpoints
	lost := i.reach.Lost(now, len(endpoints))
	if lost != i.pathsLost {
		i.pathsLost = lost
		if silence, failed := i.reach.Evidence(now); lost {
			i.lg.Warn("paths to endpoints lost", "silent_ms", silence.Milliseconds(), "failed", failed, "endpoints", len(endpoints))
		} else {
			i.lg.Info("paths to endpoints found again", "silent_ms", silence.Milliseconds(), "failed", failed, "endpoints", len(endpoints))
		}
	}
	if !lost || now.Sub(i.probedAt) < probeInterval {
		return
	}
	i.probedAt = now
	if endpoint := randomEndpoint(endpoints); endpoint != nil {
		go func() { _ = contain.Run(i.lg, "probe endpoint", func() { i.probe(endpoint) }) }()
	}
}

// probe opens a connection to an endpoint, which is kept for requests.
func (i *Instance) probe(endpoint *deployment.Endpoint) {
	target := upstream.Target{Address: endpoint.Address, ID: endpoint.ID}
	if err := i.pool.Open(context.Background(), target, 1); err != nil {
		i.reach.Failed(time.Now(), endpoint.ID)
		return
	}
	i.reach.Heard(time.Now())
}

// randomEndpoint returns one of the endpoints, nil if there is none.
func randomEndpoint(endpoints map[string]*deployment.Endpoint) *deployment.Endpoint {
	if len(endpoints) == 0 {
		return nil
	}
	skip := rand.IntN(len(endpoints))
	for _, endpoint := range endpoints {
		if skip--; skip < 0 {
			return endpoint
		}
	}
	return nil
}
