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

// The properties run with a fixed seed; -rapid.seed on the command line overrides it.
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

func fleet(n int) []routing.Endpoint {
	list := make([]routing.Endpoint, n)
	for i := range list {
		list[i] = routing.Endpoint{
			ID: fmt.Sprintf("e%d", i), Service: "model", Models: []string{"m"}, Datacentre: fmt.Sprintf("dc%d", i%6),
		}
	}
	return list
}

// violations counts violated invariants.
type violations struct{ n atomic.Int64 }

func (v *violations) Violated(invariant.Violation) { v.n.Add(1) }

// local puts all endpoints into the instance's own data centre, so that distance does not decide.
func local(n int) []routing.Endpoint {
	list := fleet(n)
	for i := range list {
		list[i].Datacentre = "dc0"
	}
	return list
}

func newTable(endpoints []routing.Endpoint) *routing.Table {
	t := routing.NewTable(routing.DefaultConfig("dc0"), &violations{}, rand.New(rand.NewSource(1)))
	t.SetEndpoints(start, endpoints)
	return t
}

var question = routing.Work{Service: "model", Model: "m", PromptTokens: 100, DecodeTokens: 40, Short: true}

var _ = Describe("Table", func() {
	It("guards against a choice of a leaving endpoint, or of one for another service or model", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			table := routing.NewTable(routing.DefaultConfig("dc0"), &violations{}, rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))))
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
					table.Leave(now, id)
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
					table.Report(now, id, r)
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
						t.Fatalf("%d live endpoints, error %v", live, err)
					}
					if err != nil {
						return
					}
					e := choice.Endpoint
					if left[e.ID] || e.Service != w.Service || e.Models[0] != w.Model {
						t.Fatalf("wrong choice %+v", e)
					}
					f := table.Sent(now, choice, w)
					table.FirstToken(now, &f)
					table.Token(now, &f)
					table.Finished(now, &f)
				},
			})
		})
	})

	It("guards against a straggler that keeps its work until its load report shows it", func() {
		table := newTable(local(6))
		now := start
		for i := range 400 {
			choice, err := table.Choose(now, question)
			Expect(err).NotTo(HaveOccurred())
			f := table.Sent(now, choice, question)
			gap := 10 * time.Millisecond
			if choice.Endpoint.ID == "e0" && i > 200 {
				gap = 80 * time.Millisecond
			}
			table.FirstToken(now.Add(gap), &f)
			for k := range 10 {
				table.Token(now.Add(time.Duration(k+2)*gap), &f)
			}
			table.Finished(now.Add(12*gap), &f)
			now = now.Add(20 * time.Millisecond)
			if i > 260 {
				Expect(choice.Endpoint.ID).NotTo(Equal("e0"), "at call %d", i)
			}
		}
	})

	It("guards against work sent long after the choice to an endpoint that left meanwhile", func() {
		found := &violations{}
		table := routing.NewTable(routing.DefaultConfig("dc0"), found, rand.New(rand.NewSource(1)))
		table.SetEndpoints(start, local(3))
		choice, err := table.Choose(start, question)
		Expect(err).NotTo(HaveOccurred())
		table.Leave(start, choice.Endpoint.ID)
		table.Sent(start.Add(routing.LeaveGrace), choice, question)
		Expect(found.n.Load()).To(BeZero())
		table.Sent(start.Add(routing.LeaveGrace+1), choice, question)
		Expect(found.n.Load()).To(Equal(int64(1)))
	})

	It("guards against own work that a late report counts twice", func() {
		table := newTable(local(3))
		draft := routing.Work{Service: "model", Model: "m", PromptTokens: 20000, DecodeTokens: 2000}
		first, err := table.Choose(start, draft)
		Expect(err).NotTo(HaveOccurred())
		f := table.Sent(start, first, draft)
		second, err := table.Choose(start.Add(time.Second), draft)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Endpoint.ID).NotTo(Equal(first.Endpoint.ID))
		before := second.FirstToken
		report := engine.LoadReport{AtMs: start.Add(time.Second).UnixMilli(), Running: 1, PrefillTokens: 20000, DecodeTokens: 2000}
		table.Report(start.Add(2*time.Second), first.Endpoint.ID, report)
		table.Finished(start.Add(2*time.Second), &f)
		after, err := table.Choose(start.Add(2*time.Second), draft)
		Expect(err).NotTo(HaveOccurred())
		Expect(after.FirstToken).To(Equal(before))
	})

	It("guards against data races between traffic goroutines and the control goroutine", func() {
		table := newTable(fleet(20))
		var group sync.WaitGroup
		for g := range 8 {
			group.Go(func() {
				now := start
				for i := range 300 {
					now = now.Add(time.Millisecond)
					w := question
					w.Prefixes = []routing.Prefix{{Hash: uint64(g*i + 1), Tokens: 50}}
					choice, err := table.Choose(now, w)
					if err != nil {
						continue
					}
					f := table.Sent(now, choice, w)
					table.FirstToken(now, &f)
					table.Token(now, &f)
					table.Finished(now, &f)
				}
			})
		}
		for i := range 100 {
			table.Report(start, "e1", engine.LoadReport{AtMs: start.UnixMilli() + int64(i), Running: i})
			table.CacheEvent("e2", engine.CacheEvent{Sequence: uint64(i * 2), Prefix: uint64(i), Tokens: 50})
			table.SetEndpoints(start, fleet(20))
		}
		group.Wait()
	})
})

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 107, 640} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			// All data centres are near, so that a decision compares endpoints of each.
			cfg := routing.DefaultConfig("dc0")
			cfg.Distance = map[string]time.Duration{}
			for i := range 6 {
				cfg.Distance[fmt.Sprintf("dc%d", i)] = time.Millisecond
			}
			table := routing.NewTable(cfg, &violations{}, rand.New(rand.NewSource(1)))
			table.SetEndpoints(start, fleet(n))
			for i := range n {
				table.Report(start, fmt.Sprintf("e%d", i), engine.LoadReport{AtMs: start.UnixMilli(), Running: i % 7, DecodeTokens: 500})
			}
			w := question
			w.Prefixes = []routing.Prefix{{Hash: 1, Tokens: 50}}
			table.CacheEvent("e1", engine.CacheEvent{Sequence: 1, Prefix: 1, Tokens: 50})
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
	table := newTable(fleet(107))
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			choice, _ := table.Choose(start, question)
			f := table.Sent(start, choice, question)
			table.Finished(start, &f)
		}
	})
}
