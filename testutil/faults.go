// Package testutil provides an in-memory object store with injected faults and a
// driver with a simulated clock. Tests of state machines that return object API
// calls use them to run many instances in one process; a seed determines the whole
// run.
package testutil

import "time"

// Faults configures the faults that a Store injects. Shares are probabilities from 0 to 1.
type Faults struct {
	// MinDelay and MaxDelay bound the delay between a call and its effect, and between the effect and its reply.
	MinDelay, MaxDelay time.Duration
	// LoseReply is the share of writes that take effect and are answered with ErrUnavailable.
	LoseReply float64
	// Drop is the share of calls that have no effect and are answered with ErrUnavailable.
	Drop float64
	// Late is the share of writes that are answered with ErrUnavailable and take effect up to MaxLate later.
	Late    float64
	MaxLate time.Duration
	// Throttle is the share of calls that are answered with ErrThrottled.
	Throttle float64
}
