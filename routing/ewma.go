package routing

import (
	"math"
	"sync/atomic"
	"time"
)

// ewma is an exponentially weighted moving average of values that are not negative. A mean of 0 counts as no value yet:
// the next value replaces it. Without new values, decayed falls towards zero.
// An update that loses a race with another one is dropped: one observation is lost, and a traffic goroutine never
// blocks.
type ewma struct {
	meanBits  atomic.Uint64 // the mean as IEEE 754 bits; 0 before the first value above 0
	updatedAt atomic.Int64  // time of the last update in ns since the epoch
}

const (
	// ewmaWeight is the weight of a new value. Eight slow values suffice to detect a straggler.
	ewmaWeight = 0.25
	// ewmaHalfLife is the half-life of an average without updates, so that a former straggler is tried again.
	ewmaHalfLife = 2 * time.Second
)

// add merges one observed value with the weight ewmaWeight.
func (e *ewma) add(now time.Time, value float64) {
	e.addWeighted(now, value, ewmaWeight)
}

// addWeighted merges one observed value with the given weight, between 0 and 1.
func (e *ewma) addWeighted(now time.Time, value, weight float64) {
	old := e.meanBits.Load()
	mean := math.Float64frombits(old)
	if mean == 0 {
		mean = value
	}
	mean += weight * (value - mean)
	if e.meanBits.CompareAndSwap(old, math.Float64bits(mean)) {
		e.updatedAt.Store(now.UnixNano())
	}
}

// decayed returns the mean, decayed by the time since the last update. The mean does not decay during the first quarter
// of ewmaHalfLife.
func (e *ewma) decayed(nowNs int64) float64 {
	mean := math.Float64frombits(e.meanBits.Load())
	if mean == 0 {
		return 0
	}
	age := nowNs - e.updatedAt.Load()
	if age < int64(ewmaHalfLife)/4 {
		return mean
	}
	return mean * math.Exp2(-float64(age)/float64(ewmaHalfLife))
}

// mean returns the mean without decay.
func (e *ewma) mean() float64 {
	return math.Float64frombits(e.meanBits.Load())
}
