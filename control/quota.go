package control

import (
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/membership"
	"knapweedhoist/quota"
	"knapweedhoist/wire"
)

// quotaOwnerKey is the key by which the owner that divides a data centre's
// grants over its instances is chosen.
func quotaOwnerKey(datacentre string) string {
	return "quota/" + datacentre
}

// QuotaOwner returns the owner of a data centre's grants, nil when nobody is live there.
func QuotaOwner(fleet *membership.View, datacentre string) *membership.Member {
	chosen := membership.Choose(fleet.LiveIn(datacentre), quotaOwnerKey(datacentre), 1)
	if len(chosen) == 0 {
		return nil
	}
	return chosen[0]
}

// Limits of the second level. An instance that its own data centre's owner
// cannot reach is rare, so little is kept back for it.
const (
	instanceFloorShare = 0.02
	maxInstances       = 64
)

// teamGrant is what a data centre may use of a team's limit.
type teamGrant struct {
	tokens, requests *quota.Grant
}

// divider divides the limits of all teams over members while this instance is
// responsible for it.
type divider struct {
	owner   *quota.Owner
	fence   uint64
	demands map[string]map[string]float64
	plan    map[string]map[string]teamGrant
	planned time.Time
	cfg     quota.Config
}

// planInterval is the least time between two divisions.
const planInterval = time.Second

// newDivider returns a divider of an owner that became responsible at now.
// fence orders its grants after those of former owners.
func newDivider(cfg quota.Config, fence uint64, now time.Time) *divider {
	return &divider{
		owner: quota.NewOwner(cfg, fence, now), fence: fence, cfg: cfg,
		demands: make(map[string]map[string]float64), plan: make(map[string]map[string]teamGrant),
	}
}

// quotaAsked answers a member's ask, when this instance is responsible.
func (c *Core) quotaAsked(now time.Time, asked QuotaAsked) []Effect {
	refused := []Effect{QuotaAnswered{Ref: asked.Ref, Reply: &wire.QuotaReply{}}}
	if c.config.snapshot() == nil {
		return refused
	}
	d, members := c.dividerOf(now, asked.Ask.GetLevel())
	if d == nil {
		return refused
	}
	d.note(asked.Ask)
	teams := c.limitedTeams(now, asked.Ask.GetLevel())
	d.divide(now, teams, members)
	return []Effect{QuotaAnswered{Ref: asked.Ref, Reply: d.reply(now, asked.Ask.GetMember(), teams)}}
}

// dividerOf returns the divider of a level and its members, nil when this
// instance is not responsible.
func (c *Core) dividerOf(now time.Time, level wire.QuotaLevel) (*divider, []string) {
	fleet := c.view.Fleet
	if level == wire.QuotaLevel_QUOTA_LEVEL_DATACENTRE {
		fence, held := c.keepers[DutyQuota].Held(now)
		if !held {
			c.datacentres = nil
			return nil, nil
		}
		members := datacentresOf(fleet)
		if c.datacentres == nil || c.datacentres.cfg.FloorMembers < len(members) {
			c.datacentres = newDivider(quota.DefaultConfig(len(members)), fence, now)
		}
		return c.datacentres, members
	}
	owner := QuotaOwner(fleet, fleet.Self.Datacentre)
	if owner != fleet.Self || c.departing {
		c.instances = nil
		return nil, nil
	}
	if c.instances == nil {
		cfg := quota.DefaultConfig(maxInstances)
		cfg.FloorShare = instanceFloorShare
		// Owners inside a data centre have no lease; they follow each other at heartbeat
		// intervals, so that the time orders them.
		c.instances = newDivider(cfg, uint64(now.UnixMilli()), now)
	}
	return c.instances, incarnations(fleet.LiveIn(fleet.Self.Datacentre))
}

func datacentresOf(fleet *membership.View) []string {
	known := make(map[string]struct{})
	for _, m := range fleet.Members {
		known[m.Datacentre] = struct{}{}
	}
	return sortedIDs(known)
}

func incarnations(members []*membership.Member) []string {
	ids := make([]string, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.Incarnation)
	}
	return ids
}

// limitedTeams returns the teams with a limit, and what is to be divided at the level.
func (c *Core) limitedTeams(now time.Time, level wire.QuotaLevel) []quota.TeamDemand {
	var teams []quota.TeamDemand
	for _, team := range c.config.snapshot().Teams() {
		if !Limited(team) {
			continue
		}
		demand := quota.TeamDemand{
			Team: team.Name, Weight: float64(team.Weight),
			TokenLimit: team.TokensPerSecond, RequestLimit: team.RequestsPerSecond,
		}
		if level == wire.QuotaLevel_QUOTA_LEVEL_INSTANCE && !c.shareHere(now, &demand) {
			continue
		}
		teams = append(teams, demand)
	}
	return teams
}

// Limited reports whether a team has a limit.
func Limited(team *catalog.Team) bool {
	return team.TokensPerSecond > 0 || team.RequestsPerSecond > 0
}

// shareHere replaces a team's limits by this data centre's part of them.
func (c *Core) shareHere(now time.Time, demand *quota.TeamDemand) bool {
	grant, known := c.granted[demand.Team]
	if !known {
		return false
	}
	demand.TokenGrant, demand.RequestGrant = grant.tokens, grant.requests
	if grant.tokens != nil {
		demand.TokenLimit = grant.tokens.Share(now).Rate
	}
	if grant.requests != nil {
		demand.RequestLimit = grant.requests.Share(now).Rate
	}
	return true
}

