package membership

import "time"

// Notice tells that an instance is leaving for good: from the cloud's notices,
// from an endpoint's own report, or from the instance itself.
type Notice struct {
	ID          string
	Incarnation string
	// Left is the time until the instance ends; 0 when not known.
	Left time.Duration
	// Successor takes over the requests of an entry instance; "" when there is none.
	Successor string
}
