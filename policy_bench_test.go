package knapweedhoist

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"knapweedhoist/backend"
	"knapweedhoist/catalog"
	"knapweedhoist/control"
	"knapweedhoist/engine"
	"knapweedhoist/membership"
	"knapweedhoist/timeline"
)

// BenchmarkChoose measures a complete routing decision: estimate, choice of the
// endpoint, timeline event and lookup of the endpoint.
func BenchmarkChoose(b *testing.B) {
	for _, endpoints := range []int{10, 107, 640} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			p := newPolicy(benchInstance())
			fleet := &membership.View{}
			for n := range endpoints {
				fleet.Endpoints = append(fleet.Endpoints, &membership.Endpoint{
					ID: fmt.Sprintf("e-%d", n), Incarnation: "01J", Service: "pool", Datacentre: "dc", Address: "127.0.0.1:1",
				})
			}
			view := &control.View{Fleet: fleet}
			p.instance.view.Store(view)
			p.update(nil, view)
			query := backend.Query{
				Service: "pool", Kind: catalog.KindPlain, Deadline: time.Now().Add(time.Minute),
				Completion: &engine.Request{Messages: []engine.Message{{Role: "user", Content: "Is the hall free?"}}},
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := p.Choose(time.Now(), query); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func benchInstance() *Instance {
	return &Instance{
		lg: slog.New(slog.DiscardHandler), ring: timeline.NewRing(timeline.NewClock(time.Now), "i", "dc", 1024),
	}
}
