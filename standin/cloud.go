package standin

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"knapweedhoist/cloud"
)

// Cloud is a stand-in for the cloud API. It implements cloud.Cloud. The state of an
// instance is computed from the clock; processes on the instances are started
// and stopped only by the callbacks in CloudConfig.
type Cloud struct {
	*Server
	// Faults holds the active faults. The operations are "offers", "start",
	// "stop", "instances", "notices" and, for FaultGap, "notice". FaultRefuse on
	// "start" returns cloud.ErrRefused. Call.Name of "start" is the zone.
	Faults Faults

	cfg CloudConfig

	mu        sync.Mutex // guards the fields below
	offers    []cloud.Offer
	instances map[string]*instanceRecord
	// operations maps each operation id to the id of the instance that it started.
	operations   map[string]string
	startCount   uint64
	lastSequence uint64
	notices      []stampedNotice
	highestFence uint64
	spent        float64
}

// instanceRecord is an instance with the times from which its state and cost are computed.
type instanceRecord struct {
	instance    cloud.Instance
	runningAt   time.Time
	billedUntil time.Time
	// endsAt is zero until the instance gets a reclaim notice.
	endsAt time.Time
}

type stampedNotice struct {
	publishedAt time.Time
	notice      cloud.Notice
}

// NewCloud returns a Cloud without instances.
func NewCloud(lg *slog.Logger, cfg CloudConfig) *Cloud {
	cfg = cfg.withDefaults()
	c := &Cloud{
		cfg: cfg, offers: slices.Clone(cfg.Offers),
		instances: make(map[string]*instanceRecord), operations: make(map[string]string),
	}
	c.Server = newServer(lg, "cloud", c.serveHTTP)
	return c
}

func (c *Cloud) applyFaults(ctx context.Context, call Call, refused error) (effect, error) {
	e := c.Faults.next(call)
	return e, e.before(ctx, c.cfg.Clock, cloud.ErrUnavailable, refused)
}

// errThrottled is the error that FaultRefuse returns for calls other than a start.
var errThrottled = &cloud.ThrottledError{RetryAfter: time.Second}

// Offers implements cloud.Cloud.
func (c *Cloud) Offers(ctx context.Context) ([]cloud.Offer, error) {
	e, err := c.applyFaults(ctx, Call{Op: "offers"}, errThrottled)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.offers), e.after(ctx, nil, cloud.ErrUnavailable)
}

// SetPrice changes the price of an offer; instances already started keep their price.
func (c *Cloud) SetPrice(zone, class string, reclaimable bool, perHour float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, offer := range c.offers {
		if offer.Zone == zone && offer.Class == class && offer.Reclaimable == reclaimable {
			c.offers[i].PricePerHour = perHour
		}
	}
}

// StartInstance implements cloud.Cloud.
func (c *Cloud) StartInstance(ctx context.Context, order cloud.StartOrder) (cloud.Instance, error) {
	e, err := c.applyFaults(ctx, Call{Op: "start", Name: order.Zone}, cloud.ErrRefused)
	if err != nil {
		return cloud.Instance{}, err
	}
	instance, err := c.start(order)
	return instance, e.after(ctx, err, cloud.ErrUnavailable)
}

func (c *Cloud) start(order cloud.StartOrder) (cloud.Instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire()
	if order.OperationID == "" {
		return cloud.Instance{}, fmt.Errorf("%w: no operation id", cloud.ErrInvalid)
	}
	if id, ok := c.operations[order.OperationID]; ok {
		return c.repeatedStart(id)
	}
	if err := c.checkFence(order.Fence); err != nil {
		return cloud.Instance{}, err
	}
	offer, ok := c.findOffer(order)
	if !ok {
		return cloud.Instance{}, fmt.Errorf("%w: no such offer", cloud.ErrInvalid)
	}
	if c.cfg.Capacity > 0 && c.countInstances(order) >= c.cfg.Capacity {
		return cloud.Instance{}, fmt.Errorf("%w: no capacity", cloud.ErrRefused)
	}
	return c.launch(order, offer)
}

func (c *Cloud) launch(order cloud.StartOrder, offer cloud.Offer) (cloud.Instance, error) {
	now := c.cfg.Clock.Now()
	c.startCount++
	instance := cloud.Instance{
		ID: "i-" + strconv.FormatUint(c.startCount, 10), Zone: offer.Zone, Datacentre: offer.Datacentre,
		Class: offer.Class, Reclaimable: offer.Reclaimable, PricePerHour: offer.PricePerHour,
		Service: order.Service, OperationID: order.OperationID, StartedAtMs: now.UnixMilli(),
	}
	address, err := c.cfg.Launch(instance)
	if err != nil {
		return cloud.Instance{}, fmt.Errorf("%w: %w", cloud.ErrRefused, err)
	}
	instance.Address = address
	m := &instanceRecord{instance: instance, runningAt: now.Add(c.cfg.StartTime), billedUntil: now}
	c.instances[instance.ID] = m
	c.operations[order.OperationID] = instance.ID
	return c.withState(m), nil
}

