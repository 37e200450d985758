package routing_test

import (
	"flag"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"knapweedhoist/engine"
	"knapweedhoist/invariant"
	"knapweedhoist/routing"
)

// init gives the property tests a fixed seed; -rapid.seed on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// endpointsInSixDatacentres returns n endpoints of one model, spread over the data centres dc0 to dc5.
func endpointsInSixDatacentres(n int) []routing.Endpoint {
	list := make([]routing.Endpoint, n)
	for i := range list {
		list[i] = routing.Endpoint{
			ID: fmt.Sprintf("e%d", i), Service: "model", Models: []string{"m"}, Datacentre: fmt.Sprintf("dc%d", i%6),
		}
	}
	return list
}

// violationCounter is an invariant.Checker that counts violations.
type violationCounter struct{ n atomic.Int64 }

func (v *violationCounter) Violated(invariant.Violation) { v.n.Add(1) }

// localEndpoints returns n endpoints in the instance's own data centre, so that distance does not affect the choice.
func localEndpoints(n int) []routing.Endpoint {
	list := endpointsInSixDatacentres(n)
	for i := range list {
		list[i].Datacentre = "dc0"
	}
	return list
}

// newTable returns a table for an instance in dc0, with a fixed seed.
func newTable(endpoints []routing.Endpoint) *routing.Table {
	t := routing.NewTable(routing.DefaultConfig("dc0"), &violationCounter{}, rand.New(rand.NewSource(1)))
	t.SetEndpoints(start, endpoints)
	return t
}

var shortWork = routing.Work{Service: "model", Model: "m", PromptTokens: 100, DecodeTokens: 40, Short: true}

