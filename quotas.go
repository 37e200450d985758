package knapweedhoist

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/control"
	"knapweedhoist/internal/wait"
	"knapweedhoist/lease"
	"knapweedhoist/membership"
	"knapweedhoist/objectapi"
	"knapweedhoist/quota"
	"knapweedhoist/wire"
)

// quotas asks for the grants of this instance and, where it owns those of the
// data centre, for them too.
type quotas struct {
	instance *Instance
	limiter  *quota.Limiter
	// leaseHolder is the incarnation that last answered as the holder of the lease "quota"; only run uses it.
	leaseHolder string

	mu sync.Mutex // guards held
	// held are the sequence numbers of the grants in use, by team.
	held map[string]*wire.QuotaDemand
}

func newQuotas(i *Instance) *quotas {
	return &quotas{instance: i, limiter: quota.NewLimiter(), held: make(map[string]*wire.QuotaDemand)}
}

// Times between asks: an owner answers askersPerSecond instances a second.
const (
	quotaInterval   = time.Second
	askersPerSecond = 20
	quotaTimeout    = time.Second
)

// run asks until ctx ends.
func (q *quotas) run(ctx context.Context) {
	for ctx.Err() == nil {
		view := q.instance.view.Load()
		if teams := limitedTeams(view); len(teams) > 0 {
			q.round(ctx, view.Fleet, teams)
		}
		near := len(view.Fleet.LiveIn(q.instance.cfg.Datacentre))
		wait.For(ctx, max(quotaInterval, time.Duration(near)*time.Second/askersPerSecond))
	}
}

func limitedTeams(view *control.View) []*catalog.Team {
	if view.Catalog == nil {
		return nil
	}
	var limited []*catalog.Team
	for _, team := range view.Catalog.Teams() {
		if control.HasLimit(team) {
			limited = append(limited, team)
		}
	}
	return limited
}

func (q *quotas) round(ctx context.Context, fleet *membership.View, teams []*catalog.Team) {
	owner := control.QuotaOwner(fleet, q.instance.cfg.Datacentre)
	if owner == nil {
		return
	}
	if owner == fleet.Self {
		q.askForDatacentre(ctx, fleet)
	}
	ask := &wire.QuotaAsk{
		Level: wire.QuotaLevel_QUOTA_LEVEL_INSTANCE, Member: q.instance.incarnation, Demands: q.demands(teams),
	}
	askedAt := time.Now()
	if reply := q.ask(ctx, owner, ask); reply.GetOwner() {
		q.apply(askedAt, reply)
	}
}

// demands are what the teams could use here.
func (q *quotas) demands(teams []*catalog.Team) []*wire.QuotaDemand {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	demands := make([]*wire.QuotaDemand, 0, len(teams))
	for _, team := range teams {
		held := q.held[team.Name]
		demands = append(demands, &wire.QuotaDemand{
			Team: team.Name, Tokens: q.limiter.Demand(now, team.Name),
			TokenSequence: held.GetTokenSequence(), RequestSequence: held.GetRequestSequence(),
		})
	}
	return demands
}

// askForDatacentre asks the holder of the lease "quota" for this data centre's grants.
func (q *quotas) askForDatacentre(ctx context.Context, fleet *membership.View) {
	ask := &wire.QuotaAsk{
		Level: wire.QuotaLevel_QUOTA_LEVEL_DATACENTRE, Member: q.instance.cfg.Datacentre,
		Demands: q.datacentreDemands(ctx),
	}
	holder := q.holder(ctx, fleet)
	if holder == nil {
		return
	}
	askedAt := time.Now()
	reply := q.ask(ctx, holder, ask)
	if !reply.GetOwner() {
		q.leaseHolder = ""
		return
	}
	q.instance.hub.post(ctx, control.QuotaGranted{RequestedAt: askedAt, Reply: reply})
}

