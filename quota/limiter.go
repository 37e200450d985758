package quota

import (
	"sync"
	"time"
)

// Limiter enforces one instance's grants. It is safe for concurrent use: each
// team has its own lock.
//
// State: about 300 bytes for each team, and 32 for each promise (at most 256 for each rate).
type Limiter struct {
	mu    sync.RWMutex // guards the map
	teams map[string]*teamLimit
}

// teamLimit is the state of one team.
type teamLimit struct {
	mu       sync.Mutex // guards the fields below
	tokens   bucket
	requests bucket
	// tokenGrant and requestGrant are nil when the rate has no limit.
	tokenGrant   *Grant
	requestGrant *Grant
	demand       meter
}

// NewLimiter returns a Limiter without limits.
func NewLimiter() *Limiter { return &Limiter{teams: make(map[string]*teamLimit)} }

func (l *Limiter) team(name string) *teamLimit {
	l.mu.RLock()
	t := l.teams[name]
	l.mu.RUnlock()
	if t != nil {
		return t
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.teams[name] == nil {
		l.teams[name] = &teamLimit{}
	}
	return l.teams[name]
}

// SetGrants replaces a team's grants; nil removes the limit. It returns false, and changes nothing, when one of the
// grants is older than the present one; only accepted grants may be acknowledged.
func (l *Limiter) SetGrants(now time.Time, team string, tokens, requests *Grant) bool {
	t := l.team(team)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !tokens.replaces(t.tokenGrant) || !requests.replaces(t.requestGrant) {
		return false
	}
	t.refill(now)
	t.tokenGrant, t.requestGrant = tokens, requests
	return true
}

// Remove forgets a team that was deleted from the configuration.
func (l *Limiter) Remove(team string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.teams, team)
}

// Allow takes one request with the expected tokens, or returns when to come back.
func (l *Limiter) Allow(now time.Time, team string, tokens int) (bool, time.Duration) {
	t := l.team(team)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refill(now)
	n := float64(tokens)
	if !t.tokens.promised.returned(n) {
		t.demand.add(now, n)
	}
	tokenRate, requestRate := t.tokenGrant.rate(now), t.requestGrant.rate(now)
	if t.tokenGrant != nil && !t.tokens.fits(now, n, tokenRate, tokenRate*burstSeconds) {
		return false, t.tokens.wait(now, n, tokenRate, tokenRate*burstSeconds)
	}
	requestBurst := max(1, requestRate*burstSeconds)
	if t.requestGrant != nil && !t.requests.fits(now, 1, requestRate, requestBurst) {
		return false, t.requests.wait(now, 1, requestRate, requestBurst)
	}
	t.tokens.takeIf(t.tokenGrant, n)
	t.requests.takeIf(t.requestGrant, 1)
	return true, 0
}

// Settle corrects the charge of a finished request by the tokens that it really used.
func (l *Limiter) Settle(now time.Time, team string, expected, used int) {
	t := l.team(team)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tokenGrant == nil {
		return
	}
	t.refill(now)
	if used > expected {
		t.tokens.take(float64(used - expected))
		return
	}
	t.tokens.give(float64(expected-used), t.tokenGrant.rate(now)*burstSeconds)
}

// Demand returns the rate that the team could use at this instance in tokens per second: its recent demand, shed work
// included, or part of it while nothing is owed or promised, because then the present grant is enough.
func (l *Limiter) Demand(now time.Time, team string) float64 {
	t := l.team(team)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refill(now)
	demand := t.demand.rate(now)
	if t.tokenGrant != nil && t.tokens.owed == 0 && t.tokens.promised.reserved == 0 {
		demand *= satisfiedShare
	}
	return demand
}

// satisfiedShare is the part of the demand that a member asks for while its grant is enough.
const satisfiedShare = 0.5

// Budget returns the team's token budget and debt; both are never negative.
func (l *Limiter) Budget(team string) (budget, owed float64) {
	t := l.team(team)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tokens.budget, t.tokens.owed
}

// burstSeconds of a rate can be saved up.
const burstSeconds = 3.0

func (t *teamLimit) refill(now time.Time) {
	tokenRate, requestRate := t.tokenGrant.rate(now), t.requestGrant.rate(now)
	t.tokens.refill(now, tokenRate, tokenRate*burstSeconds)
	t.tokens.promised.expire(now, tokenRate*burstSeconds)
	t.requests.refill(now, requestRate, max(1, requestRate*burstSeconds))
}

func (b *bucket) takeIf(g *Grant, n float64) {
	if g != nil {
		b.take(n)
	}
}

// rate is the granted rate, or the floor once the grant has expired.
func (g *Grant) rate(now time.Time) float64 {
	switch {
	case g == nil:
		return 0
	case now.Before(g.Until):
		return g.Rate
	default:
		return g.Floor
	}
}
