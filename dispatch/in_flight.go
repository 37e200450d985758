package dispatch

import (
	"time"

	"knapweedhoist/deployment"
	"knapweedhoist/enginemodel"
)

// InFlight is one request in flight at one endpoint. The caller of Balancer.Choose
// calls FirstToken when the first token arrives and Done once at the end.
type InFlight struct {
	Endpoint *deployment.Endpoint
	// Cost is the cost that Balancer.Choose computed for the endpoint, for the log.
	Cost time.Duration
	// Wait is the time until the request may be sent, because of the endpoint's rate limit.
	Wait time.Duration
	// UncachedTokens is the expected number of prompt tokens that the endpoint has to prefill.
	UncachedTokens int

	balancer  *Balancer
	state     *endpointState
	service   string
	startedAt time.Time
	// turnTakenAt is when the request took its turn at the endpoint's rate limit.
	turnTakenAt time.Time
	// plain is set for a service without engines.
	plain bool
	work  work
	// ahead is the number of tokens that the endpoint had to prefill before. hadSlot is set if it had a free slot.
	ahead   int
	hadSlot bool
	// pendingTokens is the part of state.pendingTokens that belongs to this request.
	pendingTokens int
	answered      bool
	done          bool
}

// FirstToken records that the first token arrived, so that the prefill is complete. Further calls have no effect.
func (f *InFlight) FirstToken(now time.Time) {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	if f.answered {
		return
	}
	f.answered = true
	f.clearPendingTokens()
	elapsed := now.Sub(f.startedAt)
	expected := f.balancer.learner.Engine(f.service).TimeToFirstToken(float64(f.ahead + f.UncachedTokens))
	f.state.recordAnswer(now, float64(elapsed)/float64(expected))
	if f.undisturbed() {
		f.balancer.learner.Observe(now, f.service, enginemodel.Answer{
			Tokens: f.ahead + f.work.known, PrefixTokens: f.work.prefix, Elapsed: elapsed,
		})
	}
}

// undisturbed reports whether the time to the first token shows the speed of the engine: it had a free slot and hardly any
// other prompt to prefill before or beside this one. The queues of an overload would make engines look slow. The caller
// holds balancer.mu, and the request's own tokens are no longer pending.
func (f *InFlight) undisturbed() bool {
	beside := f.state.pendingTokens + f.state.others.PendingTokens
	return f.hadSlot && float64(max(f.ahead, beside)) <= maxDisturbance*float64(f.UncachedTokens)
}

// maxDisturbance is the number of other tokens to prefill, per token of the request, up to which its time counts.
const maxDisturbance = 0.25

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
	f.balancer.running[f.service]--
	switch outcome {
	case Served:
		f.state.failures = 0
		f.recordServed(now)
	case Shed, Failed, TimedOut:
		f.state.recordFailure(now)
	}
}

// recordServed observes the time that a served request spent at its endpoint, which is also the slowdown of a plain
// service; FirstToken has counted that of an engine.
func (f *InFlight) recordServed(now time.Time) {
	if f.plain {
		f.state.recordAnswer(now, float64(now.Sub(f.startedAt))/float64(f.balancer.learner.Engine(f.service).Residence))
	}
	f.balancer.learner.ObserveEnd(now, f.service, now.Sub(f.startedAt))
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
