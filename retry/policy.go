// Package retry decides whether and when an attempt is retried or hedged. Only the
// home instance of a request retries it: endpoints, peers and callers' libraries
// are not asked to retry as well.
//
// A token bucket for each service bounds the extra attempts. Successful requests
// of the service fill it, so that the attempts since the start are at most
// (1 + BudgetShare) times the requests, and an outage gets at most Burst extra
// attempts from the tokens accumulated before it. Attempts after an announced
// reclaim take no token: the number of reclaims bounds them. Attempts that
// continue a stream after its last token take none either, up to MaxAttempts: an
// endpoint that delivers tokens is not in an outage.
//
// A Policy uses about 100 bytes for each service, map entry included, and nothing
// for each request.
package retry

import (
	"math/rand"
	"sync"
	"time"
)

// Policy decides on retries and hedges. It is safe for concurrent use; its lock is
// held for a few arithmetic operations.
type Policy struct {
	cfg Config

	mu       sync.Mutex // guards rng and services
	rng      *rand.Rand
	services map[string]*serviceState
}

// serviceState holds the budgets and the first-token times of one service.
type serviceState struct {
	retries    budget
	hedges     budget
	firstToken p95Estimator
}

// NewPolicy returns a Policy with empty budgets. It draws the jitter from rng, which must not be shared.
func NewPolicy(cfg Config, rng *rand.Rand) *Policy {
	return &Policy{cfg: cfg, rng: rng, services: make(map[string]*serviceState)}
}

// state returns the state of a service, which it creates on first use. The caller holds p.mu.
func (p *Policy) state(service string) *serviceState {
	s := p.services[service]
	if s == nil {
		s = &serviceState{}
		p.services[service] = s
	}
	return s
}

// RecordSuccess records a successful request of the service.
func (p *Policy) RecordSuccess(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(service)
	s.retries.deposit(p.cfg.BudgetShare, p.cfg.Burst)
	s.hedges.deposit(p.cfg.HedgeShare, p.cfg.Burst)
}

// RecordFirstToken records the first-token time of a short request. These times determine the hedge delay of the service.
func (p *Policy) RecordFirstToken(service string, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(service).firstToken.observe(elapsed)
}

// Next returns the delay before the next attempt. It takes a token of the service's
// retry budget unless a has ReclaimAnnounced or DeliveredTokens set. The error is
// ErrNotRepeatable, ErrMaxAttempts, ErrDeadlineExceeded or ErrBudgetExhausted.
func (p *Policy) Next(now time.Time, a Attempt) (time.Duration, error) {
	if !a.Repeatable {
		return 0, ErrNotRepeatable
	}
	if a.ReclaimAnnounced {
		return 0, nil
	}
	if a.Number >= p.cfg.MaxAttempts {
		return 0, ErrMaxAttempts
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delay := a.RetryAfter + p.backoff(a.Number)
	if now.Add(delay).After(a.Deadline) {
		return 0, ErrDeadlineExceeded
	}
	if a.DeliveredTokens {
		return delay, nil
	}
	s := p.state(a.Service)
	if !s.retries.hasToken() {
		return 0, ErrBudgetExhausted
	}
	s.retries.withdraw()
	return delay, nil
}

// backoff draws a delay between zero and the exponential limit of the attempt ("full jitter"). The number of doublings
// is bounded so that the limit cannot overflow. The caller holds p.mu.
func (p *Policy) backoff(number int) time.Duration {
	limit := min(p.cfg.MaxDelay, p.cfg.BaseDelay<<min(number-1, 16))
	return time.Duration(p.rng.Int63n(int64(limit) + 1))
}

// HedgeDelay returns how long to wait for the first token before calling AllowHedge. ok
// is false if the attempt may not be hedged: only the first attempt of a short,
// idempotent request may be.
func (p *Policy) HedgeDelay(a Attempt) (delay time.Duration, ok bool) {
	if !a.Idempotent || !a.Short || a.Number != 1 {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p95Delay := time.Duration(float64(p.state(a.Service).firstToken.value) * p.cfg.HedgeFactor)
	return max(p.cfg.MinHedgeDelay, p95Delay), true
}

// AllowHedge reports whether a hedged attempt may be sent now. If so, it takes a token from the retry budget and one
// from the hedge budget of the service.
func (p *Policy) AllowHedge(a Attempt) bool {
	if !a.Idempotent || !a.Short || a.Number != 1 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(a.Service)
	if !s.retries.hasToken() || !s.hedges.hasToken() {
		return false
	}
	s.retries.withdraw()
	s.hedges.withdraw()
	return true
}
