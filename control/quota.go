package control

import (
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/membership"
	"knapweedhoist/quota"
	"knapweedhoist/wire"
)

// quotaOwnerKey returns the rendezvous hashing key that selects the owner which
// divides a data centre's grants among its instances.
func quotaOwnerKey(datacentre string) string {
	return "quota/" + datacentre
}

// QuotaOwner returns the instance that divides a data centre's grants among its
// instances; nil if no instance is live there.
func QuotaOwner(fleet *membership.View, datacentre string) *membership.Member {
	chosen := membership.Choose(fleet.LiveIn(datacentre), quotaOwnerKey(datacentre), 1)
	if len(chosen) == 0 {
		return nil
	}
	return chosen[0]
}

// Parameters of the division of a data centre's grants among its instances.
const (
	// instanceFloorShare is the quota.Config.FloorShare of the instances. It is small because an instance is rarely
	// unreachable from its own data centre's owner.
	instanceFloorShare = 0.02
	// maxInstances is the largest number of instances that a data centre can have.
	maxInstances = 64
)

// grantPair holds the token and request grants of one member for one team; nil means no limit.
type grantPair struct {
	tokens, requests *quota.Grant
}

// quotaPlanner divides the limits of all teams among the members of one level (data
// centres, or the instances of a data centre) while this instance is their owner.
type quotaPlanner struct {
	owner *quota.Owner
	fence uint64
	// demandsByMember holds the reported demands in tokens per second, by member and team.
	demandsByMember map[string]map[string]float64
	// planByMember holds the current grants, by member and team.
	planByMember map[string]map[string]grantPair
	plannedAt    time.Time
	cfg          quota.Config
}

// planInterval is the least time between two plans.
const planInterval = time.Second

// newQuotaPlanner returns the planner of an instance that became the owner at now.
// fence orders its grants after those of former owners.
func newQuotaPlanner(cfg quota.Config, fence uint64, now time.Time) *quotaPlanner {
	return &quotaPlanner{
		owner: quota.NewOwner(cfg, fence, now), fence: fence, cfg: cfg,
		demandsByMember: make(map[string]map[string]float64), planByMember: make(map[string]map[string]grantPair),
	}
}

// answerQuotaRequest answers a member with its grants. The reply is empty if this
// instance is not the owner or has no configuration yet.
func (c *Core) answerQuotaRequest(now time.Time, event QuotaRequested) []Effect {
	emptyReply := []Effect{QuotaAnswered{Ref: event.Ref, Reply: &wire.QuotaReply{}}}
	if c.configuration.snapshot() == nil {
		return emptyReply
	}
	p, members := c.plannerFor(now, event.Request.GetLevel())
	if p == nil {
		return emptyReply
	}
	p.recordDemand(event.Request)
	teams := c.limitedTeams(now, event.Request.GetLevel())
	p.updatePlan(now, teams, members)
	return []Effect{QuotaAnswered{Ref: event.Ref, Reply: p.reply(now, event.Request.GetMember(), teams)}}
}

// plannerFor returns the planner of a level, which it creates if necessary, and the
// level's members: data centres by name, or instances by incarnation. It replaces the
// planner of the data centres when their number has grown. If this
// instance is not the owner, it drops the planner and returns nil.
func (c *Core) plannerFor(now time.Time, level wire.QuotaLevel) (*quotaPlanner, []string) {
	fleet := c.view.Fleet
	if level == wire.QuotaLevel_QUOTA_LEVEL_DATACENTRE {
		fence, held := c.keepers[DutyQuota].Held(now)
		if !held {
			c.datacentrePlanner = nil
			return nil, nil
		}
		members := datacentreNames(fleet)
		if c.datacentrePlanner == nil || c.datacentrePlanner.cfg.FloorMembers < len(members) {
			c.datacentrePlanner = newQuotaPlanner(quota.DefaultConfig(len(members)), fence, now)
		}
		return c.datacentrePlanner, members
	}
	owner := QuotaOwner(fleet, fleet.Self.Datacentre)
	if owner != fleet.Self || c.leaving {
		c.instancePlanner = nil
		return nil, nil
	}
	if c.instancePlanner == nil {
		cfg := quota.DefaultConfig(maxInstances)
		cfg.FloorShare = instanceFloorShare
		// Owners in a data centre hold no lease. They succeed each other at heartbeat intervals, so
		// that the wall time in milliseconds orders their grants like a fencing token.
		c.instancePlanner = newQuotaPlanner(cfg, uint64(now.UnixMilli()), now)
	}
	return c.instancePlanner, incarnations(fleet.LiveIn(fleet.Self.Datacentre))
}

