package sizing

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/deployment"
)

var _ = Describe("Planner", func() {
	centres := []string{"a", "b", "c", "d"}
	service := &deployment.Service{
		Name: "engines", Engine: &deployment.Engine{Slots: 128},
		Scaling: &deployment.Scaling{
			Min: 1, Max: 6, BootTime: 4 * time.Second, ReclaimablePrice: 0.15,
			Prices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9},
		},
	}
	config := deployment.NewConfig(1, nil, []*deployment.Service{service}, deployment.OpenToAll, nil, deployment.Limits{})

	// view returns a view with the given numbers of ready endpoints in each data centre.
	view := func(reclaimable, onDemand int) *deployment.View {
		endpoints := make(map[string]*deployment.Endpoint)
		for _, centre := range centres {
			for n := range reclaimable + onDemand {
				id := centre + string(rune('0'+n))
				endpoints[id] = &deployment.Endpoint{ID: id, Service: "engines", DataCentre: centre, Reclaimable: n < reclaimable}
			}
		}
		return &deployment.View{Config: config, Endpoints: endpoints, EndpointsRead: true}
	}
	totalCount := func(sizes []Size, reclaimable bool) int {
		total := 0
		for _, size := range sizes {
			if size.Reclaimable == reclaimable {
				total += size.Count
			}
		}
		return total
	}
	constantRate := func(rate float64) func(string) Demand {
		return func(string) Demand { return Demand{Prefill: rate, PrefillRate: 70_000, Settled: true} }
	}
	// run plans every 250 ms for the given seconds and returns the last sizes.
	run := func(p *Planner, from time.Time, seconds int, v *deployment.View, rate float64) []Size {
		var sizes []Size
		for s := range 4 * seconds {
			sizes = p.Plan(from.Add(time.Duration(s)*250*time.Millisecond), v, constantRate(rate))
		}
		return sizes
	}
	start := time.Unix(1000, 0)

	It("plans nothing before the endpoints were read", func() {
		Expect(NewPlanner(Config{}).Plan(start, &deployment.View{Config: config}, constantRate(0))).To(BeEmpty())
	})

	// Guards against a service that shrinks to the endpoints that had registered at the first plan: in fleetbench
	// hlh-snowdesk scale-1 it had one endpoint instead of nine when traffic started.
	It("plans nothing until the number of registered endpoints has been unchanged for registrationDelay", func() {
		p := NewPlanner(Config{})
		Expect(p.Plan(start, view(0, 0), constantRate(0))).To(BeEmpty())
		Expect(p.Plan(start.Add(time.Second), view(0, 1), constantRate(0))).To(BeEmpty())
		Expect(p.Plan(start.Add(2*time.Second), view(0, 2), constantRate(0))).To(BeEmpty())
		sizes := p.Plan(start.Add(2*time.Second+registrationDelay), view(0, 2), constantRate(0))
		Expect(totalCount(sizes, true)).To(Equal(8))
		Expect(totalCount(sizes, false)).To(Equal(4))
	})

	// Guards against paying for on-demand endpoints until traffic starts: half of the 192 engines of fleetbench
	// zapateo-ops-large were kept on demand for 20 s beside as many reclaimable ones.
	It("keeps few on-demand endpoints before the first demand once reclaimable ones are ready", func() {
		p := NewPlanner(Config{})
		run(p, start, 3, view(0, 3), 0)
		Expect(totalCount(run(p, start.Add(3*time.Second), 2, view(0, 3), 0), false)).To(Equal(6)) // 12 x 0.5 / 1.1
		sizes := run(p, start.Add(5*time.Second), 8, view(3, 1), 0)
		Expect(totalCount(sizes, true)).To(Equal(12))
		Expect(totalCount(sizes, false)).To(Equal(3)) // 12 x 0.5 / 2.6
	})

	// Guards against orders for a demand that is overestimated while the engines' speed and the hits of their caches are
	// not known: 320 engines were ordered in the first seconds of fleetbench zapateo-ops-large.
	It("keeps the first size until the demand is known", func() {
		p := NewPlanner(Config{})
		run(p, start, 3, view(0, 3), 0)
		sizes := p.Plan(start.Add(3*time.Second), view(0, 3), func(string) Demand {
			return Demand{Prefill: 9_000_000, PrefillRate: 60_000}
		})
		Expect(totalCount(sizes, true)).To(Equal(12))
	})

	// Guards against a service that never gets endpoints again: without endpoints its demand cannot be measured.
	It("plans endpoints for a service that has lost all of them", func() {
		p := NewPlanner(Config{})
		Expect(p.Plan(start, view(0, 0), constantRate(0))).To(BeEmpty())
		sizes := p.Plan(start.Add(emptyRegistrationDelay), view(0, 0), constantRate(0))
		Expect(totalCount(sizes, true)).To(Equal(4))
		Expect(totalCount(sizes, false)).To(BeNumerically(">=", 1))
	})

	It("plans reclaimable endpoints in all data centres, and a few on-demand ones, for a steady rate", func() {
		sizes := run(NewPlanner(Config{}), start, 30, view(2, 0), 240_000)
		// Prefill / (PrefillRate x TargetLoad) = 240,000 / (70,000 x 0.5), rounded up
		Expect(totalCount(sizes, true)).To(Equal(7))
		// Prefill / (PrefillRate x OnDemandLoad) = 240,000 / (70,000 x 2.6), rounded up
		Expect(totalCount(sizes, false)).To(Equal(2))
		for _, size := range sizes {
			if size.Reclaimable {
				Expect(size.Count).To(BeNumerically(">=", 1))
			}
			Expect(size.Count).To(BeNumerically("<=", service.Scaling.Max))
		}
	})

	// Guards against engines that run few requests at once and are ordered by their prompts alone: in fleetbench
	// tambo-serrano-grown answers held the 12 slots of an engine for seconds, and servers rejected 5,356 of 22,558 requests.
	It("plans endpoints by their slots where these are scarcer than prefill", func() {
		demand := Demand{Prefill: 240_000, PrefillRate: 110_000, InFlight: 1536, Settled: true}
		sizes := NewPlanner(Config{}).Plan(start, view(2, 0), func(string) Demand { return demand })
		// InFlight / (Slots x TargetOccupancy) = 1536 / (128 x 0.6)
		Expect(totalCount(sizes, true)).To(Equal(20))
	})

	// Guards against a service without endpoints after all reclaimable ones were reclaimed: in fleetbench zapateo-ops
	// quiet-1 there were four reclaims within six seconds.
	It("keeps the on-demand endpoints at the first reclaims, and plans at least four once all reclaimable ones are gone", func() {
		p := NewPlanner(Config{})
		run(p, start, 30, view(2, 0), 240_000)
		reclaimed := view(2, 0)
		for _, endpoint := range reclaimed.Endpoints {
			if endpoint.DataCentre == "a" {
				endpoint.Leaving, endpoint.LeavesIn = true, 2*time.Second
			}
		}
		before := run(p, start.Add(30*time.Second), 1, view(2, 0), 300_000)
		after := run(p, start.Add(31*time.Second), 1, reclaimed, 300_000)
		Expect(totalCount(after, false)).To(BeNumerically(">=", totalCount(before, false)))
		allReclaimed := run(p, start.Add(33*time.Second), 1, view(0, 1), 300_000)
		Expect(totalCount(allReclaimed, false)).To(BeNumerically(">=", 4))
	})

	// Guards against on-demand endpoints that are released during a wave of reclaims and ordered again.
	It("does not reduce the on-demand endpoints during a wave of reclaims", func() {
		p := NewPlanner(Config{})
		run(p, start, 2, view(0, 1), 400_000)
		leaving := view(1, 1)
		for _, endpoint := range leaving.Endpoints {
			if endpoint.Reclaimable {
				endpoint.Leaving, endpoint.LeavesIn = true, time.Second
			}
		}
		peak := totalCount(run(p, start.Add(2*time.Second), 1, leaving, 400_000), false)
		Expect(totalCount(run(p, start.Add(3*time.Second), 10, view(4, 1), 100_000), false)).To(Equal(peak))
		Expect(totalCount(run(p, start.Add(20*time.Second), 20, view(4, 1), 100_000), false)).To(BeNumerically("<", peak))
	})

	// Guards against ordering and releasing endpoints at every change of demand that lasts only seconds.
	It("shrinks only after a smaller number has sufficed for ScaleDownDelay", func() {
		p := NewPlanner(Config{})
		high := totalCount(run(p, start, 2, view(2, 1), 400_000), true)
		Expect(totalCount(run(p, start.Add(2*time.Second), 5, view(2, 1), 100_000), true)).To(Equal(high))
		Expect(totalCount(run(p, start.Add(7*time.Second), 10, view(2, 1), 100_000), true)).To(BeNumerically("<", high))
	})
})
