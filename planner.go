package knapweedhoist

import (
	"context"
	"errors"
	"time"

	"github.com/oklog/ulid/v2"

	"knapweedhoist/capacity"
	"knapweedhoist/catalog"
	"knapweedhoist/cloud"
	"knapweedhoist/control"
	"knapweedhoist/internal/wait"
	"knapweedhoist/lease"
	"knapweedhoist/membership"
	"knapweedhoist/timeline"
)

// planner runs the capacity duty: while this instance holds the lease
// "capacity", it plans which instances run and gives the orders.
type planner struct {
	instance  *Instance
	cfg       capacity.Config
	forecasts map[string]*capacity.DemandWindow
	refusals  []capacity.Refusal
	reclaims  *reclaimHistory
	// draining is when this holder saw an instance drain first.
	draining map[string]time.Time
}

func newPlanner(i *Instance) *planner {
	p := &planner{instance: i, cfg: capacity.DefaultConfig()}
	p.reset()
	return p
}

// reset forgets what was observed; a new holder starts without it.
func (p *planner) reset() {
	p.forecasts = make(map[string]*capacity.DemandWindow)
	p.refusals = nil
	p.reclaims = newReclaimHistory()
	p.draining = make(map[string]time.Time)
}

// run plans until ctx ends.
func (p *planner) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, p.cfg.PlanInterval)
		if _, err := p.instance.permit(ctx, control.DutyCapacity, true); err != nil {
			p.reset()
			continue
		}
		if err := p.round(ctx); err != nil {
			p.instance.lg.Warn("capacity was not planned", "step", "capacity", "error", err.Error())
		}
	}
}

// permit is the check of a lease immediately before an order.
func (i *Instance) permit(ctx context.Context, duty string, checksFence bool) (lease.Permit, error) {
	type result struct {
		permit lease.Permit
		err    error
	}
	answer := make(chan result, 1)
	check := func(now time.Time, core *control.Core) {
		permit, err := core.Permit(now, duty, checksFence)
		answer <- result{permit: permit, err: err}
	}
	select {
	case i.hub.permits <- check:
	case <-ctx.Done():
		return lease.Permit{}, ctx.Err()
	}
	checked := <-answer
	return checked.permit, checked.err
}

