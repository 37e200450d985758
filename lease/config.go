package lease

import (
	"time"

	"knapweedhoist/invariant"
	"knapweedhoist/timeline"
)

// Defaults of Config.
const (
	DefaultDuration         = 10 * time.Second
	DefaultMargin           = 2 * time.Second
	DefaultMaxOrderDuration = 5 * time.Second
)

// Config configures the Keeper of one duty at one instance.
type Config struct {
	// Duty is the name of the lease, which is stored in the object lease/{Duty}.
	Duty string
	// Holder is the id of this instance; Incarnation identifies its current start and is different at every start.
	Holder      string
	Incarnation string
	// Duration is how long the lease is valid after a write. Default 10 s; at least 3 times Margin.
	Duration time.Duration
	// Margin covers differences between clock rates and the time between a Permit and its order. Default 2 s.
	Margin time.Duration
	// MaxOrderDuration bounds how long an order can be in flight. Default 5 s.
	MaxOrderDuration time.Duration
	// Recorder receives the changes of the lease. Default timeline.Discard.
	Recorder timeline.Recorder
	// Checker receives violations of the invariants; nil disables the checks.
	Checker invariant.Checker
}

func (c Config) withDefaults() Config {
	if c.Duration == 0 {
		c.Duration = DefaultDuration
	}
	if c.Margin == 0 {
		c.Margin = DefaultMargin
	}
	if c.MaxOrderDuration == 0 {
		c.MaxOrderDuration = DefaultMaxOrderDuration
	}
	if c.Recorder == nil {
		c.Recorder = timeline.Discard
	}
	return c
}
