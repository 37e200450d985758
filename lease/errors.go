package lease

import "errors"

// Sentinel errors of Permit.
var (
	// ErrNotHeld: this instance does not hold the lease, or holds it for less than the margin.
	ErrNotHeld = errors.New("lease: not held")
	// ErrWaitingOut: orders of the former holder may still be in flight at an endpoint that ignores fences.
	ErrWaitingOut = errors.New("lease: waiting for orders of the former holder to end")
)
