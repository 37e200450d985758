package sizing

import (
	"math"
	"time"
)

// Averages holds the moving average of a number for each service, with the time constant averagingTime. It is not safe
// for concurrent use.
type Averages map[string]*average

type average struct {
	value      float64
	observedAt time.Time
}

// Observe updates the averages with the current numbers and returns them.
func (a Averages) Observe(now time.Time, current map[string]int) map[string]float64 {
	averages := make(map[string]float64, len(current))
	for service, n := range current {
		known := a[service]
		if known == nil {
			known = &average{observedAt: now}
			a[service] = known
		}
		elapsed := max(now.Sub(known.observedAt).Seconds(), 0)
		known.value += (1 - math.Exp(-elapsed/averagingTime.Seconds())) * (float64(n) - known.value)
		known.observedAt = now
		averages[service] = known.value
	}
	return averages
}
