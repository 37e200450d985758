package dispatch

import (
	"time"

	"knapweedhoist/deployment"
	"knapweedhoist/endpointlimit"
	"knapweedhoist/quarantine"
)

// processKey returns the key of the endpoint's process, which differs from that of an earlier process with the same ID.
func processKey(endpoint *deployment.Endpoint) uint64 {
	return quarantine.ProcessKey(endpoint.ID, endpoint.StartedAtMs)
}

// RecordRateLimit records what the endpoint has stated about its rate limit. It returns the change, if there is one.
func (f *InFlight) RecordRateLimit(now time.Time, statement endpointlimit.Statement) (endpointlimit.Change, bool) {
	return f.balancer.limits.Observe(now, processKey(f.Endpoint), statement)
}
