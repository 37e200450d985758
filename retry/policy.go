// Package retry decides on repeated and hedged attempts. The home instance of
// a request is the only owner of its retries: endpoints, peers and callers'
// libraries are not asked to retry as well.
//
// Extra attempts are paid for by successful work of the same service, so that
// the load is at most 1 + BudgetShare times the requests since the start, and
// an outage gets at most Burst extra attempts from what was saved up before.
// Attempts after an announced reclaim are exempt: their number is bounded by
// the reclaims. Attempts that continue a stream after its last token are exempt
// up to MaxAttempts: an endpoint that delivers tokens is not in an outage.
//
// State: about 100 bytes for each service with its map entry, nothing for each request.
package retry

import (
	"math/rand"
	"sync"
	"time"
)

// Policy decides on attempts. It is safe for concurrent use; its lock is held
// for a few arithmetic operations.
type Policy struct {
	cfg Config

	mu       sync.Mutex // guards rng and services
	rng      *rand.Rand
	services map[string]*service
}

// service is the state of one service.
type service struct {
	retries budget
	hedges  budget
	first   percentile
}

// NewPolicy returns a Policy; rng is used for the jitter and must not be shared.
func NewPolicy(cfg Config, rng *rand.Rand) *Policy {
	return &Policy{cfg: cfg, rng: rng, services: make(map[string]*service)}
}

// service returns the state of a service. The caller holds p.mu.
func (p *Policy) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{}
		p.services[name] = s
	}
	return s
}

// Success records a request that ended well.
func (p *Policy) Success(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(name)
	s.retries.earn(p.cfg.BudgetShare, p.cfg.Burst)
	s.hedges.earn(p.cfg.HedgeShare, p.cfg.Burst)
}

// FirstToken records a first-token time of short work, from which the hedge delay follows.
func (p *Policy) FirstToken(name string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service(name).first.add(took)
}

// Next returns the delay before the next attempt, or the reason why there is none.
func (p *Policy) Next(now time.Time, a Attempt) (time.Duration, error) {
	if !a.Repeatable {
		return 0, ErrNotRepeatable
	}
	if a.Announced {
		return 0, nil
	}
	if a.Number >= p.cfg.MaxAttempts {
		return 0, ErrAttempts
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delay := a.RetryAfter + p.backoff(a.Number)
	if now.Add(delay).After(a.Deadline) {
		return 0, ErrDeadline
	}
	if a.Progressed {
		return delay, nil
	}
	s := p.service(a.Service)
	if !s.retries.has() {
		return 0, ErrBudget
	}
	s.retries.spend()
	return delay, nil
}

// backoff draws a delay between zero and the doubled base ("full jitter"). The caller holds p.mu.
func (p *Policy) backoff(number int) time.Duration {
	limit := min(p.cfg.MaxDelay, p.cfg.BaseDelay<<min(number-1, 16))
	return time.Duration(p.rng.Int63n(int64(limit) + 1))
}

// HedgeDelay returns how long to wait for a first token before Hedge is asked;
// ok is false for work that is never hedged.
func (p *Policy) HedgeDelay(a Attempt) (delay time.Duration, ok bool) {
	if !a.Idempotent || !a.Short || a.Number != 1 {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	usual := time.Duration(float64(p.service(a.Service).first.value) * p.cfg.HedgeFactor)
	return max(p.cfg.MinHedgeDelay, usual), true
}

// Hedge reports whether a hedged attempt may be sent now, and takes it from both budgets.
func (p *Policy) Hedge(a Attempt) bool {
	if !a.Idempotent || !a.Short || a.Number != 1 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(a.Service)
	if !s.retries.has() || !s.hedges.has() {
		return false
	}
	s.retries.spend()
	s.hedges.spend()
	return true
}
