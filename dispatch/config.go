package dispatch

import (
	"time"

	"knapweedhoist/internal/defaults"
)

// Config has the weights of the choice. The zero value stands for the defaults.
type Config struct {
	// DataCentre is this instance's.
	DataCentre string
	// PrefillRate is the number of prompt tokens that an engine reads in a
	// millisecond while it has no answers of its own to give. Default 110, the
	// slower engine of the two first deployments.
	PrefillRate float64
	// RereadWeight multiplies the time to read a prefix that another engine has cached: the reading also delays
	// the requests that run there. Default 3.
	RereadWeight float64
	// DistanceCost is added to an endpoint in another data centre. Default 8 ms: three network exchanges and the
	// price of the bytes between data centres.
	DistanceCost time.Duration
	// RunCost is what one running request adds to the others' time to the first token, in an engine. Default 0.4 ms:
	// its share of a batch step, over the chunks of a long prompt.
	RunCost time.Duration
	// PlainWork is the time of one request of a plain service. Default 20 ms.
	PlainWork time.Duration
	// CacheMemory is how long a prefix is expected in the cache of an engine after its last use. Default 20 s.
	CacheMemory time.Duration
	// FailurePenalty is added for an endpoint that failed lately, doubled for each further failure. Default 400 ms.
	FailurePenalty time.Duration
	// FailureMemory is the time after which the newest failure is forgotten. Default 2 s, doubled for each further one.
	FailureMemory time.Duration
}

// maxFailureSteps bounds the doubling of FailurePenalty and FailureMemory: three doublings are 3.2 s and 16 s.
const maxFailureSteps = 3

func (c Config) withDefaults() Config {
	defaults.Set(&c.PrefillRate, 110)
	defaults.Set(&c.RereadWeight, 3)
	defaults.Set(&c.DistanceCost, 8*time.Millisecond)
	defaults.Set(&c.RunCost, 400*time.Microsecond)
	defaults.Set(&c.PlainWork, 20*time.Millisecond)
	defaults.Set(&c.CacheMemory, 20*time.Second)
	defaults.Set(&c.FailurePenalty, 400*time.Millisecond)
	defaults.Set(&c.FailureMemory, 2*time.Second)
	return c
}