var _ = Describe("Table", func() {
	It("guards against the choice of a leaving endpoint or of one that serves another service or model", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			table := routing.NewTable(routing.DefaultConfig("dc0"), &violationCounter{}, rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))))
			left := map[string]bool{}
			now := start
			var list []routing.Endpoint
			t.Repeat(map[string]func(*rapid.T){
				"list": func(t *rapid.T) {
					list = nil
					for i := range rapid.IntRange(0, 40).Draw(t, "n") {
						list = append(list, routing.Endpoint{
							ID:         fmt.Sprintf("e%d", i),
							Service:    fmt.Sprintf("s%d", i%2),
							Models:     []string{fmt.Sprintf("m%d", i%3)},
							Datacentre: fmt.Sprintf("dc%d", i%4),
							Leaving:    rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
						})
						left[list[i].ID] = left[list[i].ID] || list[i].Leaving
					}
					table.SetEndpoints(now, list)
				},
				"leave": func(t *rapid.T) {
					id := fmt.Sprintf("e%d", rapid.IntRange(0, 40).Draw(t, "id"))
					left[id] = true
					table.MarkLeaving(now, id)
				},
				"report": func(t *rapid.T) {
					id := fmt.Sprintf("e%d", rapid.IntRange(0, 40).Draw(t, "id"))
					r := engine.LoadReport{AtMs: now.UnixMilli(), Running: rapid.IntRange(0, 50).Draw(t, "running")}
					r.Leaving = r.Running == 50
					listed := false
					for _, e := range list {
						listed = listed || e.ID == id
					}
					left[id] = left[id] || r.Leaving && listed
					table.ApplyLoadReport(now, id, r)
				},
				"choose": func(t *rapid.T) {
					now = now.Add(time.Millisecond)
					w := routing.Work{
						Service: rapid.SampledFrom([]string{"s0", "s1"}).Draw(t, "service"),
						Model:   rapid.SampledFrom([]string{"m0", "m1", "m2"}).Draw(t, "model"),
						Short:   rapid.Bool().Draw(t, "short"), DecodeTokens: 10, PromptTokens: 10,
					}
					live := 0
					for _, e := range list {
						if e.Service == w.Service && e.Models[0] == w.Model && !left[e.ID] {
							live++
						}
					}
					choice, err := table.Choose(now, w)
					if (err == nil) != (live > 0) {
						t.Fatalf("%d live endpoints, but Choose returned error %v", live, err)
					}
					if err != nil {
						return
					}
					e := choice.Endpoint
					if left[e.ID] || e.Service != w.Service || e.Models[0] != w.Model {
						t.Fatalf("chosen endpoint is leaving or serves another service or model: %+v", e)
					}
					attempt := table.RecordSent(now, choice, w)
					table.RecordFirstToken(now, &attempt)
					table.RecordToken(now, &attempt)
					table.RecordFinished(now, &attempt)
				},
			})
		})
	})

	// e0 becomes slow after call 200 and must get no work after call 260; the table gets no load report.
	It("guards against a straggler that gets work until a load report shows that it is slow", func() {
		table := newTable(localEndpoints(6))
		now := start
		for i := range 400 {
			choice, err := table.Choose(now, shortWork)
			Expect(err).NotTo(HaveOccurred())
			attempt := table.RecordSent(now, choice, shortWork)
			interToken := 10 * time.Millisecond
			if choice.Endpoint.ID == "e0" && i > 200 {
				interToken = 80 * time.Millisecond
			}
			table.RecordFirstToken(now.Add(interToken), &attempt)
			for k := range 10 {
				table.RecordToken(now.Add(time.Duration(k+2)*interToken), &attempt)
			}
			table.RecordFinished(now.Add(12*interToken), &attempt)
			now = now.Add(20 * time.Millisecond)
			if i > 260 {
				Expect(choice.Endpoint.ID).NotTo(Equal("e0"), "at call %d", i)
			}
		}
	})

	It("guards against an unreported violation when work is sent to an endpoint more than LeaveGrace after it was marked as leaving", func() {
		counter := &violationCounter{}
		table := routing.NewTable(routing.DefaultConfig("dc0"), counter, rand.New(rand.NewSource(1)))
		table.SetEndpoints(start, localEndpoints(3))
		choice, err := table.Choose(start, shortWork)
		Expect(err).NotTo(HaveOccurred())
		table.MarkLeaving(start, choice.Endpoint.ID)
		table.RecordSent(start.Add(routing.LeaveGrace), choice, shortWork)
		Expect(counter.n.Load()).To(BeZero())
		table.RecordSent(start.Add(routing.LeaveGrace+1), choice, shortWork)
		Expect(counter.n.Load()).To(Equal(int64(1)))
	})

	It("guards against counting own work twice when a late load report includes it", func() {
		table := newTable(localEndpoints(3))
		longWork := routing.Work{Service: "model", Model: "m", PromptTokens: 20000, DecodeTokens: 2000}
		first, err := table.Choose(start, longWork)
		Expect(err).NotTo(HaveOccurred())
		attempt := table.RecordSent(start, first, longWork)
		second, err := table.Choose(start.Add(time.Second), longWork)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Endpoint.ID).NotTo(Equal(first.Endpoint.ID))
		predictedBefore := second.TimeToFirstToken
		report := engine.LoadReport{AtMs: start.Add(time.Second).UnixMilli(), Running: 1, PrefillTokens: 20000, DecodeTokens: 2000}
		table.ApplyLoadReport(start.Add(2*time.Second), first.Endpoint.ID, report)
		table.RecordFinished(start.Add(2*time.Second), &attempt)
		chosenAfter, err := table.Choose(start.Add(2*time.Second), longWork)
		Expect(err).NotTo(HaveOccurred())
		Expect(chosenAfter.TimeToFirstToken).To(Equal(predictedBefore))
	})

	It("guards against data races between traffic goroutines and the goroutine that applies lists, reports and events", func() {
		table := newTable(endpointsInSixDatacentres(20))
		var traffic sync.WaitGroup
		for g := range 8 {
			traffic.Go(func() {
				now := start
				for i := range 300 {
					now = now.Add(time.Millisecond)
					w := shortWork
					w.Prefixes = []routing.Prefix{{Hash: uint64(g*i + 1), Tokens: 50}}
					choice, err := table.Choose(now, w)
					if err != nil {
						continue
					}
					attempt := table.RecordSent(now, choice, w)
					table.RecordFirstToken(now, &attempt)
					table.RecordToken(now, &attempt)
					table.RecordFinished(now, &attempt)
				}
			})
		}
		for i := range 100 {
			table.ApplyLoadReport(start, "e1", engine.LoadReport{AtMs: start.UnixMilli() + int64(i), Running: i})
			table.ApplyCacheEvent("e2", engine.CacheEvent{Sequence: uint64(i * 2), Prefix: uint64(i), Tokens: 50})
			table.SetEndpoints(start, endpointsInSixDatacentres(20))
		}
		traffic.Wait()
	})
})

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 107, 640} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			// Low distances, so that a decision compares endpoints of every data centre.
			cfg := routing.DefaultConfig("dc0")
			cfg.Distance = map[string]time.Duration{}
			for i := range 6 {
				cfg.Distance[fmt.Sprintf("dc%d", i)] = time.Millisecond
			}
			table := routing.NewTable(cfg, &violationCounter{}, rand.New(rand.NewSource(1)))
			table.SetEndpoints(start, endpointsInSixDatacentres(n))
			for i := range n {
				table.ApplyLoadReport(start, fmt.Sprintf("e%d", i), engine.LoadReport{AtMs: start.UnixMilli(), Running: i % 7, DecodeTokens: 500})
			}
			w := shortWork
			w.Prefixes = []routing.Prefix{{Hash: 1, Tokens: 50}}
			table.ApplyCacheEvent("e1", engine.CacheEvent{Sequence: 1, Prefix: 1, Tokens: 50})
			b.ReportAllocs()
			for b.Loop() {
				if _, err := table.Choose(start, w); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkChooseParallel(b *testing.B) {
	table := newTable(endpointsInSixDatacentres(107))
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			choice, _ := table.Choose(start, shortWork)
			attempt := table.RecordSent(start, choice, shortWork)
			table.RecordFinished(start, &attempt)
		}
	})
}
