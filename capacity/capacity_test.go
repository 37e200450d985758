package capacity_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"knapweedhoist/capacity"
	"knapweedhoist/engine"
)

// init gives the property tests a fixed seed; -rapid.seed on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func TestCapacity(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "capacity")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// offers returns an on-demand and a cheaper reclaimable offer in each of four data centres.
func offers() []capacity.Offer {
	var list []capacity.Offer
	for i := range 4 {
		zone := fmt.Sprintf("z%d", i)
		list = append(list,
			capacity.Offer{Zone: zone, Datacentre: zone, Class: "gpu", PricePerHour: 10, Units: 10},
			capacity.Offer{Zone: zone, Datacentre: zone, Class: "gpu", PricePerHour: 4, Units: 10, Reclaimable: true, ReclaimsPerHour: 0.1})
	}
	return list
}

// fakeCloud applies orders to the instances of its snapshot. Started instances are ready at the next step, and draining
// ones are idle at once.
type fakeCloud struct {
	snapshot   capacity.Snapshot
	lastNumber int
	starts     int
	drains     int
}

func (c *fakeCloud) apply(t *rapid.T, now time.Time, orders []capacity.Order) {
	for _, o := range orders {
		if o.Fence != 3 {
			t.Fatalf("order does not carry the plan's fencing token 3: %+v", o)
		}
		switch o.Kind {
		case capacity.OrderStart:
			c.lastNumber++
			c.starts++
			c.snapshot.Instances = append(c.snapshot.Instances, capacity.Instance{
				ID: fmt.Sprintf("i%03d", c.lastNumber), Service: o.Service, Offer: o.Offer, State: capacity.StateReady, StartedAt: now, Since: now,
			})
		case capacity.OrderDrain, capacity.OrderStop:
			c.drainOrStop(t, now, o)
		}
	}
}

// drainOrStop applies a drain or stop order. It fails the test if an instance is drained within MinLifetime.
func (c *fakeCloud) drainOrStop(t *rapid.T, now time.Time, o capacity.Order) {
	for k := range c.snapshot.Instances {
		i := &c.snapshot.Instances[k]
		if i.ID != o.Instance {
			continue
		}
		if o.Kind == capacity.OrderStop {
			c.snapshot.Instances = append(c.snapshot.Instances[:k], c.snapshot.Instances[k+1:]...)
			return
		}
		if now.Sub(i.StartedAt) < capacity.DefaultConfig().MinLifetime {
			t.Fatalf("instance %s drained %v after its start, less than MinLifetime", i.ID, now.Sub(i.StartedAt))
		}
		i.State, i.Since, i.Idle = capacity.StateDraining, now, true
		c.drains++
	}
}

// units returns the capacity of the ready instances: in total, of the largest data centre, and of reclaimable ones.
func (c *fakeCloud) units() (total, largest, reclaimable float64) {
	byDatacentre := map[string]float64{}
	for _, i := range c.snapshot.Instances {
		if i.State != capacity.StateReady {
			continue
		}
		total += i.Offer.Units
		byDatacentre[i.Offer.Datacentre] += i.Offer.Units
		largest = max(largest, byDatacentre[i.Offer.Datacentre])
		if i.Offer.Reclaimable {
			reclaimable += i.Offer.Units
		}
	}
	return total, largest, reclaimable
}

var _ = Describe("Plan", func() {
	It("guards against flapping, drains within MinLifetime, and a fleet that is too small after the loss of a data centre", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			cfg := capacity.DefaultConfig()
			c := &fakeCloud{snapshot: capacity.Snapshot{Offers: offers()}}
			var window capacity.DemandWindow
			base := float64(rapid.IntRange(10, 400).Draw(t, "base"))
			now, ordersAtConstantDemand := start, 0
			for step := range 240 {
				now = now.Add(30 * time.Second)
				demand := base * (1 + float64(rapid.IntRange(-5, 5).Draw(t, "noise"))/100)
				if step >= 100 {
					demand = base * 1.05
				}
				window.Observe(now, demand)
				c.snapshot.Services = []capacity.Service{{Name: "s", Peak: window.Peak(now), DrainsDisabled: !window.Full(now)}}
				orders := capacity.Plan(now, cfg, 3, c.snapshot)
				c.apply(t, now, orders)
				if step >= 200 {
					ordersAtConstantDemand += len(orders)
				}
			}
			total, largest, reclaimable := c.units()
			peak := window.Peak(now)
			if total < peak*1.2-1e-6 || total-largest < peak-1e-6 {
				t.Fatalf("capacity %f, without the largest data centre %f, for a peak demand of %f", total, total-largest, peak)
			}
			if reclaimable > 0.56*total+10 {
				t.Fatalf("%f of %f units are reclaimable", reclaimable, total)
			}
			if ordersAtConstantDemand > 0 {
				t.Fatalf("%d orders after 50 minutes of constant demand", ordersAtConstantDemand)
			}
			// Each instance (10 units) is replaced at most once in MinLifetime, of which two hours have 12; 20 more drains are
			// allowed for the growth of the fleet.
			if maxDrains := int(total/10)*12 + 20; c.drains > maxDrains {
				t.Fatalf("%d drains in two hours are too many for the size of the fleet", c.drains)
			}
		})
	})

	It("guards against ordering a recently refused offer again instead of another one", func() {
		s := capacity.Snapshot{Offers: offers(), Services: []capacity.Service{{Name: "s", Peak: 100}}}
		for _, o := range s.Offers {
			if o.Reclaimable {
				s.Refusals = append(s.Refusals, capacity.Refusal{Zone: o.Zone, Class: o.Class, Reclaimable: true, At: start})
			}
		}
		orders := capacity.Plan(start.Add(time.Minute), capacity.DefaultConfig(), 3, s)
		Expect(orders).NotTo(BeEmpty())
		for _, o := range orders {
			Expect(o.Offer.Reclaimable).To(BeFalse())
		}
	})

	It("guards against ordering more loads than the weight store's rate allows, and loading a model in one data centre only", func() {
		s := capacity.Snapshot{
			Offers: offers(), WeightBytesPerSecond: 1e9,
			Services: []capacity.Service{{Name: "s", Models: []capacity.Model{{Name: "m", Bytes: 4e9, Share: 1}}}},
		}
		for k := range 8 {
			s.Instances = append(s.Instances, capacity.Instance{
				ID: fmt.Sprintf("i%d", k), Service: "s", Offer: s.Offers[k/2], State: capacity.StateReady, StartedAt: start, Role: capacity.RoleMixed,
			})
		}
		loadingDatacentres := map[string]bool{}
		loads := 0
		for _, o := range capacity.Plan(start, capacity.DefaultConfig(), 3, s) {
			if o.Kind == capacity.OrderEngine && o.Engine.Kind == engine.OrderLoadModel {
				loads++
				for _, i := range s.Instances {
					if i.ID == o.Instance {
						loadingDatacentres[i.Offer.Datacentre] = true
					}
				}
			}
		}
		Expect(loads).To(Equal(2))
		Expect(loadingDatacentres).To(HaveLen(2))
	})
})
