package routing

import (
	"math"
	"sync/atomic"
	"time"
)

// average is an exponentially weighted average that forgets: without new
// values it decays towards zero. Updates that lose a race are dropped, which
// loses one observation and never blocks a traffic goroutine.
type average struct {
	bits atomic.Uint64
	at   atomic.Int64
}

const (
	// averageWeight is the weight of a new value. Eight slow values suffice to detect a straggler.
	averageWeight = 0.25
	// averageHalfLife is how quickly an unobserved average decays, so that a former straggler is tried again.
	averageHalfLife = 2 * time.Second
)

// add merges one observed value.
func (a *average) add(now time.Time, value float64) {
	a.merge(now, value, averageWeight)
}

// merge merges one observed value with the given weight.
func (a *average) merge(now time.Time, value, weight float64) {
	old := a.bits.Load()
	mean := math.Float64frombits(old)
	if mean == 0 {
		mean = value
	}
	mean += weight * (value - mean)
	if a.bits.CompareAndSwap(old, math.Float64bits(mean)) {
		a.at.Store(now.UnixNano())
	}
}

// read returns the average, decayed by its age.
func (a *average) read(nowNs int64) float64 {
	mean := math.Float64frombits(a.bits.Load())
	if mean == 0 {
		return 0
	}
	age := nowNs - a.at.Load()
	if age < int64(averageHalfLife)/4 {
		return mean
	}
	return mean * math.Exp2(-float64(age)/float64(averageHalfLife))
}

// mean returns the average without decay.
func (a *average) mean() float64 {
	return math.Float64frombits(a.bits.Load())
}
