// Package walltime estimates the true time of day from the wall clocks of all
// entry instances. It uses the median of their offsets from the decision clock
// (package clock), so that wall clocks that jump on a minority of the machines
// cannot move the estimate outside the range of the other wall clocks.
//
// The package reads no clock: callers pass the readings. Estimator is safe for
// concurrent use.
package walltime

import (
	"cmp"
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

// offsetSample is the offset of a wall clock, or of an estimate, from the decision
// clock, and the time of the reading on the decision clock.
type offsetSample struct {
	offset     time.Duration
	observedAt time.Time
	// weight is the number of wall clocks that the sample stands for.
	weight int
}

// NewEstimator returns an Estimator for the instance with the name self.
func NewEstimator(self string) *Estimator {
	return &Estimator{self: self, samples: make(map[string]offsetSample)}
}

// Observe records a reading of an instance's wall clock. now is the time of the
// reading on the decision clock.
func (e *Estimator) Observe(now time.Time, instance string, wall time.Time) {
	e.ObserveEstimate(now, instance, wall, 1)
}

// ObserveEstimate records an instance's estimate of the time of day, which derives from the wall clocks of weight
// instances. An instance must not receive estimates that derive from its own.
func (e *Estimator) ObserveEstimate(now time.Time, instance string, wall time.Time, weight int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.samples[instance] = offsetSample{offset: wall.Sub(now), observedAt: now, weight: max(weight, 1)}
}

// WallTime returns the estimated time of day at the time now of the decision clock.
// localWall is the current reading of this machine's wall clock.
func (e *Estimator) WallTime(now, localWall time.Time) time.Time {
	e.Observe(now, e.self, localWall)
	e.mu.Lock()
	defer e.mu.Unlock()
	samples, total := make([]offsetSample, 0, len(e.samples)), 0
	for instance, s := range e.samples {
		if now.Sub(s.observedAt) > maxSampleAge {
			delete(e.samples, instance)
			continue
		}
		samples, total = append(samples, s), total+s.weight
	}
	return now.Add(weightedMedian(samples, total))
}

// weightedMedian returns the median offset of samples with the given total weight.
func weightedMedian(samples []offsetSample, total int) time.Duration {
	slices.SortFunc(samples, func(a, b offsetSample) int { return cmp.Compare(a.offset, b.offset) })
	remaining := (total - 1) / 2
	for _, s := range samples {
		if remaining < s.weight {
			return s.offset
		}
		remaining -= s.weight
	}
	return 0
}
