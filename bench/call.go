package bench

import (
	"time"

	"knapweedhoist/admission"
	"knapweedhoist/routing"
)

// call is the state of one request at the entry instance that received it.
type call struct {
	*arrival
	// submittedAt is the time of the arrival, or of the caller's retry if the call was shed once.
	submittedAt time.Time
	estimate    admission.Estimate
	// generated counts the tokens sent to the caller.
	generated    int
	firstTokenAt time.Time
	lastTokenAt  time.Time
	finished     bool
	// retried is set when the call is shed for the first time: the caller then retries it once.
	retried  bool
	attempts []*attempt
}

// attempt is one attempt of a call at a server.
type attempt struct {
	call           *call
	server         *server
	job            *job
	routingAttempt *routing.Attempt
	ended          bool
	hedge          bool
}

// hasRunningAttempt reports whether an attempt of the call has not ended.
func (c *call) hasRunningAttempt() bool {
	for _, at := range c.attempts {
		if !at.ended {
			return true
		}
	}
	return false
}
