package quota

import (
	"sync"
	"time"
)

// Limiter enforces one instance's grants. For each team it has one bucket for model
// tokens and one for requests. It is safe for concurrent use; requests of different
// teams do not wait for each other's bucket.
//
// State: about 300 bytes for each team, and 32 for each reservation (at most maxReservations for each bucket).
type Limiter struct {
	mu    sync.RWMutex // guards teams
	teams map[string]*teamState
}

// teamState holds the buckets and the grants of one team.
type teamState struct {
	mu       sync.Mutex // guards the fields below
	tokens   bucket
	requests bucket
	// tokenGrant and requestGrant are nil if the rate has no limit.
	tokenGrant   *Grant
	requestGrant *Grant
	// demand estimates the demand in tokens per second. A request that can be the retry of an earlier refusal is not
	// counted again (see reservations.coverRetry).
	demand rateEstimator
}

// NewLimiter returns a Limiter without limits.
func NewLimiter() *Limiter { return &Limiter{teams: make(map[string]*teamState)} }

// team returns the state of a team, and creates it if necessary.
func (l *Limiter) team(name string) *teamState {
	l.mu.RLock()
	t := l.teams[name]
	l.mu.RUnlock()
	if t != nil {
		return t
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.teams[name] == nil {
		l.teams[name] = &teamState{}
	}
	return l.teams[name]
}

// SetGrants replaces a team's grants; nil removes the limit. If one of the grants is older than the current one, it
// returns false and changes nothing. Only accepted grants may be acknowledged.
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

// Remove drops a team's buckets and grants, for example after the team was deleted from the configuration. Without new
// grants the team has no limit.
func (l *Limiter) Remove(team string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.teams, team)
}

// Allow charges one request with the expected number of tokens and returns true. If a limit does not allow it, Allow
// returns false and the time after which the caller should retry.
func (l *Limiter) Allow(now time.Time, team string, tokens int) (bool, time.Duration) {
	t := l.team(team)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refill(now)
	n := float64(tokens)
	if !t.tokens.reservations.coverRetry(n) {
		t.demand.add(now, n)
	}
	tokenRate, requestRate := t.tokenGrant.rate(now), t.requestGrant.rate(now)
	if t.tokenGrant != nil && !t.tokens.canTake(now, n, tokenRate, tokenRate*burstSeconds) {
		return false, t.tokens.reserveRetry(now, n, tokenRate, tokenRate*burstSeconds)
	}
	requestBurst := max(1, requestRate*burstSeconds)
	if t.requestGrant != nil && !t.requests.canTake(now, 1, requestRate, requestBurst) {
		return false, t.requests.reserveRetry(now, 1, requestRate, requestBurst)
	}
	t.tokens.takeIfLimited(t.tokenGrant, n)
	t.requests.takeIfLimited(t.requestGrant, 1)
	return true, 0
}

// CorrectCharge corrects the charge of a finished request from the expected to the actual number of tokens.
func (l *Limiter) CorrectCharge(now time.Time, team string, expected, used int) {
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
	t.tokens.refund(float64(expected-used), t.tokenGrant.rate(now)*burstSeconds)
}

// Demand returns the rate that the team could use at this instance, in tokens per second: its recent demand, including
// refused work. While the team has a token grant and its token bucket has neither debt nor reservations, the grant is
// sufficient and Demand returns only that demand multiplied by satisfiedDemandShare.
func (l *Limiter) Demand(now time.Time, team string) float64 {
	t := l.team(team)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refill(now)
	demand := t.demand.rate(now)
	if t.tokenGrant != nil && t.tokens.debt == 0 && t.tokens.reservations.reserved == 0 {
		demand *= satisfiedDemandShare
	}
	return demand
}

// satisfiedDemandShare is the fraction of its demand that an instance reports while its grant is sufficient.
const satisfiedDemandShare = 0.5

// Budget returns the budget and the debt of the team's token bucket, in tokens. Neither is ever negative.
func (l *Limiter) Budget(team string) (budget, debt float64) {
	t := l.team(team)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tokens.budget, t.tokens.debt
}

// burstSeconds is the capacity of a bucket, in seconds of the granted rate. A request bucket holds at least one request.
const burstSeconds = 3.0

// refill refills both buckets and releases the token reservations whose time has passed.
func (t *teamState) refill(now time.Time) {
	tokenRate, requestRate := t.tokenGrant.rate(now), t.requestGrant.rate(now)
	t.tokens.refill(now, tokenRate, tokenRate*burstSeconds)
	t.tokens.reservations.expire(now, tokenRate*burstSeconds)
	t.requests.refill(now, requestRate, max(1, requestRate*burstSeconds))
}

// takeIfLimited takes n unless grant is nil, which means no limit.
func (b *bucket) takeIfLimited(grant *Grant, n float64) {
	if grant != nil {
		b.take(n)
	}
}

// rate returns the granted rate, the floor once the grant has expired, or 0 without a grant.
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