// datacentreNames returns the data centres of all known members, sorted.
func datacentreNames(fleet *membership.View) []string {
	names := make(map[string]struct{})
	for _, m := range fleet.Members {
		names[m.Datacentre] = struct{}{}
	}
	return sortedKeys(names)
}

// incarnations returns the members' incarnations, in the same order.
func incarnations(members []*membership.Member) []string {
	ids := make([]string, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.Incarnation)
	}
	return ids
}

// limitedTeams returns the teams with a limit and the limits to divide at the
// level, without the members' demands. At the instance level, teams without a grant
// for this data centre are left out.
func (c *Core) limitedTeams(now time.Time, level wire.QuotaLevel) []quota.TeamInput {
	var teams []quota.TeamInput
	for _, team := range c.configuration.snapshot().Teams() {
		if !HasLimit(team) {
			continue
		}
		input := quota.TeamInput{
			Team: team.Name, Weight: float64(team.Weight),
			TokenLimit: team.TokensPerSecond, RequestLimit: team.RequestsPerSecond,
		}
		if level == wire.QuotaLevel_QUOTA_LEVEL_INSTANCE && !c.useDatacentreGrants(now, &input) {
			continue
		}
		teams = append(teams, input)
	}
	return teams
}

// HasLimit reports whether a team has a token or request limit.
func HasLimit(team *catalog.Team) bool {
	return team.TokensPerSecond > 0 || team.RequestsPerSecond > 0
}

// useDatacentreGrants replaces a team's limits by this data centre's grants. It
// returns false if no grant was received yet.
func (c *Core) useDatacentreGrants(now time.Time, input *quota.TeamInput) bool {
	grants, known := c.datacentreGrants[input.Team]
	if !known {
		return false
	}
	input.TokenGrant, input.RequestGrant = grants.tokens, grants.requests
	if grants.tokens != nil {
		input.TokenLimit = grants.tokens.Share(now).Rate
	}
	if grants.requests != nil {
		input.RequestLimit = grants.requests.Share(now).Rate
	}
	return true
}

// recordDemand records a member's demand and the grants that it uses. Data centres do
// not acknowledge their grants, because their instances may use an older, larger
// grant until it expires.
func (p *quotaPlanner) recordDemand(request *wire.QuotaAsk) {
	demand := make(map[string]float64, len(request.GetDemands()))
	for _, team := range request.GetDemands() {
		demand[team.GetTeam()] = team.GetTokens()
		if request.GetLevel() == wire.QuotaLevel_QUOTA_LEVEL_INSTANCE {
			p.owner.Ack(team.GetTeam(), request.GetMember(), team.GetTokenSequence(), team.GetRequestSequence())
		}
	}
	p.demandsByMember[request.GetMember()] = demand
}

// updatePlan makes a new plan if the last one is at least planInterval old.
func (p *quotaPlanner) updatePlan(now time.Time, teams []quota.TeamInput, members []string) {
	if now.Sub(p.plannedAt) < planInterval {
		return
	}
	p.plannedAt = now
	for i := range teams {
		for _, member := range members {
			teams[i].Demands = append(teams[i].Demands, quota.Demand{
				Member: member, Rate: p.demandsByMember[member][teams[i].Team],
			})
		}
	}
	p.planByMember = make(map[string]map[string]grantPair)
	for _, planned := range p.owner.Plan(now, 0, teams) {
		for i := range planned.Tokens {
			p.addToPlan(planned.Tokens[i].Member, planned.Team, grantPair{tokens: &planned.Tokens[i]})
		}
		for i := range planned.Requests {
			p.addToPlan(planned.Requests[i].Member, planned.Team, grantPair{requests: &planned.Requests[i]})
		}
	}
}

