// Package quota divides the teams' rate limits among all data centres and entry
// instances by grants that expire, and enforces them at each instance.
//
// The holder of the lease "quota" divides each limit among the data centres. An
// owner in each data centre divides that data centre's grant among its instances
// with the same Divider: its limit is Grant.Share, its grants expire no later
// than the data centre's grant, and it may acknowledge that grant once
// Divider.Fits returns true.
//
// Package control runs the Owners on its goroutine. Each instance of package
// knapweedhoist enforces its own grants with a Limiter.
package quota

import (
	"sort"
	"time"
)

// Owner divides the limits of all teams among one set of members. It is not safe
// for concurrent use; one goroutine owns it.
//
// State: two Dividers for each team with a limit in force.
type Owner struct {
	cfg Config
	// fence is the owner's fencing token; takenOverAt is when it took over from a former owner.
	fence       uint64
	takenOverAt time.Time
	// tokens and requests hold the Divider of each team.
	tokens   map[string]*Divider
	requests map[string]*Divider
}

// TeamDemand holds the limits of one team and the demand of each member.
type TeamDemand struct {
	Team   string
	Weight float64
	// TokenLimit and RequestLimit are per second over all members; 0 means no limit.
	TokenLimit   float64
	RequestLimit float64
	// TokenGrant and RequestGrant are the data centre's grants if they are divided among its instances; the limits are
	// then their rates. Nil means that the limits come from the configuration.
	TokenGrant   *Grant
	RequestGrant *Grant
	// Demands is the demand of each member in tokens per second. It must list all members.
	Demands []Demand
}

// TeamGrants holds the grants of one team; an empty list means no limit.
type TeamGrants struct {
	Team     string
	Tokens   []Grant
	Requests []Grant
}

// NewOwner returns an Owner without grants, with the given fencing token. Until one TTL after takenOverAt, the time at
// which it took over from a former owner, it grants only floors; the zero time means that there was no former owner.
func NewOwner(cfg Config, fence uint64, takenOverAt time.Time) *Owner {
	return &Owner{
		cfg: cfg, fence: fence, takenOverAt: takenOverAt,
		tokens: make(map[string]*Divider), requests: make(map[string]*Divider),
	}
}

// Plan divides the limits and returns the grants of each team, ordered by team
// name. If the teams together demand more than the capacity (tokens per second;
// 0 if unknown), each is also limited to its weighted fair share.
func (o *Owner) Plan(now time.Time, capacity float64, teams []TeamDemand) []TeamGrants {
	teams = append([]TeamDemand(nil), teams...)
	sort.Slice(teams, func(i, j int) bool { return teams[i].Team < teams[j].Team })
	limits := EffectiveLimits(capacity, teams)
	plan := make([]TeamGrants, len(teams))
	for i, t := range teams {
		plan[i] = TeamGrants{Team: t.Team}
		if limits[i] > 0 {
			plan[i].Tokens = o.divider(o.tokens, t.Team).Divide(now, limitToDivide(now, limits[i], t.TokenGrant), t.Demands)
		}
		if t.RequestLimit > 0 {
			plan[i].Requests = o.divider(o.requests, t.Team).Divide(
				now, limitToDivide(now, t.RequestLimit, t.RequestGrant), t.Demands,
			)
		}
	}
	o.dropDeletedTeams(teams)
	return plan
}

// limitToDivide returns the Limit for a data centre's grant or, if grant is nil, for a configured rate.
func limitToDivide(now time.Time, rate float64, grant *Grant) Limit {
	if grant == nil {
		return FixedLimit(rate)
	}
	return grant.Share(now)
}

// Ack records that a member uses the grants of a team with these sequence numbers.
func (o *Owner) Ack(team, member string, tokens, requests uint64) {
	if d := o.tokens[team]; d != nil {
		d.Ack(member, tokens)
	}
	if d := o.requests[team]; d != nil {
		d.Ack(member, requests)
	}
}

// divider returns the Divider of a team in m, and creates it if necessary.
func (o *Owner) divider(m map[string]*Divider, team string) *Divider {
	d := m[team]
	if d == nil {
		d = NewDivider(o.cfg)
		d.TakeOver(o.takenOverAt, o.fence)
		m[team] = d
	}
	return d
}

// dropDeletedTeams drops the Dividers of teams that are not listed.
func (o *Owner) dropDeletedTeams(teams []TeamDemand) {
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

// EffectiveLimits returns the limit of each team in tokens per second, 0 if it has
// none: the configured one, or the team's weighted fair share where that is less
// than its demand.
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

// demand returns the sum of the members' demands, at most the team's limit.
func (t *TeamDemand) demand() float64 {
	sum := 0.0
	for _, d := range t.Demands {
		sum += d.Rate
	}
	if t.TokenLimit > 0 {
		return min(sum, t.TokenLimit)
	}
	return sum
}