// repeatedStart returns the instance of an operation id that was already used,
// or cloud.ErrRefused when that instance has ended.
func (c *Cloud) repeatedStart(instanceID string) (cloud.Instance, error) {
	m, ok := c.instances[instanceID]
	if !ok {
		return cloud.Instance{}, fmt.Errorf("%w: instance %s has ended", cloud.ErrRefused, instanceID)
	}
	return c.withState(m), nil
}

func (c *Cloud) findOffer(order cloud.StartOrder) (cloud.Offer, bool) {
	for _, offer := range c.offers {
		if offer.Zone == order.Zone && offer.Class == order.Class && offer.Reclaimable == order.Reclaimable {
			return offer, true
		}
	}
	return cloud.Offer{}, false
}

// countInstances returns the number of instances of the order's offer.
func (c *Cloud) countInstances(order cloud.StartOrder) int {
	n := 0
	for _, m := range c.instances {
		i := m.instance
		if i.Zone == order.Zone && i.Class == order.Class && i.Reclaimable == order.Reclaimable {
			n++
		}
	}
	return n
}

// checkFence refuses an outdated fencing token if CloudConfig.ChecksFence is set, and
// otherwise updates the highest token received. The caller holds c.mu.
func (c *Cloud) checkFence(fence uint64) error {
	if c.cfg.ChecksFence && fence < c.highestFence {
		return fmt.Errorf("%w: %d after %d", cloud.ErrStaleFence, fence, c.highestFence)
	}
	c.highestFence = max(c.highestFence, fence)
	return nil
}

// StopInstance implements cloud.Cloud.
func (c *Cloud) StopInstance(ctx context.Context, order cloud.StopOrder) error {
	e, err := c.applyFaults(ctx, Call{Op: "stop", Name: order.ID}, errThrottled)
	if err != nil {
		return err
	}
	return e.after(ctx, c.stop(order), cloud.ErrUnavailable)
}

func (c *Cloud) stop(order cloud.StopOrder) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire()
	if err := c.checkFence(order.Fence); err != nil {
		return err
	}
	m, ok := c.instances[order.ID]
	if !ok {
		return cloud.ErrNotFound
	}
	c.removeInstance(m, c.cfg.Clock.Now())
	c.cfg.Ended(m.instance)
	return nil
}

// Instances implements cloud.Cloud.
func (c *Cloud) Instances(ctx context.Context) ([]cloud.Instance, error) {
	e, err := c.applyFaults(ctx, Call{Op: "instances"}, errThrottled)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire()
	list := make([]cloud.Instance, 0, len(c.instances))
	for _, m := range c.instances {
		list = append(list, c.withState(m))
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list, e.after(ctx, nil, cloud.ErrUnavailable)
}

// withState returns the instance with its current state.
func (c *Cloud) withState(m *instanceRecord) cloud.Instance {
	instance := m.instance
	switch {
	case !m.endsAt.IsZero():
		instance.State = cloud.StateLeaving
	case c.cfg.Clock.Now().Before(m.runningAt):
		instance.State = cloud.StateStarting
	default:
		instance.State = cloud.StateRunning
	}
	return instance
}

// expire removes the instances whose reclaim deadline has passed. The caller holds c.mu.
func (c *Cloud) expire() {
	now := c.cfg.Clock.Now()
	for _, m := range c.instances {
		if !m.endsAt.IsZero() && !now.Before(m.endsAt) {
			c.removeInstance(m, m.endsAt)
		}
	}
}

func (c *Cloud) removeInstance(m *instanceRecord, at time.Time) {
	c.bill(m, at)
	delete(c.instances, m.instance.ID)
}

func (c *Cloud) bill(m *instanceRecord, until time.Time) {
	c.spent += until.Sub(m.billedUntil).Hours() * m.instance.PricePerHour
	m.billedUntil = until
}

// Spent returns the total cost of all instances so far, in the currency of the offers.
func (c *Cloud) Spent() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire()
	now := c.cfg.Clock.Now()
	for _, m := range c.instances {
		c.bill(m, now)
	}
	return c.spent
}
