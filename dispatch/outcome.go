package dispatch

import "time"

// Outcome tells how a request ended at its endpoint.
type Outcome uint8

// Outcomes of a request.
const (
	// Served: the endpoint gave a whole answer of any status, or the caller left.
	Served Outcome = iota + 1
	// Shed: the endpoint said that it did not run the request.
	Shed
	// Failed: no connection, a broken answer or an error of the endpoint's own.
	Failed
	// Silent: no answer within the time.
	Silent
)

// Load is what an endpoint tells of itself in an answer.
type Load struct {
	Running, Waiting, Slots int
	// Slowness is the time that work takes there now against the usual, 1 is the usual.
	Slowness float64
	At       time.Time
}
