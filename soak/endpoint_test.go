package soak

import (
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"

	"knapweedhoist/catalog"
	"knapweedhoist/engine"
	"knapweedhoist/membership"
)

// endpoint is a fake model engine or server of a plain service.
type endpoint struct {
	w           *world
	id          string
	incarnation string
	dc          string
	service     string
	kind        catalog.ServiceKind
	// checksFence reports whether the endpoint refuses orders with an old fencing token.
	checksFence bool
	leaving     bool
	ended       bool
	endsAt      time.Time
	orders      orderBook
	// announcedAt is when the leave first reached any instance.
	announcedAt time.Time
	// open holds the accepted attempts, also finished ones, with their connections.
	open []stream
}

func (w *world) addEndpoint(dc, service string, kind catalog.ServiceKind, checksFence bool) {
	w.endpointsMade++
	e := &endpoint{
		w: w, id: fmt.Sprintf("%s-%d", service, w.endpointsMade), dc: dc, service: service, kind: kind, checksFence: checksFence,
		incarnation: ulid.MustNew(ulid.Timestamp(w.now), w.rng).String(),
	}
	w.endpoints = append(w.endpoints, e)
	w.list.record()
}

// address returns the endpoint's address, unique in a run.
func (e *endpoint) address() string { return "endpoint/" + e.id }

func (e *endpoint) entry() membership.Entry {
	return membership.Entry{
		ID: e.id, Incarnation: e.incarnation, Kind: membership.KindEndpoint, Service: e.service,
		Datacentre: e.dc, Address: e.address(), Reclaimable: true, Leaving: e.leaving,
	}
}

func (e *endpoint) load() engine.LoadReport { return engine.LoadReport{Leaving: e.leaving} }

// endpoint returns the running endpoint with an address, nil if there is none.
func (w *world) endpoint(address string) *endpoint {
	for _, e := range w.endpoints {
		if !e.ended && e.address() == address {
			return e
		}
	}
	return nil
}

// reclaim publishes a reclaim notice for the endpoint, ends it after the notice period and adds a replacement later.
func (e *endpoint) reclaim(noticePeriod time.Duration) {
	if e.leaving || e.ended {
		return
	}
	e.leaving, e.endsAt = true, e.w.now.Add(noticePeriod)
	e.w.notices = append(e.w.notices, cloudNotice{id: e.id, endsAt: e.endsAt})
	e.w.list.record()
	e.w.after(noticePeriod, e.end)
	e.w.after(noticePeriod+e.w.randomDuration(0, 10*time.Second), func() { e.w.addEndpoint(e.dc, e.service, e.kind, e.checksFence) })
}

func (e *endpoint) end() {
	e.ended = true
	e.breakStreams()
	e.w.list.record()
}
