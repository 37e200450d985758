package membership

import "time"

// Notice announces that an incarnation leaves permanently. Its source is a reclaim
// notice of the cloud, a drain order, the endpoint's load report or the instance itself.
type Notice struct {
	ID          string
	Incarnation string
	// Remaining is the time until the instance ends; 0 when unknown.
	Remaining time.Duration
	// Successor is the incarnation that takes over the requests of an entry instance; "" when there is none.
	Successor string
}
