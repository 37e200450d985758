package capacity

import "time"

// Config holds the parameters of the planner.
type Config struct {
	// MinLifetime is how long an instance runs before it may be drained. Default 10 min.
	MinLifetime time.Duration
	// RefusalBackoff is how long no order starts an instance of an offer after the cloud refused one. Default 2 min.
	RefusalBackoff time.Duration
	// DrainTimeout is how long an instance drains before it is stopped although it is not idle; other instances resume
	// its work. Default 10 min.
	DrainTimeout time.Duration
	// MaxStarts and MaxDrains bound the start and drain orders for one service in one plan. Defaults 8 and 1.
	MaxStarts int
	MaxDrains int
	// ReclaimCost is the cost of a reclaim in hours of the instance's price: the start of another instance, loading and
	// recomputed tokens. Default 0.1.
	ReclaimCost float64
	// ReplacementSaving is the smallest relative saving in unit cost for which a cheaper instance replaces another.
	// Default 0.25.
	ReplacementSaving float64
	// PlanInterval is the time between plans. It bounds the loads of one plan: at the weight store's rate they and the
	// loads in progress take at most this long, unless there is only a single larger load. Default 10 s.
	PlanInterval time.Duration
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		MinLifetime: 10 * time.Minute, RefusalBackoff: 2 * time.Minute, DrainTimeout: 10 * time.Minute,
		MaxStarts: 8, MaxDrains: 1, ReclaimCost: 0.1, ReplacementSaving: 0.25, PlanInterval: 10 * time.Second,
	}
}

// Defaults for values that the preset does not set.
const (
	defaultReclaimablePercent = 56
	defaultSpareDatacentres   = 1
	defaultHeadroomPercent    = 20
)

// valueOr returns the preset's value, or the fallback if the value is nil.
func valueOr(value *int, fallback int) int {
	if value == nil {
		return fallback
	}
	return *value
}
