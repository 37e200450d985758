package bench

import (
	"time"

	"knapweedhoist/admission"
	"knapweedhoist/routing"
)

// call is one request at its home entry instance.
type call struct {
	*arrival
	submittedAt time.Time
	estimate    admission.Estimate
	// generated counts the tokens that the caller has.
	generated    int
	firstTokenAt time.Time
	lastTokenAt  time.Time
	finished     bool
	retried      bool
	attempts     []*attempt
}

// attempt is one try of a call at a server.
type attempt struct {
	call   *call
	server *server
	job    *job
	routed *routing.Attempt
	ended  bool
	hedge  bool
}

// running reports whether another attempt of the call is in flight.
func (c *call) hasRunningAttempt() bool {
	for _, at := range c.attempts {
		if !at.ended {
			return true
		}
	}
	return false
}
