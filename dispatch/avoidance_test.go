package dispatch

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"knapweedhoist/deployment"
	"knapweedhoist/enginemodel"
)

// plainQuery returns a request to a service with the given endpoints.
func plainQuery(endpoints ...*deployment.Endpoint) Query {
	byID := make(map[string]*deployment.Endpoint)
	for _, endpoint := range endpoints {
		byID[endpoint.ID] = endpoint
	}
	return Query{Service: &deployment.Service{Name: "plain"}, Endpoints: byID}
}

func plainEndpoint(id string, startedAtMs int64) *deployment.Endpoint {
	return &deployment.Endpoint{ID: id, Service: "plain", Slots: 8, StartedAtMs: startedAtMs}
}

var _ = Describe("An endpoint", func() {
	now := time.Unix(1000, 0)
	var balancer *Balancer
	BeforeEach(func() { balancer = NewBalancer(Config{}, enginemodel.NewLearner()) })
	choose := func(at time.Time, query Query) *InFlight {
		flight, err := balancer.Choose(at, query)
		Expect(err).NotTo(HaveOccurred())
		return flight
	}

	// Guards against requests to an endpoint that is about to exit, also while the store does not list it as leaving; and
	// against avoiding the process that starts after it.
	It("gets no request after it has stated that it leaves, until it has restarted", func() {
		query := plainQuery(plainEndpoint("e", 1))
		flight := choose(now, query)
		Expect(flight.RecordLeaving()).To(BeTrue())
		Expect(flight.RecordLeaving()).To(BeFalse())
		flight.Done(now, Served)
		_, err := balancer.Choose(now.Add(time.Hour), query)
		Expect(err).To(MatchError(ErrNoEndpoint))
		Expect(balancer.LeavingKnown(query.Endpoints)["e"].Leaving).To(BeTrue())
		Expect(query.Endpoints["e"].Leaving).To(BeFalse())
		Expect(choose(now, plainQuery(plainEndpoint("e", 2))).Endpoint.ID).To(Equal("e"))
	})

	// Guards against the return of such an endpoint when its entry is listed again after an outage of the store.
	It("stays avoided while its entry is missing", func() {
		query := plainQuery(plainEndpoint("e", 1))
		flight := choose(now, query)
		flight.RecordLeaving()
		flight.Done(now, Served)
		balancer.Sweep(now.Add(time.Minute), nil)
		_, err := balancer.Choose(now.Add(time.Minute), query)
		Expect(err).To(MatchError(ErrNoEndpoint))
		balancer.Sweep(now.Add(time.Hour), nil)
		Expect(balancer.states).To(BeEmpty())
	})

	// Guards against requests within a pause, a pause that a shorter one replaces, and callers that learn no time.
	It("gets no request within its pause, and callers learn when the first pause ends", func() {
		query := plainQuery(plainEndpoint("a", 1), plainEndpoint("b", 1))
		first, second := choose(now, query), choose(now, query)
		Expect(first.Endpoint.ID).NotTo(Equal(second.Endpoint.ID))
		Expect(first.RecordPause(now, 3*time.Second)).To(BeTrue())
		Expect(first.RecordPause(now, time.Second)).To(BeFalse())
		Expect(choose(now.Add(2*time.Second), query).Endpoint).To(Equal(second.Endpoint))
		second.RecordPause(now.Add(2*time.Second), 9*time.Second)
		_, err := balancer.Choose(now.Add(2*time.Second), query)
		var paused *PausedError
		Expect(errors.As(err, &paused)).To(BeTrue())
		Expect(paused.Wait).To(Equal(time.Second))
		Expect(err).To(MatchError(ErrNoEndpoint))
		Expect(choose(now.Add(3*time.Second), query).Endpoint).To(Equal(first.Endpoint))
		Expect(balancer.Sweep(now.Add(3*time.Second), query.Endpoints)).To(Equal([]string{first.Endpoint.ID}))
	})

	// Guards against the whole load of an endpoint that returns at the moment at which its pause ends.
	It("gets its load back by steps", func() {
		paused, busy := plainEndpoint("a", 1), plainEndpoint("b", 1)
		flight := choose(now, plainQuery(paused))
		flight.RecordPause(now, time.Second)
		flight.Done(now, Shed)
		for range 40 {
			choose(now, plainQuery(busy))
		}
		returned := 0
		var counts []int
		for at := time.Second; at < 1500*time.Millisecond; at += 100 * time.Millisecond {
			for range 10 {
				if choose(now.Add(at), plainQuery(paused, busy)).Endpoint.ID == "a" {
					returned++
				}
			}
			counts = append(counts, returned)
		}
		Expect(counts).To(Equal([]int{1, 2, 4, 8, 16}))
	})

	// Guards against further attempts at an endpoint whose process has ended, until its entry expires.
	It("is avoided for a while after its host refused a connection", func() {
		query := plainQuery(plainEndpoint("a", 1), plainEndpoint("b", 1))
		flight := choose(now, query)
		Expect(flight.RecordCrash(now)).To(BeTrue())
		flight.Done(now, Failed)
		for range 20 {
			Expect(choose(now.Add(time.Second), query).Endpoint).NotTo(Equal(flight.Endpoint))
		}
	})
})

// Guards against a request to an endpoint that has left or pauses, and against an endpoint that is avoided longer than it
// asked for, under random answers, restarts and times.
func TestAvoidanceMatchesWhatEndpointsAskFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type asked struct {
			left        bool
			pausedUntil time.Time
		}
		const endpoints = 3
		balancer := NewBalancer(Config{}, enginemodel.NewLearner())
		now := time.Unix(1000, 0)
		starts, model := make([]int64, endpoints), make([]asked, endpoints)
		query := func() Query {
			var all []*deployment.Endpoint
			for i := range endpoints {
				all = append(all, plainEndpoint(fmt.Sprint(i), starts[i]))
			}
			return plainQuery(all...)
		}
		index := func(flight *InFlight) int { return int(flight.Endpoint.ID[0] - '0') }
		var inFlight []*InFlight
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				i := rapid.IntRange(0, endpoints-1).Draw(t, "restarted")
				starts[i]++
				model[i] = asked{}
			case 1, 2, 3:
				flight, err := balancer.Choose(now, query())
				usable := 0
				for _, m := range model {
					if !m.left && !now.Before(m.pausedUntil) {
						usable++
					}
				}
				if (err == nil) != (usable > 0) {
					t.Fatalf("%d usable endpoints, error %v", usable, err)
				}
				if err != nil {
					continue
				}
				if m := model[index(flight)]; m.left || now.Before(m.pausedUntil) {
					t.Fatalf("request to endpoint %s, which asked for %+v", flight.Endpoint.ID, m)
				}
				inFlight = append(inFlight, flight)
			default:
				if len(inFlight) == 0 {
					continue
				}
				flight := inFlight[0]
				inFlight = inFlight[1:]
				i := index(flight)
				sameProcess := flight.Endpoint.StartedAtMs == starts[i]
				if rapid.Bool().Draw(t, "pauses") {
					pause := time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause ms")) * time.Millisecond
					flight.RecordPause(now, pause)
					if until := now.Add(pause); sameProcess && until.After(model[i].pausedUntil) {
						model[i].pausedUntil = until
					}
				} else if rapid.IntRange(0, 4).Draw(t, "leaves") == 0 {
					flight.RecordLeaving()
					model[i].left = model[i].left || sameProcess
				}
				flight.Done(now, Shed)
			}
			balancer.Sweep(now, query().Endpoints)
		}
	})
}
