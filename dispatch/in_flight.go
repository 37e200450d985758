package dispatch

import (
	"time"

	"knapweedhoist/deployment"
)

// InFlight is one request in flight at one endpoint. The caller of Balancer.Choose
// calls PrefillDone when the first token arrives and Done once at the end.
type InFlight struct {
	Endpoint *deployment.Endpoint
	// Cost is the cost that Balancer.Choose computed for the endpoint, for the log.
	Cost time.Duration
	// UncachedTokens is the expected number of prompt tokens that the endpoint has to prefill.
	UncachedTokens int

	balancer *Balancer
	state    *endpointState
	// pendingTokens is the part of state.pendingTokens that belongs to this request.
	pendingTokens int
	done          bool
}

// PrefillDone records that the first token arrived, so that the prefill is complete.
func (f *InFlight) PrefillDone() {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	f.clearPendingTokens()
}

// Done removes the request from the endpoint's load and records its outcome. Further calls have no effect.
func (f *InFlight) Done(now time.Time, outcome Outcome) {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	if f.done {
		return
	}
	f.done = true
	f.clearPendingTokens()
	f.state.running--
	switch outcome {
	case Served:
		f.state.failures = 0
	case Shed, Failed, TimedOut:
		f.state.recordFailure(now)
	}
}

// RecordLoad stores the load that the endpoint reported in its response.
func (f *InFlight) RecordLoad(load Load) {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	f.state.load = load
}

// clearPendingTokens subtracts the request's pending tokens from the endpoint's. The caller holds balancer.mu.
func (f *InFlight) clearPendingTokens() {
	f.state.pendingTokens -= f.pendingTokens
	f.pendingTokens = 0
}