// addToPlan adds the grants that are not nil to the member's plan.
func (p *quotaPlanner) addToPlan(member, team string, grants grantPair) {
	if p.planByMember[member] == nil {
		p.planByMember[member] = make(map[string]grantPair)
	}
	merged := p.planByMember[member][team]
	if grants.tokens != nil {
		merged.tokens = grants.tokens
	}
	if grants.requests != nil {
		merged.requests = grants.requests
	}
	p.planByMember[member][team] = merged
}

// reply returns the member's grants; they are its floors if the plan has none for
// it.
func (p *quotaPlanner) reply(now time.Time, member string, teams []quota.TeamInput) *wire.QuotaReply {
	reply := &wire.QuotaReply{Owner: true}
	for _, team := range teams {
		grants := p.planByMember[member][team.Team]
		reply.Grants = append(reply.Grants, &wire.QuotaGrants{
			Team:     team.Team,
			Tokens:   p.grantMessage(now, grants.tokens, team.TokenLimit, team.TokenGrant),
			Requests: p.grantMessage(now, grants.requests, team.RequestLimit, team.RequestGrant),
		})
	}
	return reply
}

// grantMessage encodes the member's grant. It returns the floor if grant is nil,
// and nil if there is no limit. dividedGrant is the data centre's grant that is
// divided, nil at the data centre level.
func (p *quotaPlanner) grantMessage(
	now time.Time, grant *quota.Grant, limit float64, dividedGrant *quota.Grant,
) *wire.QuotaGrant {
	if limit <= 0 && dividedGrant == nil {
		return nil
	}
	if grant == nil {
		floorRate := limit
		if dividedGrant != nil {
			floorRate = dividedGrant.Floor
		}
		floor := p.cfg.Floor(floorRate)
		return &wire.QuotaGrant{Rate: floor, Floor: floor, RemainingMs: p.cfg.TTL.Milliseconds(), Fence: p.fence}
	}
	return &wire.QuotaGrant{
		Rate: grant.Rate, Floor: grant.Floor, Sequence: grant.Sequence, Fence: grant.Fence,
		RemainingMs: max(0, grant.Until.Sub(now).Milliseconds()),
	}
}

// grantsFromReply decodes the grants of a reply. Their validity counts from the
// time just before the request was sent, so that a grant never expires later here
// than at its owner.
func grantsFromReply(granted QuotaGranted) map[string]grantPair {
	grants := make(map[string]grantPair)
	for _, team := range granted.Reply.GetGrants() {
		grants[team.GetTeam()] = grantPair{
			tokens:   GrantFromMessage(granted.RequestedAt, team.GetTokens()),
			requests: GrantFromMessage(granted.RequestedAt, team.GetRequests()),
		}
	}
	return grants
}

// GrantFromMessage decodes a grant that was requested at requestedAt. It returns nil,
// which means no limit, for a nil message.
func GrantFromMessage(requestedAt time.Time, message *wire.QuotaGrant) *quota.Grant {
	if message == nil {
		return nil
	}
	return &quota.Grant{
		Fence: message.GetFence(), Sequence: message.GetSequence(), Rate: message.GetRate(), Floor: message.GetFloor(),
		Until: requestedAt.Add(time.Duration(message.GetRemainingMs()) * time.Millisecond),
	}
}

// datacentreDemands returns the sum of the demands that the live instances of this
// data centre reported, by team; nil if this instance does not divide the data
// centre's grants.
func (c *Core) datacentreDemands() []*wire.QuotaDemand {
	if c.instancePlanner == nil {
		return nil
	}
	sums := make(map[string]float64)
	for _, m := range c.view.Fleet.LiveIn(c.cfg.Member.Datacentre) {
		for team, rate := range c.instancePlanner.demandsByMember[m.Incarnation] {
			sums[team] += rate
		}
	}
	demands := make([]*wire.QuotaDemand, 0, len(sums))
	for _, team := range sortedKeys(sums) {
		demands = append(demands, &wire.QuotaDemand{Team: team, Tokens: sums[team]})
	}
	return demands
}
