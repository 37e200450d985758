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
// "capacity", it plans which instances run and issues the orders for them.
type planner struct {
	instance      *Instance
	cfg           capacity.Config
	demandWindows map[string]*capacity.DemandWindow
	refusals      []capacity.Refusal
	reclaims      *reclaimHistory
	// draining holds, by instance ID, when this lease holder first observed that
	// the instance drains.
	draining map[string]time.Time
}

func newPlanner(i *Instance) *planner {
	p := &planner{instance: i, cfg: capacity.DefaultConfig()}
	p.reset()
	return p
}

// reset discards all observations. A new holder of the lease starts without any.
func (p *planner) reset() {
	p.demandWindows = make(map[string]*capacity.DemandWindow)
	p.refusals = nil
	p.reclaims = newReclaimHistory()
	p.draining = make(map[string]time.Time)
}

// run plans every PlanInterval until ctx ends. Without the lease it discards the
// observations instead.
func (p *planner) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, p.cfg.PlanInterval)
		if _, err := p.instance.permit(ctx, control.DutyCapacity, true); err != nil {
			p.reset()
			continue
		}
		if err := p.planOnce(ctx); err != nil {
			p.instance.lg.Warn("capacity planning failed", "step", "capacity", "error", err.Error())
		}
	}
}

// permit checks the lease of a duty on the control goroutine. The planner
// calls it before each round and again immediately before each order. With
// checksFence it only requires that the lease is held; without, it also fails
// while an order of the former holder can be in flight.
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
	case i.hub.leaseChecks <- check:
	case <-ctx.Done():
		return lease.Permit{}, ctx.Err()
	}
	checked := <-answer
	return checked.permit, checked.err
}

func (p *planner) planOnce(ctx context.Context) error {
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
	p.dropExpiredRefusals(now)
	for _, service := range view.Catalog.Services() {
		p.observeDemand(now, view.Fleet, service)
		snapshot := p.snapshot(now, view, service, offers, instances)
		for _, order := range capacity.Plan(now, p.cfg, 0, snapshot) {
			p.issueOrder(ctx, view.Fleet, order)
		}
	}
	return nil
}

// Capacity of an endpoint for planning, in concurrent requests. The values are
// below what an endpoint can run, so that requests do not queue.
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

// observeDemand adds the running and queued requests that the endpoints of a
// service report to the demand window of the service.
func (p *planner) observeDemand(now time.Time, fleet *membership.View, service *catalog.Service) {
	demand := 0.0
	for _, e := range fleet.Endpoints {
		if e.Service == service.Name {
			demand += float64(e.Load.Running + e.Load.Queued)
		}
	}
	window := p.demandWindows[service.Name]
	if window == nil {
		window = &capacity.DemandWindow{}
		p.demandWindows[service.Name] = window
	}
	window.Observe(now, demand)
}

func (p *planner) snapshot(
	now time.Time, view *control.View, service *catalog.Service, offers []cloud.Offer, instances []cloud.Instance,
) capacity.Snapshot {
	window := p.demandWindows[service.Name]
	snapshot := capacity.Snapshot{
		Preset: *view.Catalog.InForce(), Refusals: p.refusals,
		Services: []capacity.Service{{
			Name: service.Name, Peak: window.Peak(now), DrainsDisabled: !window.Full(now),
		}},
	}
	for _, offer := range offers {
		if service.RunsOn(offer.Class) {
			snapshot.Offers = append(snapshot.Offers, p.capacityOffer(offer, service))
		}
	}
	for _, instance := range instances {
		if instance.Service == service.Name {
			snapshot.Instances = append(snapshot.Instances, p.capacityInstance(now, view.Fleet, instance, service))
		}
	}
	return snapshot
}

