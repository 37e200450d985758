package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/deployment"
	"knapweedhoist/endpointlimit"
	"knapweedhoist/enginemodel"
	"knapweedhoist/testutil"
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
	state := func(b *Balancer, query Query, id string, perSecond float64) {
		flight := &InFlight{Endpoint: query.Endpoints[id], balancer: b}
		flight.RecordRateLimit(start, endpointlimit.Statement{Kind: endpointlimit.Named, PerSecond: perSecond})
	}

	// Guards against requests above the limit while other endpoints could serve them, and against requests that are refused then.
	It("gets requests within the limit, and another one gets the rest", func() {
		if !testutil.RunsKnownRed() {
			Skip("listed in KNOWN-RED.txt")
		}
		b, query := NewBalancer(Config{}, enginemodel.NewLearner()), newQuery("limited", "other")
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
			flight.Done(now, Served)
		}
		Expect(mostWithin(sent, 4*time.Second)).To(BeNumerically("<=", 4*2*3/2+5))
		Expect(len(sent)).To(BeNumerically(">=", 16*2*7/10))
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
