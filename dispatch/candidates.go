package dispatch

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"knapweedhoist/deployment"
)

// minCandidates is the smallest size of a sample of endpoints. Choosing the better of two avoids most of the imbalance of
// a random choice.
const minCandidates = 2

// candidates returns the endpoints to compare: all eligible ones or a sample, with the preferred one.
//
// Load pattern: hundreds of instances choose by loads that are hundreds of milliseconds old. In that time, arrivals x
// sample / endpoints requests go to an endpoint that looks idle to all; the sample is as large as the slots of an endpoint
// allow.
func (c *choice) candidates() []*deployment.Endpoint {
	c.preferred = c.preferredEndpoint()
	if preferred := c.query.Endpoints[c.preferred]; preferred != nil {
		c.preferredFull = preferred.Slots > 0 && c.balancer.runningAt(preferred.ID) >= preferred.Slots
	}
	eligibleEndpoints := make([]*deployment.Endpoint, 0, len(c.query.Endpoints))
	slots, running := 0, 0
	for id, endpoint := range c.query.Endpoints {
		if c.eligible(endpoint) {
			eligibleEndpoints = append(eligibleEndpoints, endpoint)
			slots = max(slots, endpoint.Slots)
			running += c.balancer.runningAt(id)
		}
	}
	n := c.sampleSize(len(eligibleEndpoints), slots, running)
	if n >= len(eligibleEndpoints) {
		return eligibleEndpoints
	}
	sample := c.sample(eligibleEndpoints, n)
	if preferred := c.query.Endpoints[c.preferred]; preferred != nil && !slices.Contains(sample, preferred) {
		sample = append(sample, preferred)
	}
	return sample
}

// sampleSize returns the number of endpoints to compare, given the number of eligible ones, their slots and the requests
// in progress there. These and their mean time at an endpoint give the rate of arrivals, also while it changes quickly.
func (c *choice) sampleSize(endpoints, slots, running int) int {
	arrivals := float64(running) * c.balancer.othersDelay.Seconds() / max(c.engine.Residence, time.Millisecond).Seconds()
	if arrivals <= 0 {
		return endpoints
	}
	return max(int(math.Ceil(float64(endpoints*slots)/arrivals)), minCandidates)
}

// sample returns the n endpoints that rank first by a hash of the query's seed.
func (c *choice) sample(endpoints []*deployment.Endpoint, n int) []*deployment.Endpoint {
	type ranked struct {
		endpoint *deployment.Endpoint
		rank     uint64
	}
	best := make([]ranked, 0, n+1)
	for _, endpoint := range endpoints {
		candidate := ranked{endpoint, xxh3.HashStringSeed(endpoint.ID, c.query.Seed)}
		if len(best) == n && candidate.rank >= best[n-1].rank {
			continue
		}
		position, _ := slices.BinarySearchFunc(best, candidate, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
		best = slices.Insert(best, position, candidate)
		best = best[:min(n, len(best))]
	}
	sample := make([]*deployment.Endpoint, len(best))
	for i, r := range best {
		sample[i] = r.endpoint
	}
	return sample
}

// SeedOf returns a Query.Seed for the ID of a request. attempt is the number of earlier attempts.
func SeedOf(id string, attempt int) uint64 {
	var buffer [8]byte
	binary.BigEndian.PutUint64(buffer[:], uint64(attempt))
	return xxh3.HashStringSeed(id, xxh3.Hash(buffer[:]))
}
