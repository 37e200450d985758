package sizing

import (
	"math"
	"time"
)

// averagingTime is the time constant of the moving average of rates. It spans several reports of each instance and is
// shorter than an endpoint takes to start.
const averagingTime = 2 * time.Second

// RateEstimator estimates rates from one instance's own running totals, as an exponentially weighted moving average. It
// is not safe for concurrent use.
//
// Instances report rates and not totals: an instance that was paused reads many
// old reports at once, and their totals would look like a burst.
type RateEstimator struct {
	services map[string]*serviceRate
}

// serviceRate is the last total of a service and its estimated rate.
type serviceRate struct {
	total      int64
	observedAt time.Time
	perSecond  float64
}

// NewRateEstimator returns a RateEstimator that has observed no service.
func NewRateEstimator() *RateEstimator {
	return &RateEstimator{services: make(map[string]*serviceRate)}
}

// Observe updates the estimates with the running totals by service and returns the rates per second. A service that is
// observed for the first time has no rate.
func (e *RateEstimator) Observe(now time.Time, totals map[string]int64) map[string]float64 {
	rates := make(map[string]float64, len(totals))
	for service, total := range totals {
		known := e.services[service]
		if known == nil {
			e.services[service] = &serviceRate{total: total, observedAt: now}
			continue
		}
		if elapsed := now.Sub(known.observedAt).Seconds(); elapsed > 0 {
			weight := 1 - math.Exp(-elapsed/averagingTime.Seconds())
			known.perSecond += weight * (float64(total-known.total)/elapsed - known.perSecond)
			known.total, known.observedAt = total, now
		}
		rates[service] = known.perSecond
	}
	return rates
}
