package sizing

import (
	"time"

	"knapweedhoist/internal/defaults"
)

// Config configures a Planner. A field that is not above 0 takes its default.
type Config struct {
	// TargetLoad is the prefill work per endpoint, as a share of what it can prefill, that the number of reclaimable
	// endpoints is planned for, or that of on-demand endpoints for a service without reclaimable ones. Default 0.5: prompts
	// that meet at one endpoint delay each other's first tokens, and ordered endpoints start seconds later.
	TargetLoad float64
	// TargetOccupancy is the share of the endpoints' slots that requests in progress may take up at TargetLoad. Default 0.6.
	TargetOccupancy float64
	// OnDemandLoad is the load per endpoint that determines how many on-demand endpoints are kept whatever the number of
	// reclaimable ones: so many that they carry the whole rate at this load. Default 2.6: until the endpoints ordered at a
	// reclaim have started, they carry only the most urgent work.
	OnDemandLoad float64
	// DegradedLoad is the load per endpoint up to which on-demand endpoints do not replace missing reclaimable ones. Default
	// 1.1.
	DegradedLoad float64
	// ReclaimWaveDuration is how long after a reclaim further reclaims are expected. Default 12 s: reclaims come in waves.
	ReclaimWaveDuration time.Duration
	// ReclaimWaveRemainingShare is the share of the ready reclaimable endpoints that are expected to remain during
	// ReclaimWaveDuration. Default 0.4.
	ReclaimWaveRemainingShare float64
	// ScaleDownDelay is how long a smaller number must suffice before the number is reduced. Default 6 s: longer than
	// an endpoint takes to start.
	ScaleDownDelay time.Duration
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.TargetLoad, 0.5)
	defaults.Set(&c.TargetOccupancy, 0.6)
	defaults.Set(&c.OnDemandLoad, 2.6)
	defaults.Set(&c.DegradedLoad, 1.1)
	defaults.Set(&c.ReclaimWaveDuration, 12*time.Second)
	defaults.Set(&c.ReclaimWaveRemainingShare, 0.4)
	defaults.Set(&c.ScaleDownDelay, 6*time.Second)
	return c
}
