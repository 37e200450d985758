package fleetstate

import (
	"github.com/zeebo/xxh3"

	"knapweedhoist/enginemodel"
)

// EndpointKey returns the key of an endpoint in reports, a hash of its ID. Two endpoints with the same key would share
// one load, which only makes their choice less exact.
func EndpointKey(id string) uint32 { return uint32(xxh3.HashString(id)) }

// EndpointLoad is the load that instances put on one endpoint, and how their requests went there lately.
type EndpointLoad struct {
	// Running is the number of requests in flight. PendingTokens is the number of uncached prompt tokens of those without
	// a first token yet.
	Running, PendingTokens int
	// Failed and Served are the numbers of requests that failed there and that got an answer, with weights that decay within
	// seconds.
	Failed, Served float64
	// Slowdown is the sum over the answers counted in Served of the time that each took, divided by the expected one.
	Slowdown float64
}

func (l EndpointLoad) plus(other EndpointLoad) EndpointLoad {
	return EndpointLoad{
		Running: l.Running + other.Running, PendingTokens: l.PendingTokens + other.PendingTokens,
		Failed: l.Failed + other.Failed, Served: l.Served + other.Served, Slowdown: l.Slowdown + other.Slowdown,
	}
}

func (l EndpointLoad) minus(other EndpointLoad) EndpointLoad {
	return EndpointLoad{
		Running: max(l.Running-other.Running, 0), PendingTokens: max(l.PendingTokens-other.PendingTokens, 0),
		Failed: max(l.Failed-other.Failed, 0), Served: max(l.Served-other.Served, 0),
		Slowdown: max(l.Slowdown-other.Slowdown, 0),
	}
}

// ServiceLoad is the demand for one service.
type ServiceLoad struct {
	// Prefill is the number of uncached prompt tokens per second that were sent to its endpoints.
	Prefill float64
	// InFlight is the number of requests that its endpoints had in progress, as an average over the last seconds, and
	// Waiting that of requests that waited for an endpoint.
	InFlight, Waiting float64
	// Samples holds the observations of its endpoints' speed.
	Samples enginemodel.Samples
}

func (l ServiceLoad) plus(other ServiceLoad) ServiceLoad {
	return ServiceLoad{
		Prefill: l.Prefill + other.Prefill, InFlight: l.InFlight + other.InFlight, Waiting: l.Waiting + other.Waiting,
		Samples: l.Samples.Plus(other.Samples),
	}
}

func (l ServiceLoad) minus(other ServiceLoad) ServiceLoad {
	return ServiceLoad{
		Prefill: max(l.Prefill-other.Prefill, 0), InFlight: max(l.InFlight-other.InFlight, 0),
		Waiting: max(l.Waiting-other.Waiting, 0), Samples: l.Samples.Minus(other.Samples),
	}
}
