package capacity

import "time"

// Config holds the parameters of the planner.
type Config struct {
	// MinLife is how long an instance runs before it may be drained. Default 10 min.
	MinLife time.Duration
	// RefusalHold is how long a refused offer is not asked for again. Default 2 min.
	RefusalHold time.Duration
	// DrainTimeout stops a draining instance that is not idle; its work is resumed elsewhere. Default 10 min.
	DrainTimeout time.Duration
	// MaxStarts and MaxDrains bound the orders of one plan and service. Defaults 8 and 1.
	MaxStarts int
	MaxDrains int
	// ReclaimCost is what a reclaim costs, in hours of the instance: start, loading and recomputed tokens. Default 0.1.
	ReclaimCost float64
	// SwapSaving is the relative saving from which an instance is replaced by a cheaper one. Default 0.25.
	SwapSaving float64
	// PlanInterval is the time between plans; loads of one plan take at most this long. Default 10 s.
	PlanInterval time.Duration
}

// DefaultConfig returns the parameters of record.
func DefaultConfig() Config {
	return Config{
		MinLife: 10 * time.Minute, RefusalHold: 2 * time.Minute, DrainTimeout: 10 * time.Minute,
		MaxStarts: 8, MaxDrains: 1, ReclaimCost: 0.1, SwapSaving: 0.25, PlanInterval: 10 * time.Second,
	}
}

// Defaults of the preset.
const (
	defaultReclaimableShare = 56
	defaultSpare            = 1
	defaultHeadroom         = 20
)

// valueOr returns the preset's value, or the default when it is not set.
func valueOr(p *int, otherwise int) int {
	if p == nil {
		return otherwise
	}
	return *p
}
