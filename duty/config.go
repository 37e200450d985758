package duty

import (
	"time"
)

// Config has the times of the duties.
type Config struct {
	// Instance is this instance's name, Incarnation is new at each start.
	Instance, Incarnation string
	// LeaseDuration is how long the lease holds without renewal. Default 4.5 s: three renewals, and longer than the
	// time within which holders must not alternate.
	LeaseDuration time.Duration
	// StartDelay is how long a process that has just started does not contend, so that an instance whose lease
	// went to another one and back is not the holder twice within that time. Default 4 s.
	StartDelay time.Duration
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
	if c.LeaseDuration <= 0 {
		c.LeaseDuration = 4500 * time.Millisecond
	}
	if c.StartDelay <= 0 {
		c.StartDelay = 4 * time.Second
	}
	if c.UsageDelay <= 0 {
		c.UsageDelay = 10 * time.Second
	}
	return c
}
