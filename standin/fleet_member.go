package standin

import (
	"time"

	"knapweedhoist/cloud"
	"knapweedhoist/roster"
)

// Member is an endpoint of a Fleet. Exactly one of Engine and Service is set.
type Member struct {
	// Entry is the endpoint's entry in the lagging list.
	Entry   roster.Entry
	Engine  *Engine
	Service *Service
}

// endpoint is the interface that Engine and Service share.
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

func rosterEntry(instance cloud.Instance, incarnation string) roster.Entry {
	return roster.Entry{
		ID: instance.ID, Incarnation: incarnation, Kind: roster.KindEndpoint, Service: instance.Service,
		Datacentre: instance.Datacentre, Zone: instance.Zone, Class: instance.Class,
		Reclaimable: instance.Reclaimable, State: roster.StateLive,
	}
}
