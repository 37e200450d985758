package lease

import "errors"

// Sentinel errors that Permit returns.
var (
	// ErrNotHeld: this instance does not hold the lease, or it expires within the margin.
	ErrNotHeld = errors.New("lease: not held")
	// ErrFormerOrdersInFlight: orders of the former holder may still be in flight to an endpoint that ignores fencing
	// tokens.
	ErrFormerOrdersInFlight = errors.New("lease: waiting for orders of the former holder to end")
)
