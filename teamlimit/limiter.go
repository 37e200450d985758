package teamlimit

import (
	"sync"
	"time"

	"knapweedhoist/deployment"
	"knapweedhoist/internal/defaults"
)

// DefaultSilence is how long another instance counts as heard after its last
// report: several reports at the default interval, and far less than the
// window that limits are judged by.
const DefaultSilence = 600 * time.Millisecond

// Config bounds what teams may use beyond their limits. What is allowed over a
// window beside the limit covers what instances admit before they hear of each
// other; a part of it is given to the teams.
type Config struct {
	// Overage is the share of the limit that may be used beyond it in any window.
	Overage float64
	// Slack is what may be used beside that in any window, in the limit's unit.
	Slack float64
	// Silence is how long another instance counts as heard after its last report. Default DefaultSilence.
	Silence time.Duration
	// NewDeployment tells that all instances start for the first time, so that buckets begin full.
	NewDeployment bool
}

const (
	// overageUse is the part of Config.Overage that teams may use.
	overageUse = 0.6
	// slackUse is the part of Config.Slack that teams may use.
	slackUse = 0.4
)

// Limiter admits requests within the teams' limits.
type Limiter struct {
	cfg Config

	mu      sync.Mutex
	buckets map[string]*bucket
	peers   map[string]*peerState
	// fresh is set until another instance told the levels, unless the deployment itself is new.
	fresh bool
}

// NewLimiter returns a Limiter without teams.
func NewLimiter(cfg Config) *Limiter {
	defaults.Set(&cfg.Silence, DefaultSilence)
	return &Limiter{
		cfg: cfg, buckets: make(map[string]*bucket), peers: make(map[string]*peerState),
		fresh: !cfg.NewDeployment,
	}
}

// newBucket returns the bucket of a team that is new here. Without knowledge of
// the use before, it holds what may be used beyond the burst.
func (l *Limiter) newBucket(now time.Time, limit deployment.Limit, share float64) *bucket {
	b := &bucket{filled: now}
	l.setLimit(b, limit)
	b.level = b.extra * share
	if !l.fresh {
		b.level = b.capacity()
	}
	return b
}

func (l *Limiter) setLimit(b *bucket, limit deployment.Limit) {
	b.limit = limit
	b.rate = limit.Rate * (1 + overageUse*l.cfg.Overage)
	b.extra = slackUse * l.cfg.Slack
}

// SetMembers sets the names of the other instances that exist, heard or not.
func (l *Limiter) SetMembers(names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := make(map[string]*peerState, len(names))
	for _, name := range names {
		kept[name] = l.peers[name]
		if kept[name] == nil {
			kept[name] = &peerState{used: make(map[string]float64)}
		}
	}
	l.peers = kept
}

// SetBounds changes what teams may use beyond their limits. Use so far stays counted.
func (l *Limiter) SetBounds(now time.Time, overage, slack float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.share(now)
	l.cfg.Overage, l.cfg.Slack = overage, slack
	for _, b := range l.buckets {
		b.fill(now, share)
		l.setLimit(b, b.limit)
		b.fill(now, share)
	}
}

// SetTeams sets the limits. Use so far stays counted; a lower limit binds at once.
func (l *Limiter) SetTeams(now time.Time, teams []*deployment.Team) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := make(map[string]*bucket, len(teams))
	share := l.share(now)
	for _, team := range teams {
		b := l.buckets[team.Name]
		if b == nil {
			b = l.newBucket(now, team.Limit, share)
		}
		b.fill(now, share)
		l.setLimit(b, team.Limit)
		b.fill(now, share)
		kept[team.Name] = b
	}
	l.buckets = kept
}

// share is the part of all instances that hear each other, as this one sees it.
func (l *Limiter) share(now time.Time) float64 {
	heard := 1
	for _, peer := range l.peers {
		if peer.boot != 0 && now.Sub(peer.heardAt) <= l.cfg.Silence {
			heard++
		}
	}
	return float64(heard) / float64(len(l.peers)+1)
}

// Take uses cost of the team's limit and reports whether it may. When it may
// not, wait is the time until there is room for the request.
func (l *Limiter) Take(now time.Time, team string, cost float64) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[team]
	if b == nil || b.limit.Rate <= 0 {
		return true, 0
	}
	share := l.share(now)
	b.fill(now, share)
	// A request larger than the burst needs a full bucket, or it could never run.
	need := min(cost, b.capacity()*share)
	if b.level < need {
		return false, b.wait(need, share)
	}
	b.level -= cost
	b.used += cost
	return true, 0
}

// Refund returns the cost of a request that never reached an endpoint.
func (l *Limiter) Refund(team string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[team]; b != nil && b.limit.Rate > 0 {
		b.level += cost
		b.used -= cost
	}
}

// Local returns this instance's use, for the other instances.
func (l *Limiter) Local(now time.Time) []Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.share(now)
	all := make([]Use, 0, len(l.buckets))
	for name, b := range l.buckets {
		if b.limit.Rate <= 0 {
			continue
		}
		b.fill(now, share)
		all = append(all, Use{Team: name, Total: b.used, Level: b.level})
	}
	return all
}

// Observe takes in another instance's report. boot tells its starts apart and is not 0.
func (l *Limiter) Observe(now time.Time, name string, boot uint64, uses []Use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	peer := l.peers[name]
	if peer == nil {
		peer = &peerState{used: make(map[string]float64)}
		l.peers[name] = peer
	}
	share := l.share(now)
	silent := l.silentFor(now, peer)
	known := peer.boot != 0
	if peer.boot != boot {
		peer.boot, peer.used = boot, make(map[string]float64)
	}
	peer.heardAt = now
	for _, use := range uses {
		l.observeUse(now, peer, use, share, silent, known)
	}
	if l.fresh && len(uses) > 0 {
		l.fresh = false
	}
}

// silentFor is how long the peer's share was held back from the bucket.
func (l *Limiter) silentFor(now time.Time, peer *peerState) time.Duration {
	if peer.boot == 0 {
		return 0
	}
	return max(now.Sub(peer.heardAt)-l.cfg.Silence, 0)
}

func (l *Limiter) observeUse(now time.Time, peer *peerState, use Use, share float64, silent time.Duration, known bool) {
	b := l.buckets[use.Team]
	previous, counted := peer.used[use.Team]
	peer.used[use.Team] = use.Total
	if b == nil {
		return
	}
	b.fill(now, share)
	if l.fresh {
		// The level told includes all use that this process has not seen.
		b.level = min(use.Level-b.used, b.capacity())
		return
	}
	if !counted && !known {
		return // use before the first report is in the level already, or in nobody's
	}
	held := b.rate / float64(len(l.peers)+1) * silent.Seconds()
	b.level -= max(use.Total-previous-held, 0)
}
