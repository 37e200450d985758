package standin

import (
	"time"

	"knapweedhoist/cloud"
	"knapweedhoist/roster"
)

// Member is an endpoint of a Fleet. Either Engine or Service is set.
type Member struct {
	// Entry is what the lagging list shows of it while it is live.
	Entry   roster.Entry
	Engine  *Engine
	Service *Service
}

// endpoint is what Engine and Service have in common.
type endpoint interface {
	Start(addr string) error
	Addr() string
	Close() error
	Leave(notice time.Duration)
}

func (m Member) endpoint() endpoint {
	if m.Engine != nil {
		return m.Engine
	}
	return m.Service
}

func entryOf(instance cloud.Instance, incarnation string) roster.Entry {
	return roster.Entry{
		ID: instance.ID, Incarnation: incarnation, Kind: roster.KindEndpoint, Service: instance.Service,
		Datacentre: instance.Datacentre, Zone: instance.Zone, Class: instance.Class,
		Reclaimable: instance.Reclaimable, State: roster.StateLive,
	}
}