// note records a member's demand and which grants it uses. Data centres do not
// acknowledge: their instances may still use an older, larger grant until it
// expires.
func (d *divider) note(ask *wire.QuotaAsk) {
	demand := make(map[string]float64, len(ask.GetDemands()))
	for _, team := range ask.GetDemands() {
		demand[team.GetTeam()] = team.GetTokens()
		if ask.GetLevel() == wire.QuotaLevel_QUOTA_LEVEL_INSTANCE {
			d.owner.Ack(team.GetTeam(), ask.GetMember(), team.GetTokenSequence(), team.GetRequestSequence())
		}
	}
	d.demands[ask.GetMember()] = demand
}

// divide makes a new plan when the last one is old enough.
func (d *divider) divide(now time.Time, teams []quota.TeamDemand, members []string) {
	if now.Sub(d.planned) < planInterval {
		return
	}
	d.planned = now
	for i := range teams {
		for _, member := range members {
			teams[i].Tokens = append(teams[i].Tokens, quota.Demand{
				Member: member, Rate: d.demands[member][teams[i].Team],
			})
		}
	}
	d.plan = make(map[string]map[string]teamGrant)
	for _, planned := range d.owner.Plan(now, 0, teams) {
		for i := range planned.Tokens {
			d.put(planned.Tokens[i].Member, planned.Team, teamGrant{tokens: &planned.Tokens[i]})
		}
		for i := range planned.Requests {
			d.put(planned.Requests[i].Member, planned.Team, teamGrant{requests: &planned.Requests[i]})
		}
	}
}

func (d *divider) put(member, team string, grant teamGrant) {
	if d.plan[member] == nil {
		d.plan[member] = make(map[string]teamGrant)
	}
	merged := d.plan[member][team]
	if grant.tokens != nil {
		merged.tokens = grant.tokens
	}
	if grant.requests != nil {
		merged.requests = grant.requests
	}
	d.plan[member][team] = merged
}

// reply returns the member's grants; without a plan they are its floors.
func (d *divider) reply(now time.Time, member string, teams []quota.TeamDemand) *wire.QuotaReply {
	reply := &wire.QuotaReply{Owner: true}
	for _, team := range teams {
		grant := d.plan[member][team.Team]
		reply.Grants = append(reply.Grants, &wire.QuotaGrants{
			Team:     team.Team,
			Tokens:   d.grantMessage(now, grant.tokens, team.TokenLimit, team.TokenGrant),
			Requests: d.grantMessage(now, grant.requests, team.RequestLimit, team.RequestGrant),
		})
	}
	return reply
}

// grantMessage returns the member's grant, its floor before the first plan, or
// nil when there is no limit. shared is the grant that is divided, if it is one.
func (d *divider) grantMessage(now time.Time, grant *quota.Grant, limit float64, shared *quota.Grant) *wire.QuotaGrant {
	if limit <= 0 && shared == nil {
		return nil
	}
	if grant == nil {
		floorRate := limit
		if shared != nil {
			floorRate = shared.Floor
		}
		floor := d.cfg.Floor(floorRate)
		return &wire.QuotaGrant{Rate: floor, Floor: floor, RemainingMs: d.cfg.TTL.Milliseconds(), Fence: d.fence}
	}
	return &wire.QuotaGrant{
		Rate: grant.Rate, Floor: grant.Floor, Sequence: grant.Sequence, Fence: grant.Fence,
		RemainingMs: max(0, grant.Until.Sub(now).Milliseconds()),
	}
}

// grantsOf reads a reply. Times count from before the ask was sent, so that a
// grant never holds longer here than at its owner.
func grantsOf(granted QuotaGranted) map[string]teamGrant {
	grants := make(map[string]teamGrant)
	for _, team := range granted.Reply.GetGrants() {
		grants[team.GetTeam()] = teamGrant{
			tokens: GrantFromMessage(granted.AskedAt, team.GetTokens()), requests: GrantFromMessage(granted.AskedAt, team.GetRequests()),
		}
	}
	return grants
}

// GrantFromMessage reads a grant that was asked for at askedAt; nil means no limit.
func GrantFromMessage(askedAt time.Time, message *wire.QuotaGrant) *quota.Grant {
	if message == nil {
		return nil
	}
	return &quota.Grant{
		Fence: message.GetFence(), Sequence: message.GetSequence(), Rate: message.GetRate(), Floor: message.GetFloor(),
		Until: askedAt.Add(time.Duration(message.GetRemainingMs()) * time.Millisecond),
	}
}

// demandHere sums up the demands of this data centre's instances.
func (c *Core) demandHere() []*wire.QuotaDemand {
	if c.instances == nil {
		return nil
	}
	sums := make(map[string]float64)
	for _, m := range c.view.Fleet.LiveIn(c.cfg.Member.Datacentre) {
		for team, rate := range c.instances.demands[m.Incarnation] {
			sums[team] += rate
		}
	}
	demands := make([]*wire.QuotaDemand, 0, len(sums))
	for _, team := range sortedIDs(sums) {
		demands = append(demands, &wire.QuotaDemand{Team: team, Tokens: sums[team]})
	}
	return demands
}
