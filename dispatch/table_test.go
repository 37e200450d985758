package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/deployment"
)

var _ = Describe("Table", func() {
	now := time.Unix(1000, 0)
	engines := &deployment.Service{Name: "engines", Engine: &deployment.Engine{Slots: 128, KVCacheTokens: 1_000_000}}
	plain := &deployment.Service{Name: "plain"}

	fleet := func(service string, n int) map[string]*deployment.Endpoint {
		endpoints := make(map[string]*deployment.Endpoint)
		for i := range n {
			id := fmt.Sprintf("e-%d", i)
			endpoints[id] = &deployment.Endpoint{ID: id, Service: service, DataCentre: "dc", Slots: 128}
		}
		return endpoints
	}
	// query returns a request with a shared prefix of 13,300 tokens and 3,700 of its own.
	query := func(endpoints map[string]*deployment.Endpoint, shared, own uint64) Query {
		return Query{
			Service: engines, Endpoints: endpoints, Tokens: 17_000,
			Prompt: []Part{{ID: shared, Tokens: 13_300}, {ID: own, Tokens: 3_700}},
		}
	}
	choose := func(t *Table, at time.Time, q Query) *Flight {
		flight, err := t.Choose(at, q)
		Expect(err).NotTo(HaveOccurred())
		return flight
	}

	// Guards against a prefix that every instance reads at another engine.
	It("sends a shared prefix to the same engine from all instances", func() {
		endpoints := fleet("engines", 9)
		for shared := range uint64(50) {
			chosen := map[string]bool{}
			for range 7 {
				chosen[choose(NewTable(Config{DataCentre: "dc"}), now, query(endpoints, shared+1, 1)).Endpoint.ID] = true
			}
			Expect(chosen).To(HaveLen(1))
		}
	})

	// Guards against one engine that gets all of a hot prefix: hot_key on zapateo-ops.
	It("spreads a hot prefix when the work in front of it costs more than reading it again", func() {
		endpoints := fleet("engines", 9)
		table := NewTable(Config{DataCentre: "dc"})
		counts := map[string]int{}
		for i := range uint64(60) {
			counts[choose(table, now, query(endpoints, 7, 1000+i)).Endpoint.ID]++
		}
		most := 0
		for _, n := range counts {
			most = max(most, n)
		}
		Expect(len(counts)).To(BeNumerically(">=", 4))
		Expect(most).To(BeNumerically("<=", 40))
	})

	// Guards against herding: all instances see the same reports and choose the same engine.
	It("counts the work that other instances report", func() {
		endpoints := fleet("engines", 9)
		idle := choose(NewTable(Config{DataCentre: "dc"}), now, query(endpoints, 3, 1)).Endpoint.ID
		table := NewTable(Config{DataCentre: "dc"})
		table.SetPeers(map[string]Work{idle: {Endpoint: idle, Running: 60, Pending: 400_000}})
		Expect(choose(table, now, query(endpoints, 3, 1)).Endpoint.ID).NotTo(Equal(idle))
		table.SetPeers(nil)
		Expect(choose(table, now.Add(time.Minute), query(endpoints, 3, 2)).Endpoint.ID).To(Equal(idle))
	})

	// Guards against DRAIN and against a second send to a server that failed the request.
	It("leaves out endpoints that leave, that were tried and of other services", func() {
		endpoints := fleet("engines", 3)
		endpoints["e-0"].Leaving = true
		endpoints["other"] = &deployment.Endpoint{ID: "other", Service: "plain", Slots: 8}
		q := query(endpoints, 1, 2)
		q.Tried = map[string]bool{"e-1": true}
		table := NewTable(Config{})
		Expect(choose(table, now, q).Endpoint.ID).To(Equal("e-2"))
		q.Tried["e-2"] = true
		_, err := table.Choose(now, q)
		Expect(err).To(MatchError(ErrNoEndpoint))
	})

	// Guards against a server that fails at once and therefore always looks idle: srv_grey.
	It("avoids an endpoint that failed, and tries it again later", func() {
		endpoints := fleet("plain", 2)
		table := NewTable(Config{DataCentre: "dc"})
		q := Query{Service: plain, Endpoints: endpoints}
		failed := choose(table, now, q)
		failed.Done(now, Failed)
		for range 5 {
			flight := choose(table, now.Add(time.Second), q)
			Expect(flight.Endpoint.ID).NotTo(Equal(failed.Endpoint.ID))
			flight.Done(now, Served)
		}
		later := choose(table, now.Add(3*time.Second), q)
		Expect(later.Endpoint.ID).To(Equal(failed.Endpoint.ID))
	})

	// Guards against an empty service while all of its servers fail for a while.
	It("still chooses when all endpoints failed", func() {
		endpoints := fleet("plain", 2)
		table := NewTable(Config{})
		for range 4 {
			choose(table, now, Query{Service: plain, Endpoints: endpoints}).Done(now, Failed)
		}
		choose(table, now, Query{Service: plain, Endpoints: endpoints})
	})

	It("settles the work of a flight once", func() {
		endpoints := fleet("engines", 1)
		table := NewTable(Config{})
		flight := choose(table, now, query(endpoints, 1, 2))
		Expect(table.Local()).To(Equal([]Work{{Endpoint: "e-0", Running: 1, Pending: 17_000}}))
		flight.Begun()
		Expect(table.Local()).To(Equal([]Work{{Endpoint: "e-0", Running: 1}}))
		flight.Done(now, Served)
		flight.Done(now, Served)
		Expect(table.Local()).To(BeEmpty())
		Expect(table.Read()).To(Equal(map[string]int64{"engines": 17_000}))
	})
})
