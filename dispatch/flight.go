package dispatch

import (
	"time"

	"knapweedhoist/deployment"
)

// Flight is one request in flight at one endpoint. The caller of Table.Choose
// calls Begun when the first token arrives and Done once at the end.
type Flight struct {
	Endpoint *deployment.Endpoint
	// Cost is the cost that Table.Choose computed for the endpoint, for the log.
	Cost time.Duration
	// Missing is the expected number of prompt tokens that the endpoint has to prefill.
	Missing int

	table *Table
	state *endpointState
	// pendingTokens is the part of state.pendingTokens that belongs to this request.
	pendingTokens int
	done          bool
}

// Begun records that the first token arrived, so that the prefill is complete.
func (f *Flight) Begun() {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	f.clearPendingTokens()
}

// Done removes the request from the endpoint's load and records its outcome. Further calls have no effect.
func (f *Flight) Done(now time.Time, outcome Outcome) {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	if f.done {
		return
	}
	f.done = true
	f.clearPendingTokens()
	f.state.running--
	switch outcome {
	case Served:
		f.state.failures = 0
	case Shed, Failed, Silent:
		f.state.recordFailure(now)
	}
}

// Report stores the load that the endpoint reported in its response.
func (f *Flight) Report(load Load) {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	f.state.load = load
}

// clearPendingTokens subtracts the request's pending tokens from the endpoint's. The caller holds table.mu.
func (f *Flight) clearPendingTokens() {
	f.state.pendingTokens -= f.pendingTokens
	f.pendingTokens = 0
}
