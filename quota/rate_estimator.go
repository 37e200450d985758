package quota

import (
	"math"
	"time"
)

// rateEstimator estimates a rate per second from a sum that decays exponentially.
type rateEstimator struct {
	sum       float64
	updatedAt time.Time
}

// rateTimeConstant is the time constant of the exponential decay.
const rateTimeConstant = 10 * time.Second

func (e *rateEstimator) add(now time.Time, n float64) {
	e.sum = e.decayed(now) + n
	e.updatedAt = now
}

// decayed returns the sum at now.
func (e *rateEstimator) decayed(now time.Time) float64 {
	return e.sum * math.Exp(-max(0, now.Sub(e.updatedAt).Seconds())/rateTimeConstant.Seconds())
}

func (e *rateEstimator) rate(now time.Time) float64 {
	return e.decayed(now) / rateTimeConstant.Seconds()
}
