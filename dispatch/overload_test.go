package dispatch

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/deployment"
	"knapweedhoist/enginemodel"
)

// queueingServer is an endpoint that runs requests in the order of their arrival at its slots.
type queueingServer struct {
	slots  int
	freeAt []time.Time // by slot
}

// start returns when a request that arrives now starts and ends.
func (s *queueingServer) start(now time.Time, service time.Duration) (started, ended time.Time) {
	sort.Slice(s.freeAt, func(a, b int) bool { return s.freeAt[a].Before(s.freeAt[b]) })
	started = now
	if s.freeAt[0].After(now) {
		started = s.freeAt[0]
	}
	ended = started.Add(service)
	s.freeAt[0] = ended
	return started, ended
}

// overloadRun is the result of a simulated load.
type overloadRun struct{ sent, onTime, late, refused int }

// simulateOverload sends requests at a multiple of the capacity of four endpoints with six slots and a service time of 60
// ms on average, for 8 s, and returns how they ended. objective 0 disables refusals.
func simulateOverload(multiple float64, objective time.Duration, refuse bool) overloadRun {
	const endpoints, slots, meanService = 4, 6, 60 * time.Millisecond
	service := &deployment.Service{Name: "plain"}
	query := Query{Service: service, Endpoints: make(map[string]*deployment.Endpoint), Remaining: 2 * time.Second, Rank: 2}
	servers := make(map[string]*queueingServer)
	for i := range endpoints {
		id := fmt.Sprintf("e-%d", i)
		query.Endpoints[id] = &deployment.Endpoint{ID: id, Service: "plain", DataCentre: "dc", Slots: slots}
		servers[id] = &queueingServer{slots: slots, freeAt: make([]time.Time, slots)}
	}
	if refuse {
		query.Objective = objective
	}
	random := rand.New(rand.NewPCG(1, 2))
	balancer := NewBalancer(Config{DataCentre: "dc"}, enginemodel.NewLearner())
	now := time.Unix(1000, 0)
	type end struct {
		at     time.Time
		flight *InFlight
	}
	var ends []end
	var run overloadRun
	interval := float64(meanService) / (endpoints * slots) / multiple
	for stop := now.Add(8 * time.Second); now.Before(stop); now = now.Add(time.Duration(random.ExpFloat64() * interval)) {
		sort.Slice(ends, func(a, b int) bool { return ends[a].at.Before(ends[b].at) })
		for len(ends) > 0 && !ends[0].at.After(now) {
			ends[0].flight.Done(ends[0].at, Served)
			ends = ends[1:]
		}
		run.sent++
		flight, err := balancer.Choose(now, query)
		if err != nil {
			run.refused++
			continue
		}
		duration := time.Duration(float64(meanService) * math.Exp(random.NormFloat64()*0.5-0.125))
		_, ended := servers[flight.Endpoint.ID].start(now, duration)
		ends = append(ends, end{ended, flight})
		if ended.Sub(now) <= objective {
			run.onTime++
		} else {
			run.late++
		}
	}
	return run
}

var _ = Describe("Overload", func() {
	const objective = 300 * time.Millisecond
	const perSecond = 4 * 6 / 0.06

	// Guards against a queue in which every request becomes late while the demand is above the capacity.
	DescribeTable("keeps the answers on time that the endpoints can give",
		func(multiple float64) {
			run := simulateOverload(multiple, objective, true)
			capacity := math.Min(multiple, 1) * perSecond * 8
			Expect(float64(run.onTime)).To(BeNumerically(">=", 0.9*capacity))
			without := simulateOverload(multiple, objective, false)
			Expect(run.onTime).To(BeNumerically(">=", without.onTime-run.sent/50))
		},
		Entry("half the capacity", 0.5),
		Entry("the capacity", 1.0),
		Entry("twice the capacity", 2.0),
		Entry("four times the capacity", 4.0),
	)

	// Guards against refusals while endpoints have free slots.
	It("refuses nothing below the capacity", func() {
		Expect(simulateOverload(0.7, objective, true).refused).To(BeZero())
	})

	// Guards against refused callers that all return at once, before there is room.
	It("states the expected wait", func() {
		service := &deployment.Service{Name: "plain"}
		query := Query{
			Service: service, Objective: 100 * time.Millisecond, Remaining: time.Minute, Rank: 2,
			Endpoints: map[string]*deployment.Endpoint{"e": {ID: "e", Service: "plain", Slots: 2}},
		}
		learner := enginemodel.NewLearner()
		learner.SetOthers(map[string]enginemodel.Samples{"plain": {Ended: 1e6, Residence: 1e6 * 0.4}})
		balancer := NewBalancer(Config{}, learner)
		for range 2 {
			_, err := balancer.Choose(time.Unix(1000, 0), query)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := balancer.Choose(time.Unix(1000, 0), query)
		Expect(err).To(MatchError(ErrOverloaded))
		var overloaded *OverloadedError
		Expect(errors.As(err, &overloaded)).To(BeTrue())
		Expect(overloaded.Wait).To(BeNumerically("~", 200*time.Millisecond, time.Millisecond))
	})

	// Guards against urgent requests that are refused for a queue that they would overtake.
	It("admits a request of a higher rank into a longer queue", func() {
		learner := enginemodel.NewLearner()
		learner.SetOthers(map[string]enginemodel.Samples{"plain": {Ended: 1e6, Residence: 1e6 * 0.1}})
		balancer := NewBalancer(Config{}, learner)
		query := Query{
			Service: &deployment.Service{Name: "plain"}, Objective: 250 * time.Millisecond, Remaining: time.Minute, Rank: 2,
			Endpoints: map[string]*deployment.Endpoint{"e": {ID: "e", Service: "plain", Slots: 2}},
		}
		var err error
		for err == nil {
			_, err = balancer.Choose(time.Unix(1000, 0), query)
		}
		Expect(err).To(MatchError(ErrOverloaded))
		query.Rank = 0
		_, err = balancer.Choose(time.Unix(1000, 0), query)
		Expect(err).NotTo(HaveOccurred())
	})
})
