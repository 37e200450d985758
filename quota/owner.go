// Package quota divides the teams' rate limits among all data centres and entry
// instances by grants that expire, and enforces them at each instance.
//
// The holder of the lease "quota" divides each limit among the data centres. An
// owner in each data centre uses Dividers of its own to divide the data centre's
// grant (Grant.Share) among the instances. The grants that it issues while the
// data centre's grant is valid expire no later than that grant, and the owner may
// acknowledge that grant only once Divider.Fits returns true.
//
// Package control calls the Owners, all from one goroutine. Each entry instance
// enforces its own grants with a Limiter.
package quota

import (
	"sort"
	"time"
)

// Owner divides the limits of all teams among one set of members. It is not safe
// for concurrent use; one goroutine must make all calls.
//
// State: at most two Dividers for each team of the last Plan.
type Owner struct {
	cfg Config
	// fence is the owner's fencing token; takenOverAt is when it took over from a former owner.
	fence       uint64
	takenOverAt time.Time
	// tokens and requests hold the Divider of each team.
	tokens   map[string]*Divider
	requests map[string]*Divider
}

// TeamInput is the input of Owner.Plan for one team: its limits and the demand of each member.
type TeamInput struct {
	Team   string
	Weight float64
	// TokenLimit and RequestLimit are rates per second for all members together; 0 means no limit.
	TokenLimit   float64
	RequestLimit float64
	// TokenGrant and RequestGrant are set at the level of a data centre's instances: the grants that are divided.
	// TokenLimit and RequestLimit must then equal the current rates of these grants (see Grant.Share). Nil means that the
	// limits come from the configuration.
	TokenGrant   *Grant
	RequestGrant *Grant
	// Demands is the demand of each member in tokens per second, by which both limits are divided. It must list all
	// members.
	Demands []Demand
}

// TeamGrants holds the grants of one team; an empty list means no limit.
type TeamGrants struct {
	Team     string
	Tokens   []Grant
	Requests []Grant
}

// NewOwner returns an Owner without grants, with the given fencing token. Until one TTL after takenOverAt, the time at
// which it took over from a former owner, no grant is above the floor; the zero time means that there was no former owner.
func NewOwner(cfg Config, fence uint64, takenOverAt time.Time) *Owner {
	return &Owner{
		cfg: cfg, fence: fence, takenOverAt: takenOverAt,
		tokens: make(map[string]*Divider), requests: make(map[string]*Divider),
	}
}

// Plan divides the limits and returns the grants of each team, ordered by team
// name. If the teams together demand more than the capacity (tokens per second;
// 0 if unknown), each team whose demand exceeds its weighted fair share is
// limited to that share of tokens. A team's TokenGrant or RequestGrant is divided instead of the limit that it replaces.
func (o *Owner) Plan(now time.Time, capacity float64, teams []TeamInput) []TeamGrants {
	teams = append([]TeamInput(nil), teams...)
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
	o.dropUnlistedTeams(teams)
	return plan
}

// limitToDivide returns the Limit for a data centre's grant or, if grant is nil, for rate.
func limitToDivide(now time.Time, rate float64, grant *Grant) Limit {
	if grant == nil {
		return FixedLimit(rate)
	}
	return grant.Share(now)
}

// Ack records that a member uses the grants of a team with these sequence numbers.
func (o *Owner) Ack(team, member string, tokenSequence, requestSequence uint64) {
	if d := o.tokens[team]; d != nil {
		d.Ack(member, tokenSequence)
	}
	if d := o.requests[team]; d != nil {
		d.Ack(member, requestSequence)
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

// dropUnlistedTeams drops the Dividers of teams that are not listed.
func (o *Owner) dropUnlistedTeams(teams []TeamInput) {
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
// none: TeamInput.TokenLimit or, while the total demand exceeds capacity (tokens
// per second; 0 if unknown), the team's weighted fair share if that is less than
// its demand. A weight below 1 counts as 1.
func EffectiveLimits(capacity float64, teams []TeamInput) []float64 {
	limits := make([]float64, len(teams))
	claimants := make([]Claimant, len(teams))
	total := 0.0
	for i, t := range teams {
		limits[i] = t.TokenLimit
		claimants[i] = Claimant{Weight: max(1, t.Weight), Demand: t.demand()}
		total += claimants[i].Demand
	}
	if capacity <= 0 || total <= capacity {
		return limits
	}
	for i, share := range FairShares(capacity, claimants) {
		if share < claimants[i].Demand {
			limits[i] = share
		}
	}
	return limits
}

// demand returns the sum of the members' demands, at most the team's limit.
func (t *TeamInput) demand() float64 {
	sum := 0.0
	for _, d := range t.Demands {
		sum += d.Rate
	}
	if t.TokenLimit > 0 {
		return min(sum, t.TokenLimit)
	}
	return sum
}
