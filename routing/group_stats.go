package routing

import "time"

// groupStats holds the averages over all endpoints of one group, as this instance observes them.
type groupStats struct {
	// interTokenNs is the time between tokens in ns.
	interTokenNs ewma
	// longRatio is the ratio of observed first-token times of long work to the predictions without longCorrection. It
	// corrects predictions for effects that the profile does not model: prefill in the same batch, short work that runs
	// first, KV memory.
	longRatio ewma
}

const (
	// longRatioWeight is the weight of one first token in longRatio.
	longRatioWeight = 1.0 / 16
	// maxCorrection bounds the factor that longCorrection returns.
	maxCorrection = 4
)

// longCorrection returns the factor for the predicted first-token time of long work, from 1 to maxCorrection.
func (g *groupStats) longCorrection() float64 {
	return max(1, min(g.longRatio.mean(), maxCorrection))
}

// addLongRatio merges the ratio of one observed first-token time to its prediction without longCorrection.
func (g *groupStats) addLongRatio(now time.Time, ratio float64) {
	g.longRatio.addWeighted(now, ratio, longRatioWeight)
}
