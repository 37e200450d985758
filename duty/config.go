package duty

import (
	"time"

	"knapweedhoist/internal/defaults"
)

// Config has the times of the duties.
type Config struct {
	// Instance is this instance's name, Incarnation is new at each start.
	Instance, Incarnation string
	// Alternation is the time within which the duties must not go from one instance to another and back. Default 3 s.
	Alternation time.Duration
	// NewDeployment tells that there is no former holder to wait for.
	NewDeployment bool
	// Reports tells that usage is reported, Orders that endpoints are ordered.
	Reports, Orders bool
	// UsageDelay is when the report of a window is due after its end. Default 10 s.
	UsageDelay time.Duration
	// ChecksFence tells that the cloud refuses orders with an old fence.
	ChecksFence bool
}

const (
	// leaseMargin covers the time from a check to its order, and clock rates.
	leaseMargin = 700 * time.Millisecond
	// longestOrder bounds how long an order can be in flight: the timeout of a call to the cloud.
	longestOrder = 1500 * time.Millisecond
	// settleTime is how long after the end of a window its counts arrive from all instances: several report
	// intervals, and the correction of clocks.
	settleTime = 1500 * time.Millisecond
	// stepInterval is the period of the duties' steps.
	stepInterval = 250 * time.Millisecond
	// leaseInterval is the period of the lease's steps.
	leaseInterval = 100 * time.Millisecond
)

func (c Config) withDefaults() Config {
	defaults.Set(&c.Alternation, 3*time.Second)
	defaults.Set(&c.UsageDelay, 10*time.Second)
	return c
}

// leaseDuration is how long the lease holds without renewal: longer than Alternation, and three renewals.
func (c Config) leaseDuration() time.Duration { return c.Alternation * 3 / 2 }

// startDelay is how long a process that has just started does not contend, so that an instance that gave the lease up
// at its stop is not the holder again within Alternation.
func (c Config) startDelay() time.Duration { return c.Alternation + time.Second }
