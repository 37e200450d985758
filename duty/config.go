package duty

import (
	"time"

	"knapweedhoist/internal/defaults"
)

// Config configures a Runner.
type Config struct {
	// Instance is the name of this instance; Incarnation changes at each start.
	Instance, Incarnation string
	// Alternation is the time within which the duties must not move to another instance and back again. Default 3 s.
	Alternation time.Duration
	// NewDeployment skips the start delay: no instance has held the lease before.
	NewDeployment bool
	// ReportsUsage enables usage reports, OrdersEndpoints enables orders for endpoints.
	ReportsUsage, OrdersEndpoints bool
	// UsageDueWithin is the time after the end of a window by which its report must be sent. Default 10 s.
	UsageDueWithin time.Duration
	// ChecksFence reports whether the cloud refuses calls with an outdated fencing token.
	ChecksFence bool
}

const (
	// leaseMargin covers the time between a permit check and the call that it allows, and differences between clock rates.
	leaseMargin = 700 * time.Millisecond
	// maxOrderDuration is the longest time for which a call to the cloud is in flight. The timeout of the Cloud must not
	// exceed it.
	maxOrderDuration = 1500 * time.Millisecond
	// collectionMargin is added to the end of a window before its counts are taken as complete: the differences between
	// the instances' estimates of the time of day.
	collectionMargin = 300 * time.Millisecond
	// maxCollectionShare is the part of UsageDueWithin after which a report is stored although counts of connected
	// instances are missing. The rest is for storing and sending it.
	maxCollectionShare = 0.6
	// dutyInterval is the period at which the holder runs the duties.
	dutyInterval = 250 * time.Millisecond
	// leaseTickInterval is the period at which the lease keeper is ticked.
	leaseTickInterval = 100 * time.Millisecond
)

func (c Config) withDefaults() Config {
	defaults.Set(&c.Alternation, 3*time.Second)
	defaults.Set(&c.UsageDueWithin, 10*time.Second)
	return c
}

// leaseDuration returns how long the lease is valid without renewal: longer than Alternation. The keeper renews it
// every third of this duration.
func (c Config) leaseDuration() time.Duration { return c.Alternation * 3 / 2 }

// startDelay returns how long a new process does not contend for the lease, so that an instance that released the
// lease at its stop does not hold it again within Alternation.
func (c Config) startDelay() time.Duration { return c.Alternation + time.Second }
