package bench

import (
	"math/rand"
	"time"

	"knapweedhoist/engine"
	"knapweedhoist/routing"
)

// baseline is a simple router to compare the routing package with. name selects its algorithm.
type baseline struct {
	name      string
	rng       *rand.Rand
	endpoints []routing.Endpoint
	leaving   map[string]bool
	// outstanding holds the number of calls in progress that this router sent, by endpoint.
	outstanding map[string]int
	// rotation is the position of round robin. It starts at random so that the entry instances do not choose the same
	// endpoints at the same time.
	rotation int
}

// Names of the baselines, which are also the names of their variants.
const (
	baselineRandom           = "random"
	baselineRoundRobin       = "round_robin"
	baselineLeastOutstanding = "least_outstanding"
)

func newBaseline(name string, rng *rand.Rand) *baseline {
	return &baseline{name: name, rng: rng, leaving: map[string]bool{}, outstanding: map[string]int{}, rotation: rng.Intn(64)}
}

func (b *baseline) setEndpoints(_ time.Time, list []routing.Endpoint) { b.endpoints = list }
func (b *baseline) markLeaving(_ time.Time, id string)                { b.leaving[id] = true }

func (b *baseline) choose(_ time.Time, w routing.Work) (routing.Choice, error) {
	var candidates []*routing.Endpoint
	for i := range b.endpoints {
		e := &b.endpoints[i]
		if e.Service == w.Service && !e.Leaving && !b.leaving[e.ID] && e.ID != w.Avoid {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return routing.Choice{}, routing.ErrNoEndpoint
	}
	return routing.Choice{Endpoint: b.pick(candidates)}, nil
}

func (b *baseline) pick(candidates []*routing.Endpoint) *routing.Endpoint {
	switch b.name {
	case baselineRandom:
		return candidates[b.rng.Intn(len(candidates))]
	case baselineRoundRobin:
		b.rotation++
		return candidates[b.rotation%len(candidates)]
	}
	start := b.rng.Intn(len(candidates))
	best := candidates[start]
	for i := range candidates {
		e := candidates[(start+i)%len(candidates)]
		if b.outstanding[e.ID] < b.outstanding[best.ID] {
			best = e
		}
	}
	return best
}

func (b *baseline) recordSent(_ time.Time, c routing.Choice, _ routing.Work) *routing.Attempt {
	b.outstanding[c.Endpoint.ID]++
	return nil
}

func (b *baseline) recordFirstToken(time.Time, *routing.Attempt) {}
func (b *baseline) recordToken(time.Time, *routing.Attempt)      {}

func (b *baseline) recordFinished(_ time.Time, _ *routing.Attempt, id string) { b.outstanding[id]-- }

func (b *baseline) applyLoadReport(time.Time, string, engine.LoadReport) {}
func (b *baseline) applyCacheEvent(string, engine.CacheEvent)            {}
