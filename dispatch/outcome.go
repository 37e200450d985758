package dispatch

import "time"

// Outcome is the result of a request at its endpoint.
type Outcome uint8

// Outcomes of a request.
const (
	// Served means that the endpoint sent a complete response without an internal error, or that the caller disconnected.
	Served Outcome = iota + 1
	// Shed means that the endpoint answered that it did not run the request.
	Shed
	// Failed means that no connection was opened, the response was incomplete, or the endpoint reported an internal error.
	Failed
	// TimedOut means that no response arrived before the timeout.
	TimedOut
	// Withdrawn means that the request was not sent, for a reason that says nothing about the endpoint.
	Withdrawn
)

// Load is the load that an endpoint reports in a response.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is the current service time divided by the normal service time; 1 is normal.
	Slowdown float64
	At       time.Time
}
