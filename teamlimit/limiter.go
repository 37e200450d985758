package teamlimit

import (
	"sync"
	"time"

	"knapweedhoist/deployment"
	"knapweedhoist/internal/defaults"
)

// DefaultPeerTimeout is how long another instance counts as connected after its
// last report: several report intervals at the default setting, and far less
// than the window over which limits are evaluated.
const DefaultPeerTimeout = 600 * time.Millisecond

// Config holds the parameters of a Limiter. Overage and Slack bound the use of
// teams beyond their limits. They cover requests that instances admit before they
// receive each other's reports; a part of each is added to the buckets of the teams.
type Config struct {
	// Overage is the use allowed beyond the limit in any window, as a fraction of the limit.
	Overage float64
	// Slack is the further use allowed in any window, in the limit's unit.
	Slack float64
	// PeerTimeout is how long another instance counts as connected after its last report. Default DefaultPeerTimeout.
	PeerTimeout time.Duration
	// NewDeployment means that all instances start for the first time, so that buckets start full.
	NewDeployment bool
}

const (
	// overageFraction is the fraction of Config.Overage that is added to the refill rate of the buckets.
	overageFraction = 0.6
	// slackFraction is the fraction of Config.Slack that is added to the capacity of the buckets.
	slackFraction = 0.4
)

// Limiter admits requests within the teams' limits.
type Limiter struct {
	cfg Config

	// mu guards cfg and the fields below, including the buckets and peer states.
	mu sync.Mutex
	// buckets holds the token bucket of each team by name.
	buckets map[string]*tokenBucket
	// peers holds the other instances by name.
	peers map[string]*peerState
	// awaitingLevels is set until another instance reports bucket levels. It is never set in a new deployment.
	awaitingLevels bool
}

// NewLimiter returns a Limiter without teams.
func NewLimiter(cfg Config) *Limiter {
	defaults.Set(&cfg.PeerTimeout, DefaultPeerTimeout)
	return &Limiter{
		cfg: cfg, buckets: make(map[string]*tokenBucket), peers: make(map[string]*peerState),
		awaitingLevels: !cfg.NewDeployment,
	}
}

// newBucket returns the bucket of a team that has none yet. The bucket is full,
// unless awaitingLevels is set: the earlier use is unknown then, and the bucket
// holds only this share of extraBurst.
func (l *Limiter) newBucket(now time.Time, limit deployment.Limit, share float64) *tokenBucket {
	b := &tokenBucket{refilledAt: now}
	l.setLimit(b, limit)
	b.level = b.extraBurst * share
	if !l.awaitingLevels {
		b.level = b.capacity()
	}
	return b
}

func (l *Limiter) setLimit(b *tokenBucket, limit deployment.Limit) {
	b.limit = limit
	b.refillRate = limit.Rate * (1 + overageFraction*l.cfg.Overage)
	b.extraBurst = slackFraction * l.cfg.Slack
}

// SetMembers sets the names of the other instances of the deployment, connected or not.
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

// SetBounds replaces Config.Overage and Config.Slack. Use so far stays counted.
func (l *Limiter) SetBounds(now time.Time, overage, slack float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.connectedShare(now)
	l.cfg.Overage, l.cfg.Slack = overage, slack
	for _, b := range l.buckets {
		b.refill(now, share) // at the old rate
		l.setLimit(b, b.limit)
		b.refill(now, share) // lowers the level to the new capacity if that is less
	}
}

// SetTeams replaces the teams and their limits. Use so far stays counted; a lower limit applies at once.
func (l *Limiter) SetTeams(now time.Time, teams []*deployment.Team) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := make(map[string]*tokenBucket, len(teams))
	share := l.connectedShare(now)
	for _, team := range teams {
		b := l.buckets[team.Name]
		if b == nil {
			b = l.newBucket(now, team.Limit, share)
		}
		b.refill(now, share) // at the old rate
		l.setLimit(b, team.Limit)
		b.refill(now, share) // lowers the level to the new capacity if that is less
		kept[team.Name] = b
	}
	l.buckets = kept
}

