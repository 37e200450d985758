// Package testutil holds a scripted in-memory object store and a driver that
// run many instances of the decision packages in one test process.
package testutil

import "time"

// Faults are the probabilities and sizes of the faults that a Store injects.
type Faults struct {
	// MinDelay and MaxDelay bound the time from a call to its effect, and from the effect to its reply.
	MinDelay, MaxDelay time.Duration
	// LoseReply is the share of calls whose effect happens and whose reply is lost.
	LoseReply float64
	// Drop is the share of calls that are lost before any effect.
	Drop float64
	// Late is the share of writes that are reported as unavailable and take effect up to MaxLate afterwards.
	Late    float64
	MaxLate time.Duration
	// Throttle is the share of calls that are refused.
	Throttle float64
}