func (p *planner) capacityOffer(offer cloud.Offer, service *catalog.Service) capacity.Offer {
	return capacity.Offer{
		Zone: offer.Zone, Datacentre: offer.Datacentre, Class: offer.Class, Reclaimable: offer.Reclaimable,
		PricePerHour: offer.PricePerHour, Units: unitsOf(service),
		ReclaimsPerHour: p.reclaims.rate(offer.Zone, offer.Class, offer.Reclaimable),
	}
}

// capacityInstance converts an instance of the cloud to the input of
// capacity.Plan.
func (p *planner) capacityInstance(
	now time.Time, fleet *membership.View, instance cloud.Instance, service *catalog.Service,
) capacity.Instance {
	started := time.UnixMilli(instance.StartedAtMs)
	planned := capacity.Instance{
		ID: instance.ID, Service: instance.Service, State: capacity.StateReady, Since: started, StartedAt: started,
		Leaving: instance.State == cloud.StateLeaving,
		Offer: p.capacityOffer(cloud.Offer{
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

// issueOrder executes one order. It checks the lease again immediately before,
// and abandons the order after the timeout of the permit.
func (p *planner) issueOrder(ctx context.Context, fleet *membership.View, order capacity.Order) {
	permit, err := p.instance.permit(ctx, control.DutyCapacity, false)
	if err != nil {
		p.instance.lg.Info("order skipped: the lease does not permit it", "step", "capacity", "order", order.Kind.String(), "error", err.Error())
		return
	}
	bounded, cancel := context.WithTimeout(ctx, permit.Timeout)
	defer cancel()
	err = p.executeOrder(bounded, fleet, order, permit.Fence)
	detail := order.Kind.String() + " " + order.Service + ": " + order.Reason
	if err != nil {
		detail += ": " + err.Error()
		p.instance.lg.Warn("order failed", "step", "capacity", "order", order.Kind.String(), "error", err.Error())
	}
	p.instance.ring.Record(timeline.Event{
		Kind: timeline.KindOrder, Endpoint: order.Instance, Step: "capacity/" + order.Kind.String(), Detail: detail,
	})
}

func (p *planner) executeOrder(ctx context.Context, fleet *membership.View, order capacity.Order, fence uint64) error {
	switch order.Kind {
	case capacity.OrderStart:
		return p.startInstance(ctx, order, fence)
	case capacity.OrderDrain:
		endpoint := fleet.Endpoint(order.Instance)
		if endpoint == nil {
			return errUnknownEndpoint
		}
		p.instance.hub.post(ctx, control.NoticeReceived{Notice: membership.Notice{
			ID: endpoint.ID, Incarnation: endpoint.Incarnation, Remaining: p.cfg.DrainTimeout,
		}})
		return nil
	case capacity.OrderStop:
		return p.instance.cloud.StopInstance(ctx, cloud.StopOrder{ID: order.Instance, Fence: fence})
	case capacity.OrderEngine:
		return p.sendEngineOrder(ctx, fleet, order, fence)
	default:
		return errUnknownEndpoint
	}
}

// errUnknownEndpoint means that an order names an endpoint that is not in the
// fleet view, or has an unknown kind.
var errUnknownEndpoint = errors.New("knapweedhoist: unknown endpoint")

func (p *planner) startInstance(ctx context.Context, order capacity.Order, fence uint64) error {
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

func (p *planner) sendEngineOrder(ctx context.Context, fleet *membership.View, order capacity.Order, fence uint64) error {
	endpoint := fleet.Endpoint(order.Instance)
	if endpoint == nil {
		return errUnknownEndpoint
	}
	fenced := order.Engine
	fenced.Fence = fence
	return p.instance.policy.engine(endpoint).Order(ctx, fenced)
}

func (p *planner) dropExpiredRefusals(now time.Time) {
	kept := p.refusals[:0]
	for _, refusal := range p.refusals {
		if now.Sub(refusal.At) < p.cfg.RefusalBackoff {
			kept = append(kept, refusal)
		}
	}
	p.refusals = kept
}
