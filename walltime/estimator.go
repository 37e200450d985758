// Package walltime estimates the true time of day from the wall clocks of all
// entry instances. It uses the median of their offsets from the decision clock
// (package clock), so that wall clocks that jump on a minority of the machines
// cannot move the estimate outside the range of the other wall clocks.
//
// The package reads no clock: callers pass the readings. Estimator is safe for
// concurrent use.
package walltime

import (
	"slices"
	"sync"
	"time"
)

// maxSampleAge is how long the last clock reading of another instance is used.
const maxSampleAge = 5 * time.Second

// Estimator holds the clock offset of each instance.
type Estimator struct {
	self string

	mu sync.Mutex // guards the fields below
	// samples holds the latest sample of each instance, by its name.
	samples map[string]offsetSample
}

// offsetSample is the offset of a wall clock from the decision clock, and the time
// of the reading on the decision clock.
type offsetSample struct {
	offset     time.Duration
	observedAt time.Time
}

// NewEstimator returns an Estimator for the instance with the name self.
func NewEstimator(self string) *Estimator {
	return &Estimator{self: self, samples: make(map[string]offsetSample)}
}

// Observe records a reading of an instance's wall clock. now is the time of the
// reading on the decision clock.
func (e *Estimator) Observe(now time.Time, instance string, wall time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.samples[instance] = offsetSample{offset: wall.Sub(now), observedAt: now}
}

// WallTime returns the estimated time of day at the time now of the decision clock.
// localWall is the current reading of this machine's wall clock.
func (e *Estimator) WallTime(now, localWall time.Time) time.Time {
	e.Observe(now, e.self, localWall)
	e.mu.Lock()
	defer e.mu.Unlock()
	offsets := make([]time.Duration, 0, len(e.samples))
	for instance, s := range e.samples {
		if now.Sub(s.observedAt) > maxSampleAge {
			delete(e.samples, instance)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	slices.Sort(offsets)
	return now.Add(offsets[(len(offsets)-1)/2])
}
