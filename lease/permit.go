package lease

import "time"

// Permit allows one order to be sent now. It is not kept: each order needs a new one.
type Permit struct {
	// Fence goes with the order.
	Fence uint64
	// Timeout is the longest time that the order may take; the sender abandons it afterwards.
	Timeout time.Duration
}
