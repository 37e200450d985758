package dispatch

import (
	"errors"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/deployment"
	"knapweedhoist/endpointlimit"
	"knapweedhoist/enginemodel"
)

var _ = Describe("An endpoint that names a rate limit", func() {
	start := time.Unix(1000, 0)
	service := &deployment.Service{Name: "service"}
	newQuery := func(endpoints ...string) Query {
		query := Query{Service: service, Endpoints: make(map[string]*deployment.Endpoint), Objective: 100 * time.Millisecond, Remaining: time.Second}
		for _, id := range endpoints {
			query.Endpoints[id] = &deployment.Endpoint{ID: id, Service: "service", Slots: 8}
		}
		return query
	}
	// state makes the endpoint state a limit.
	state := func(b *Balancer, query Query, id string, perSecond float32) {
		flight := &InFlight{Endpoint: query.Endpoints[id], balancer: b}
		flight.RecordRateLimit(start, endpointlimit.Statement{Kind: endpointlimit.Named, PerSecond: perSecond})
	}

	// Guards against requests above the limit while other endpoints could serve them, and against requests that are refused then.
	It("gets requests within the limit, and another one gets the rest", func() {
		b, query := NewBalancer(Config{DataCentre: "near"}, enginemodel.NewLearner()), newQuery("limited", "other")
		query.Endpoints["limited"].DataCentre, query.Endpoints["other"].DataCentre = "near", "far"
		state(b, query, "limited", 2)
		var sent []time.Time
		for i := range 800 {
			now := start.Add(time.Duration(i) * 20 * time.Millisecond)
			query.Seed = SeedOf(fmt.Sprint(i), 0)
			flight, err := b.Choose(now, query)
			Expect(err).NotTo(HaveOccurred())
			if flight.Endpoint.ID == "limited" {
				sent = append(sent, now)
			}
			flight.Done(now, Withdrawn)
		}
		Expect(mostWithin(sent, 4*time.Second)).To(BeNumerically("<=", 4*2*3/2+5))
		Expect(len(sent)).To(BeNumerically(">=", 16*2*7/10))
	})

	// Guards against requests above a limit that fell while they waited for their turns.
	It("gets waiting requests at the new pace after its limit has fallen", func() {
		b, query := NewBalancer(Config{}, enginemodel.NewLearner()), newQuery("limited")
		query.Objective, query.Remaining = 5*time.Second, 10*time.Second
		state(b, query, "limited", 10)
		var waiting []*InFlight
		for {
			flight, err := b.Choose(start, query)
			if err != nil {
				break
			}
			waiting = append(waiting, flight)
		}
		Expect(len(waiting)).To(BeNumerically(">", 40))
		fall := start.Add(10 * time.Millisecond)
		(&InFlight{Endpoint: query.Endpoints["limited"], balancer: b}).RecordRateLimit(
			fall, endpointlimit.Statement{Kind: endpointlimit.Named, PerSecond: 1})
		var sent []time.Time
		for _, flight := range waiting {
			due := start.Add(flight.Wait)
			if due.After(fall) {
				due = due.Add(flight.RetakeTurn(due))
			}
			sent = append(sent, due)
		}
		slices.SortFunc(sent, time.Time.Compare)
		Expect(mostWithin(sent, 4*time.Second)).To(BeNumerically("<=", 4*1*3/2+5))
	})

	// Guards against requests that wait although they will be late, and against a refusal that names no time or a wrong one.
	It("gets a request after a wait within its objective if no other is left; a later one is refused with the time", func() {
		b, query := NewBalancer(Config{}, enginemodel.NewLearner()), newQuery("limited")
		state(b, query, "limited", 10)
		now := start
		for b.Limits().Wait(now, processKey(query.Endpoints["limited"])) < 20*time.Millisecond {
			now = now.Add(time.Millisecond)
		}
		query.Objective = 500 * time.Millisecond
		first, err := b.Choose(now, query)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Wait).To(BeNumerically(">", 0))
		Expect(first.Usable(now, query.Endpoints)).To(BeTrue())
		second, err := b.Choose(now, query)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Wait).To(BeNumerically("~", first.Wait+105*time.Millisecond, 5*time.Millisecond))

		lowRank := query
		lowRank.Rank = 2
		_, err = b.Choose(now, lowRank)
		var limited *RateLimitedError
		Expect(errors.As(err, &limited)).To(BeTrue())
		Expect(limited.Wait).To(BeNumerically("~", second.Wait+105*time.Millisecond, 5*time.Millisecond))
		third, err := b.Choose(now, query)
		Expect(err).NotTo(HaveOccurred())
		Expect(third.Wait).To(Equal(limited.Wait))
	})

	// Guards against a request that is sent after its wait to an endpoint that has left, restarted or begun to leave meanwhile.
	It("is not usable after the wait if it is gone, restarted or leaving", func() {
		b, query := NewBalancer(Config{}, enginemodel.NewLearner()), newQuery("limited")
		flight, err := b.Choose(start, query)
		Expect(err).NotTo(HaveOccurred())
		Expect(flight.Usable(start, query.Endpoints)).To(BeTrue())
		for _, listed := range []map[string]*deployment.Endpoint{
			{},
			{"limited": {ID: "limited", Service: "service", StartedAtMs: 1}},
			{"limited": {ID: "limited", Service: "service", Leaving: true}},
		} {
			Expect(flight.Usable(start, listed)).To(BeFalse())
		}
	})

	// Guards against a limit that ends with an answer to a request which was sent before the limit was stated.
	It("keeps its limit after the answer to an earlier request", func() {
		b, query := NewBalancer(Config{}, enginemodel.NewLearner()), newQuery("limited")
		earlier, err := b.Choose(start.Add(-time.Second), query)
		Expect(err).NotTo(HaveOccurred())
		state(b, query, "limited", 2)
		earlier.RecordRateLimit(start.Add(time.Second), endpointlimit.Statement{Kind: endpointlimit.Absent})
		Expect(b.Limits().InForce()).To(Equal(1))
		later, err := b.Choose(start.Add(10*time.Second), query)
		Expect(err).NotTo(HaveOccurred())
		later.RecordRateLimit(start.Add(11*time.Second), endpointlimit.Statement{Kind: endpointlimit.Absent})
		Expect(b.Limits().InForce()).To(BeZero())
	})

	// Guards against a limit that is applied to the next process of the endpoint.
	It("has no limit after a restart", func() {
		b, query := NewBalancer(Config{}, enginemodel.NewLearner()), newQuery("limited")
		state(b, query, "limited", 0)
		_, err := b.Choose(start, query)
		Expect(err).To(MatchError(ErrNoEndpoint))
		query.Endpoints["limited"].StartedAtMs = 1
		_, err = b.Choose(start, query)
		Expect(err).NotTo(HaveOccurred())
	})
})

// mostWithin returns the largest number of times in a window of the given length.
func mostWithin(times []time.Time, length time.Duration) int {
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= length {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
