package teamlimit

import (
	"sync"
	"time"

	"knapweedhoist/deployment"
	"knapweedhoist/fleetstate"
)

// Limiter admits requests within the teams' limits.
type Limiter struct {
	// mu guards the fields below, including the buckets.
	mu  sync.Mutex
	cfg Config
	// buckets holds the token bucket of each team by name.
	buckets map[string]*tokenBucket
	// used counts the use of this instance by slots of fleetstate.SlotLength.
	used fleetstate.Table
	// connectivity is that of the last Observe.
	connectivity Connectivity
	// catchUpUntil is the end of the time in which levels are taken over from other instances. It is zero until the first
	// call that needs it.
	catchUpUntil time.Time
	catchingUp   bool
}

// Connectivity states the part of all instances that this one is connected to.
type Connectivity struct {
	// Share is that part, this instance included, valid until ValidUntil. Isolated is the part that this instance is alone,
	// which applies afterwards.
	Share, Isolated float64
	ValidUntil      time.Time
	// Delay is how old the known use of the other instances is, 0 if there are none.
	Delay time.Duration
}

// NewLimiter returns a Limiter without teams.
func NewLimiter(cfg Config) *Limiter {
	return &Limiter{
		cfg: cfg, buckets: make(map[string]*tokenBucket), used: make(fleetstate.Table),
		connectivity: Connectivity{Share: 1, Isolated: 1}, catchingUp: !cfg.NewDeployment,
	}
}

// newBucket returns the bucket of a team that has none yet. The bucket is full, unless the Limiter is catching up: the
// earlier use is unknown then, and the bucket holds only this instance's share of extraBurst.
func (l *Limiter) newBucket(now time.Time, limit deployment.Limit, share float64) *tokenBucket {
	b := &tokenBucket{refilledAt: now, credit: l.cfg.Phase * limit.Rate * initialCreditTime.Seconds()}
	l.setLimit(b, limit)
	b.level = b.extraBurst * share
	if !l.isCatchingUp(now) {
		b.level = b.capacity()
	}
	return b
}

func (l *Limiter) setLimit(b *tokenBucket, limit deployment.Limit) {
	b.limit = limit
	b.refillRate = limit.Rate * (1 + overageFraction*l.cfg.Overage)
	b.extraBurst = max(slackFraction*l.cfg.Slack-limit.Rate*concurrentUseTime.Seconds(), 0)
}

// SetBounds replaces Config.Overage and Config.Slack. Use so far stays counted.
func (l *Limiter) SetBounds(now time.Time, overage, slack float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.share(now)
	l.cfg.Overage, l.cfg.Slack = overage, slack
	for _, b := range l.buckets {
		l.changeLimit(now, b, b.limit, share)
	}
}

// SetTeams replaces the teams and their limits. Use so far stays counted; a lower limit applies at once.
func (l *Limiter) SetTeams(now time.Time, teams []*deployment.Team) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := make(map[string]*tokenBucket, len(teams))
	share := l.share(now)
	for _, team := range teams {
		b := l.buckets[team.Name]
		if b == nil {
			b = l.newBucket(now, team.Limit, share)
		}
		l.changeLimit(now, b, team.Limit, share)
		kept[team.Name] = b
	}
	l.buckets = kept
}

// changeLimit refills the bucket at its old rate and lowers the level to the capacity of the new limit if that is less.
func (l *Limiter) changeLimit(now time.Time, b *tokenBucket, limit deployment.Limit, share float64) {
	b.refill(now, share)
	l.setLimit(b, limit)
	b.refill(now, share)
}

// share returns the part of the limits that belongs to the connected instances.
func (l *Limiter) share(now time.Time) float64 {
	if !l.connectivity.ValidUntil.IsZero() && now.After(l.connectivity.ValidUntil) {
		return l.connectivity.Isolated
	}
	return l.connectivity.Share
}

func (l *Limiter) correctionTime() time.Duration {
	return max(correctionDelays*l.connectivity.Delay, minCorrectionTime)
}

// isCatchingUp reports whether the levels are taken over from other instances.
func (l *Limiter) isCatchingUp(now time.Time) bool {
	if !l.catchingUp {
		return false
	}
	if l.catchUpUntil.IsZero() {
		l.catchUpUntil = now.Add(catchUpTime)
	}
	l.catchingUp = now.Before(l.catchUpUntil)
	return l.catchingUp
}

// CatchUp takes over the levels of the other instances for a while, because the use of the last seconds is unknown after
// a pause of the process.
func (l *Limiter) CatchUp(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.catchingUp, l.catchUpUntil = true, now.Add(catchUpTime)
}

// Take withdraws cost units from the team's bucket and reports whether the request is within the limit. If it is not,
// nothing is withdrawn, and wait is the time after which the caller should try again. slot is the current slot. A team
// that is unknown or has no limit is always admitted.
func (l *Limiter) Take(now time.Time, slot int64, team string, cost float64) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[team]
	if b == nil || b.limit.Rate <= 0 {
		return true, 0
	}
	share := l.share(now)
	b.refill(now, share)
	b.offered.add(now, cost)
	part := b.admitted(now, share, l.correctionTime())
	if !b.admit(part, cost) {
		return false, b.wait(now, part, share, cost)
	}
	l.used.Add(team, slot, b.take(now, cost))
	return true, 0
}

// Refund puts the cost of a request that no endpoint ran back into the bucket.
func (l *Limiter) Refund(now time.Time, team string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[team]; b != nil && b.limit.Rate > 0 {
		b.refund(now, cost)
	}
}

// Own returns the use of this instance by slots, its demand by team and its levels, for its reports.
func (l *Limiter) Own(now time.Time) (used fleetstate.Table, offered, levels map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.share(now)
	offered, levels = make(map[string]float64, len(l.buckets)), make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		if b.limit.Rate <= 0 {
			continue
		}
		b.refill(now, share)
		offered[name] = b.offered.at(now)
		if !l.isCatchingUp(now) {
			levels[name] = b.level
		}
	}
	return l.used.From(0), offered, levels
}

// Observe applies the state of the other instances: their use that became known, their demand, and while the Limiter is
// catching up their levels.
func (l *Limiter) Observe(now time.Time, slot int64, others fleetstate.Others, connectivity Connectivity) {
	l.mu.Lock()
	defer l.mu.Unlock()
	former := l.share(now)
	l.connectivity = connectivity
	share, catchingUp := l.share(now), l.isCatchingUp(now)
	for name, b := range l.buckets {
		b.refill(now, share)
		if share < former {
			b.split(now, former, share, others.Offered[name], l.correctionTime())
		}
		b.otherOffered = others.Offered[name]
		if level, ok := others.Levels[name]; ok && catchingUp {
			b.level = min(level-l.recentUse(name, slot), b.capacity()*share)
			continue
		}
		b.level -= others.NewUse[name]
	}
}

// recentUse returns the use of this instance that the other instances may not know yet.
func (l *Limiter) recentUse(team string, slot int64) float64 {
	return l.used.At(team, slot) + l.used.At(team, slot-1)
}