// holder returns the holder of the lease "quota". It is read from the platform
// when the last one known does not answer as the holder any more; one instance
// of each data centre does so at most every quotaInterval.
func (q *quotas) holder(ctx context.Context, fleet *membership.View) *membership.Member {
	if q.leaseHolder == "" {
		reply, err := q.instance.store.Do(ctx, objectapi.Get(objectapi.KindLease, control.DutyQuota))
		if err != nil {
			return nil
		}
		var record lease.Record
		if err := json.Unmarshal(reply.Object.Value, &record); err != nil {
			q.instance.lg.Error("lease record cannot be decoded", "step", "quota", "error", err.Error())
			return nil
		}
		q.leaseHolder = record.Incarnation
	}
	return fleet.Member(q.leaseHolder)
}

// datacentreDemands sums up the demand of this data centre from what its
// instances asked here.
func (q *quotas) datacentreDemands(ctx context.Context) []*wire.QuotaDemand {
	ref, answer := q.instance.hub.demands.open()
	bounded, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	q.instance.hub.post(bounded, control.DemandRequested{Ref: ref})
	demands, err := q.instance.hub.demands.wait(bounded, ref, answer)
	if err != nil {
		return nil
	}
	return demands
}

// ask asks a member, which may be this instance; nil means no answer.
func (q *quotas) ask(ctx context.Context, m *membership.Member, ask *wire.QuotaAsk) *wire.QuotaReply {
	bounded, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	if m.Incarnation == q.instance.incarnation {
		reply, err := q.instance.askQuota(bounded, ask)
		if err != nil {
			return nil
		}
		return reply
	}
	answer, err := q.instance.callPeer(bounded, m.Incarnation, &wire.Call{Body: &wire.Call_Quota{Quota: ask}})
	if err != nil {
		q.instance.lg.Debug("quota was not answered", "step", "quota", "peer", m.ID, "error", err.Error())
		return nil
	}
	return answer.GetQuota()
}

// askQuota passes an ask to the control goroutine.
func (i *Instance) askQuota(ctx context.Context, ask *wire.QuotaAsk) (*wire.QuotaReply, error) {
	ref, answer := i.hub.quotas.open()
	i.hub.post(ctx, control.QuotaRequested{Ref: ref, Request: ask})
	return i.hub.quotas.wait(ctx, ref, answer)
}

// apply puts the grants of a reply in force.
func (q *quotas) apply(askedAt time.Time, reply *wire.QuotaReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for _, grant := range reply.GetGrants() {
		tokens := control.GrantFromMessage(askedAt, grant.GetTokens())
		requests := control.GrantFromMessage(askedAt, grant.GetRequests())
		if !q.limiter.SetGrants(now, grant.GetTeam(), tokens, requests) {
			continue
		}
		q.held[grant.GetTeam()] = &wire.QuotaDemand{
			TokenSequence: grant.GetTokens().GetSequence(), RequestSequence: grant.GetRequests().GetSequence(),
		}
	}
}

// follow adapts the limits to a new configuration: a team that got a limit has
// its floor until the first grant, and one that lost it is free at once.
func (q *quotas) follow(view *control.View) {
	if view.Catalog == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	limited := make(map[string]struct{})
	for _, team := range limitedTeams(view) {
		limited[team.Name] = struct{}{}
		if _, known := q.held[team.Name]; !known {
			q.held[team.Name] = &wire.QuotaDemand{}
			q.limiter.SetGrants(time.Now(), team.Name, firstGrant(team.TokensPerSecond), firstGrant(team.RequestsPerSecond))
		}
	}
	for name := range q.held {
		if _, found := limited[name]; !found {
			delete(q.held, name)
			q.limiter.Remove(name)
		}
	}
}

// firstShare is the part of a limit that an instance uses before its first
// grant. 64 instances in each of 6 data centres stay below the limit with it.
const firstShare = 1.0 / (64 * 6)

func firstGrant(limit float64) *quota.Grant {
	if limit <= 0 {
		return nil
	}
	return &quota.Grant{Floor: limit * firstShare}
}
