// Package walltime estimates the true time of day from the clocks of all entry
// instances: the median of their offsets, so that clocks that jump on a minority
// of the machines have no effect.
//
// The package has no clock. Estimator is safe for concurrent use.
package walltime

import (
	"slices"
	"sync"
	"time"
)

// memory is how long another instance's clock counts after its last report.
const memory = 5 * time.Second

// Estimator knows the offsets of the instances' clocks.
type Estimator struct {
	self string

	mu      sync.Mutex
	offsets map[string]sample
}

// sample is the difference between a wall clock and the decision clock.
type sample struct {
	offset time.Duration
	at     time.Time
}

// NewEstimator returns an Estimator for the instance named self.
func NewEstimator(self string) *Estimator {
	return &Estimator{self: self, offsets: make(map[string]sample)}
}

// Observe takes in a clock reading of an instance at the time now of the decision clock.
func (e *Estimator) Observe(now time.Time, instance string, wall time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.offsets[instance] = sample{offset: wall.Sub(now), at: now}
}

// Wall returns the estimated time of day. own is this machine's reading.
func (e *Estimator) Wall(now, own time.Time) time.Time {
	e.Observe(now, e.self, own)
	e.mu.Lock()
	defer e.mu.Unlock()
	offsets := make([]time.Duration, 0, len(e.offsets))
	for instance, s := range e.offsets {
		if now.Sub(s.at) > memory {
			delete(e.offsets, instance)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	slices.Sort(offsets)
	return now.Add(offsets[(len(offsets)-1)/2])
}