// connectedShare returns the fraction of all instances that are connected: this
// one and those whose last report is at most Config.PeerTimeout old.
func (l *Limiter) connectedShare(now time.Time) float64 {
	connected := 1
	for _, peer := range l.peers {
		if peer.boot != 0 && now.Sub(peer.lastReportAt) <= l.cfg.PeerTimeout {
			connected++
		}
	}
	return float64(connected) / float64(len(l.peers)+1)
}

// Take withdraws cost units from the team's bucket and reports whether the
// request is within the limit. If it is not, nothing is withdrawn, and wait is
// the time until the bucket has enough for the request. A team that is
// unknown or has no limit is always admitted.
func (l *Limiter) Take(now time.Time, team string, cost float64) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[team]
	if b == nil || b.limit.Rate <= 0 {
		return true, 0
	}
	share := l.connectedShare(now)
	b.refill(now, share)
	// A request that costs more than the capacity needs only a full bucket; otherwise it could never run.
	required := min(cost, b.capacity()*share)
	if b.level < required {
		return false, b.timeUntil(required, share)
	}
	b.level -= cost
	b.used += cost
	return true, 0
}

// Refund puts the cost of a request that no endpoint ran back into the bucket.
func (l *Limiter) Refund(team string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[team]; b != nil && b.limit.Rate > 0 {
		b.level += cost
		b.used -= cost
	}
}

// LocalUse returns this instance's use by team, for its reports to the other instances.
func (l *Limiter) LocalUse(now time.Time) []Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.connectedShare(now)
	uses := make([]Use, 0, len(l.buckets))
	for name, b := range l.buckets {
		if b.limit.Rate <= 0 {
			continue
		}
		b.refill(now, share)
		uses = append(uses, Use{Team: name, Total: b.used, Level: b.level})
	}
	return uses
}

// Observe applies the report of another instance to the buckets. boot identifies the process start of that instance and
// must not be 0.
func (l *Limiter) Observe(now time.Time, name string, boot uint64, uses []Use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	peer := l.peers[name]
	if peer == nil {
		peer = &peerState{used: make(map[string]float64)}
		l.peers[name] = peer
	}
	share := l.connectedShare(now)
	withheldFor := l.withheldFor(now, peer)
	peerReportedBefore := peer.boot != 0
	if peer.boot != boot {
		peer.boot, peer.used = boot, make(map[string]float64)
	}
	peer.lastReportAt = now
	for _, use := range uses {
		l.applyUse(now, peer, use, share, withheldFor, peerReportedBefore)
	}
	if l.awaitingLevels && len(uses) > 0 {
		l.awaitingLevels = false
	}
}

// withheldFor returns how long the refill of the bucket excluded the peer's share, because the peer was not connected.
func (l *Limiter) withheldFor(now time.Time, peer *peerState) time.Duration {
	if peer.boot == 0 {
		return 0
	}
	return max(now.Sub(peer.lastReportAt)-l.cfg.PeerTimeout, 0)
}

// applyUse subtracts the increase of the peer's use since its previous report from the team's bucket. The units
// withheld from the refill while the peer was not connected cover a part of that increase. While awaitingLevels is set,
// it takes the level over from the report instead.
func (l *Limiter) applyUse(
	now time.Time, peer *peerState, use Use, share float64, withheldFor time.Duration, peerReportedBefore bool,
) {
	b := l.buckets[use.Team]
	previous, teamReportedBefore := peer.used[use.Team]
	peer.used[use.Team] = use.Total
	if b == nil {
		return
	}
	b.refill(now, share)
	if l.awaitingLevels {
		// The reported level accounts for all use that this process has not received reports of, but possibly not yet for
		// this process's own.
		b.level = min(use.Level-b.used, b.capacity())
		return
	}
	if !teamReportedBefore && !peerReportedBefore {
		return // the level accounts for the use before the peer's first report already, or no other instance counts that use
	}
	withheld := b.refillRate / float64(len(l.peers)+1) * withheldFor.Seconds()
	b.level -= max(use.Total-previous-withheld, 0)
}
