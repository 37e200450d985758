package dispatch

import (
	"time"

	"knapweedhoist/internal/defaults"
)

// Config holds the weights of the endpoint cost function. Zero fields take their defaults.
type Config struct {
	// DataCentre is the data centre of this instance.
	DataCentre string
	// RepeatedPrefillWeight multiplies the prefill time of a shared prefix at an engine that is not the preferred one for
	// it, because the extra prefill also delays the requests that run on this engine. Default 5.
	RepeatedPrefillWeight float64
	// CrossDataCentreCost is added to the cost of an endpoint in another data centre. Default 8 ms: three network round
	// trips and the price of the bytes between data centres.
	CrossDataCentreCost time.Duration
	// RunningRequestCost is the delay that each running request of an engine adds to the time to first token of a new one.
	// Default 0.4 ms: its share of a batch step, summed over the prefill chunks of a long prompt.
	RunningRequestCost time.Duration
	// CacheTTL is how long a prefix is expected to stay in an engine's cache after its last use. Default 20 s.
	CacheTTL time.Duration
	// FailurePenalty is added to the cost of an endpoint after a failure and doubles with each consecutive failure, up
	// to maxFailureDoublings times. Default 400 ms.
	FailurePenalty time.Duration
	// FailureTTL is how long FailurePenalty applies after the latest failure. It doubles in the same way. Default 2 s.
	FailureTTL time.Duration
}

// maxFailureDoublings bounds the doubling of FailurePenalty and FailureTTL: three doublings give 3.2 s and 16 s.
const maxFailureDoublings = 3

func (c Config) withDefaults() Config {
	defaults.Set(&c.RepeatedPrefillWeight, 5)
	defaults.Set(&c.CrossDataCentreCost, 8*time.Millisecond)
	defaults.Set(&c.RunningRequestCost, 400*time.Microsecond)
	defaults.Set(&c.CacheTTL, 20*time.Second)
	defaults.Set(&c.FailurePenalty, 400*time.Millisecond)
	defaults.Set(&c.FailureTTL, 2*time.Second)
	return c
}
