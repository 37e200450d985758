// Package quota divides the teams' limits over all entry instances and data
// centres by grants that expire, and enforces them at each instance.
//
// The holder of the lease "quota" divides each limit over the data centres; an
// owner in each data centre divides that share over its instances, with the
// same Divider: its limit is Grant.Share, its grants end with the data centre's
// grant, and it acknowledges that grant once Fits holds.
package quota

import (
	"sort"
	"time"
)

// Owner plans the grants of all teams over one set of members. It is owned by
// one goroutine.
//
// State: two Dividers for each team with a limit in force.
type Owner struct {
	cfg Config
	// fence is that of the owner's lease; resumed is when the lease was taken.
	fence    uint64
	resumed  time.Time
	tokens   map[string]*Divider
	requests map[string]*Divider
}

// TeamDemand is what the Owner knows of one team.
type TeamDemand struct {
	Team   string
	Weight float64
	// TokenLimit and RequestLimit are per second over all members; 0 means no limit.
	TokenLimit   float64
	RequestLimit float64
	// TokenGrant and RequestGrant are this data centre's grants when they are divided further over its instances; the
	// limits are then their rates. Nil means that the limits come from the configuration.
	TokenGrant   *Grant
	RequestGrant *Grant
	// Tokens is the demand of each member in tokens per second. All members are listed.
	Tokens []Demand
}

// TeamGrants are the grants of one team; an empty list means no limit.
type TeamGrants struct {
	Team     string
	Tokens   []Grant
	Requests []Grant
}

// NewOwner returns an Owner without grants for the holder of a lease with the given fence. Until one TTL after resumed,
// the time at which the lease was taken from a former holder, it grants only floors; the zero time means that there was
// no former holder.
func NewOwner(cfg Config, fence uint64, resumed time.Time) *Owner {
	return &Owner{cfg: cfg, fence: fence, resumed: resumed, tokens: make(map[string]*Divider), requests: make(map[string]*Divider)}
}

// Plan divides the limits. When the teams together demand more than the
// capacity (tokens per second; 0 for unknown), each is also limited to its
// weighted fair share.
func (o *Owner) Plan(now time.Time, capacity float64, teams []TeamDemand) []TeamGrants {
	teams = append([]TeamDemand(nil), teams...)
	sort.Slice(teams, func(i, j int) bool { return teams[i].Team < teams[j].Team })
	limits := EffectiveLimits(capacity, teams)
	plan := make([]TeamGrants, len(teams))
	for i, t := range teams {
		plan[i] = TeamGrants{Team: t.Team}
		if limits[i] > 0 {
			plan[i].Tokens = o.divider(o.tokens, t.Team).Divide(now, limitOf(now, limits[i], t.TokenGrant), t.Tokens)
		}
		if t.RequestLimit > 0 {
			plan[i].Requests = o.divider(o.requests, t.Team).Divide(now, limitOf(now, t.RequestLimit, t.RequestGrant), t.Tokens)
		}
	}
	o.forget(teams)
	return plan
}

// limitOf is what is divided: a data centre's grant, or a configured rate.
func limitOf(now time.Time, rate float64, grant *Grant) Limit {
	if grant == nil {
		return FixedLimit(rate)
	}
	return grant.Share(now)
}

// Ack records that a member uses its grants of a team.
func (o *Owner) Ack(team, member string, tokens, requests uint64) {
	if d := o.tokens[team]; d != nil {
		d.Ack(member, tokens)
	}
	if d := o.requests[team]; d != nil {
		d.Ack(member, requests)
	}
}

func (o *Owner) divider(m map[string]*Divider, team string) *Divider {
	d := m[team]
	if d == nil {
		d = NewDivider(o.cfg)
		d.Resume(o.resumed, o.fence)
		m[team] = d
	}
	return d
}

// forget drops the state of teams that were deleted.
func (o *Owner) forget(teams []TeamDemand) {
	listed := make(map[string]bool, len(teams))
	for _, t := range teams {
		listed[t.Team] = true
	}
	for _, m := range []map[string]*Divider{o.tokens, o.requests} {
		for team := range m {
			if !listed[team] {
				delete(m, team)
			}
		}
	}
}

// EffectiveLimits returns each team's limit in tokens per second, 0 for none:
// the configured one, and under contention the weighted fair share.
func EffectiveLimits(capacity float64, teams []TeamDemand) []float64 {
	limits := make([]float64, len(teams))
	claims := make([]Claim, len(teams))
	total := 0.0
	for i, t := range teams {
		limits[i] = t.TokenLimit
		claims[i] = Claim{Weight: max(1, t.Weight), Demand: t.demand()}
		total += claims[i].Demand
	}
	if capacity <= 0 || total <= capacity {
		return limits
	}
	for i, share := range FairShares(capacity, claims) {
		if share < claims[i].Demand {
			limits[i] = share
		}
	}
	return limits
}

// demand is the team's demand over all members, up to its limit.
func (t *TeamDemand) demand() float64 {
	sum := 0.0
	for _, d := range t.Tokens {
		sum += d.Rate
	}
	if t.TokenLimit > 0 {
		return min(sum, t.TokenLimit)
	}
	return sum
}