func (p *planner) round(ctx context.Context) error {
	view := p.instance.view.Load()
	if view.Catalog == nil {
		return nil
	}
	offers, err := p.instance.cloud.Offers(ctx)
	if err != nil {
		return err
	}
	instances, err := p.instance.cloud.Instances(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	p.reclaims.observe(now, instances)
	p.forgetRefusals(now)
	for _, service := range view.Catalog.Services() {
		p.observe(now, view.Fleet, service)
		snapshot := p.snapshot(now, view, service, offers, instances)
		for _, order := range capacity.Plan(now, p.cfg, 0, snapshot) {
			p.give(ctx, view.Fleet, order)
		}
	}
	return nil
}

// Units of capacity are requests at once. An endpoint is planned with less
// than it can run, so that work does not queue.
const (
	modelUnits = 24
	plainUnits = 12
)

func unitsOf(service *catalog.Service) float64 {
	if service.Kind == catalog.KindModel {
		return modelUnits
	}
	return plainUnits
}

// observe adds the load of a service, as its endpoints report it, to its forecast.
func (p *planner) observe(now time.Time, fleet *membership.View, service *catalog.Service) {
	demand := 0.0
	for _, e := range fleet.Endpoints {
		if e.Service == service.Name {
			demand += float64(e.Load.Running + e.Load.Queued)
		}
	}
	forecast := p.forecasts[service.Name]
	if forecast == nil {
		forecast = &capacity.DemandWindow{}
		p.forecasts[service.Name] = forecast
	}
	forecast.Observe(now, demand)
}

func (p *planner) snapshot(
	now time.Time, view *control.View, service *catalog.Service, offers []cloud.Offer, instances []cloud.Instance,
) capacity.Snapshot {
	forecast := p.forecasts[service.Name]
	snapshot := capacity.Snapshot{
		Preset: *view.Catalog.InForce(), Refusals: p.refusals,
		Services: []capacity.Service{{
			Name: service.Name, Peak: forecast.Peak(now), DrainsDisabled: !forecast.Full(now),
		}},
	}
	for _, offer := range offers {
		if service.RunsOn(offer.Class) {
			snapshot.Offers = append(snapshot.Offers, p.offer(offer, service))
		}
	}
	for _, instance := range instances {
		if instance.Service == service.Name {
			snapshot.Instances = append(snapshot.Instances, p.planned(now, view.Fleet, instance, service))
		}
	}
	return snapshot
}

func (p *planner) offer(offer cloud.Offer, service *catalog.Service) capacity.Offer {
	return capacity.Offer{
		Zone: offer.Zone, Datacentre: offer.Datacentre, Class: offer.Class, Reclaimable: offer.Reclaimable,
		PricePerHour: offer.PricePerHour, Units: unitsOf(service),
		ReclaimsPerHour: p.reclaims.rate(offer.Zone, offer.Class, offer.Reclaimable),
	}
}

// planned describes an instance of the cloud for the planner.
func (p *planner) planned(
	now time.Time, fleet *membership.View, instance cloud.Instance, service *catalog.Service,
) capacity.Instance {
	started := time.UnixMilli(instance.StartedAtMs)
	planned := capacity.Instance{
		ID: instance.ID, Service: instance.Service, State: capacity.StateReady, Since: started, StartedAt: started,
		Leaving: instance.State == cloud.StateLeaving,
		Offer: p.offer(cloud.Offer{
			Zone: instance.Zone, Datacentre: instance.Datacentre, Class: instance.Class,
			Reclaimable: instance.Reclaimable, PricePerHour: instance.PricePerHour,
		}, service),
	}
	endpoint := fleet.Endpoint(instance.ID)
	if instance.State == cloud.StateStarting || endpoint == nil {
		planned.State = capacity.StateStarting
		return planned
	}
	planned.Idle = endpoint.Load.Running+endpoint.Load.Queued == 0
	if endpoint.Leaving && !planned.Leaving {
		planned.State = capacity.StateDraining
		planned.Since = p.drainingSince(now, instance.ID)
	}
	return planned
}

func (p *planner) drainingSince(now time.Time, id string) time.Time {
	if since, known := p.draining[id]; known {
		return since
	}
	p.draining[id] = now
	return now
}

// give carries out one order. The lease is checked again immediately before
// it, and the order is abandoned when the permit's time ends.
func (p *planner) give(ctx context.Context, fleet *membership.View, order capacity.Order) {
	permit, err := p.instance.permit(ctx, control.DutyCapacity, false)
	if err != nil {
		p.instance.lg.Info("order was not given", "step", "capacity", "order", order.Kind.String(), "error", err.Error())
		return
	}
	bounded, cancel := context.WithTimeout(ctx, permit.Timeout)
	defer cancel()
	err = p.carryOut(bounded, fleet, order, permit.Fence)
	detail := order.Kind.String() + " " + order.Service + ": " + order.Reason
	if err != nil {
		detail += ": " + err.Error()
		p.instance.lg.Warn("order failed", "step", "capacity", "order", order.Kind.String(), "error", err.Error())
	}
	p.instance.ring.Record(timeline.Event{
		Kind: timeline.KindOrder, Endpoint: order.Instance, Step: "capacity/" + order.Kind.String(), Detail: detail,
	})
}

func (p *planner) carryOut(ctx context.Context, fleet *membership.View, order capacity.Order, fence uint64) error {
	switch order.Kind {
	case capacity.OrderStart:
		return p.start(ctx, order, fence)
	case capacity.OrderDrain:
		endpoint := fleet.Endpoint(order.Instance)
		if endpoint == nil {
			return errUnknownEndpoint
		}
		p.instance.hub.post(ctx, control.NoticeReceived{Notice: membership.Notice{
			ID: endpoint.ID, Incarnation: endpoint.Incarnation, Left: p.cfg.DrainTimeout,
		}})
		return nil
	case capacity.OrderStop:
		return p.instance.cloud.StopInstance(ctx, cloud.StopOrder{ID: order.Instance, Fence: fence})
	case capacity.OrderEngine:
		return p.orderEngine(ctx, fleet, order, fence)
	default:
		return errUnknownEndpoint
	}
}

// errUnknownEndpoint means that an order names an endpoint that is not in the fleet.
var errUnknownEndpoint = errors.New("knapweedhoist: unknown endpoint")

func (p *planner) start(ctx context.Context, order capacity.Order, fence uint64) error {
	_, err := p.instance.cloud.StartInstance(ctx, cloud.StartOrder{
		OperationID: ulid.Make().String(), Fence: fence, Zone: order.Offer.Zone, Class: order.Offer.Class,
		Reclaimable: order.Offer.Reclaimable, Service: order.Service,
	})
	if errors.Is(err, cloud.ErrRefused) {
		p.refusals = append(p.refusals, capacity.Refusal{
			Zone: order.Offer.Zone, Class: order.Offer.Class, Reclaimable: order.Offer.Reclaimable, At: time.Now(),
		})
	}
	return err
}

func (p *planner) orderEngine(ctx context.Context, fleet *membership.View, order capacity.Order, fence uint64) error {
	endpoint := fleet.Endpoint(order.Instance)
	if endpoint == nil {
		return errUnknownEndpoint
	}
	given := order.Engine
	given.Fence = fence
	return p.instance.policy.engine(endpoint).Order(ctx, given)
}

func (p *planner) forgetRefusals(now time.Time) {
	kept := p.refusals[:0]
	for _, refusal := range p.refusals {
		if now.Sub(refusal.At) < p.cfg.RefusalBackoff {
			kept = append(kept, refusal)
		}
	}
	p.refusals = kept
}
