package lease

import "time"

// Permit allows one order to be sent immediately. It must not be reused: each order needs a new one.
type Permit struct {
	// Fence is the fencing token to send with the order.
	Fence uint64
	// Timeout bounds the order; the sender must abandon the order after it.
	Timeout time.Duration
}
