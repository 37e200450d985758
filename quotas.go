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

// quotas requests the grants of this instance and, where it is the quota owner
// of the data centre, also the grants of the data centre.
type quotas struct {
	instance *Instance
	limiter  *quota.Limiter
	// leaseHolder is the incarnation of the last known holder of the lease "quota", or empty; only the
	// goroutine of run uses it.
	leaseHolder string

	mu sync.Mutex // guards grantSequences
	// grantSequences holds the sequence numbers of the grants in use, by team.
	grantSequences map[string]*wire.QuotaDemand
}

func newQuotas(i *Instance) *quotas {
	return &quotas{instance: i, limiter: quota.NewLimiter(), grantSequences: make(map[string]*wire.QuotaDemand)}
}

// Timing of the quota requests. The interval grows with the number of instances,
// so that a quota owner answers at most requestersPerSecond instances per second.
const (
	quotaInterval       = time.Second
	requestersPerSecond = 20
	quotaTimeout        = time.Second
)

// run requests grants until ctx ends.
func (q *quotas) run(ctx context.Context) {
	for ctx.Err() == nil {
		view := q.instance.view.Load()
		if teams := limitedTeams(view); len(teams) > 0 {
			q.requestGrants(ctx, view.Fleet, teams)
		}
		localInstances := len(view.Fleet.LiveIn(q.instance.cfg.Datacentre))
		wait.For(ctx, max(quotaInterval, time.Duration(localInstances)*time.Second/requestersPerSecond))
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

func (q *quotas) requestGrants(ctx context.Context, fleet *membership.View, teams []*catalog.Team) {
	owner := control.QuotaOwner(fleet, q.instance.cfg.Datacentre)
	if owner == nil {
		return
	}
	if owner == fleet.Self {
		q.requestDatacentreGrants(ctx, fleet)
	}
	quotaRequest := &wire.QuotaAsk{
		Level: wire.QuotaLevel_QUOTA_LEVEL_INSTANCE, Member: q.instance.incarnation, Demands: q.demands(teams),
	}
	requestedAt := time.Now()
	if reply := q.sendQuotaRequest(ctx, owner, quotaRequest); reply.GetOwner() {
		q.apply(requestedAt, reply)
	}
}

// demands returns the demand of each team at this instance.
func (q *quotas) demands(teams []*catalog.Team) []*wire.QuotaDemand {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	demands := make([]*wire.QuotaDemand, 0, len(teams))
	for _, team := range teams {
		sequences := q.grantSequences[team.Name]
		demands = append(demands, &wire.QuotaDemand{
			Team: team.Name, Tokens: q.limiter.Demand(now, team.Name),
			TokenSequence: sequences.GetTokenSequence(), RequestSequence: sequences.GetRequestSequence(),
		})
	}
	return demands
}

// requestDatacentreGrants requests this data centre's grants from the holder of
// the lease "quota".
func (q *quotas) requestDatacentreGrants(ctx context.Context, fleet *membership.View) {
	quotaRequest := &wire.QuotaAsk{
		Level: wire.QuotaLevel_QUOTA_LEVEL_DATACENTRE, Member: q.instance.cfg.Datacentre,
		Demands: q.datacentreDemands(ctx),
	}
	holder := q.holder(ctx, fleet)
	if holder == nil {
		return
	}
	requestedAt := time.Now()
	reply := q.sendQuotaRequest(ctx, holder, quotaRequest)
	if !reply.GetOwner() {
		q.leaseHolder = ""
		return
	}
	q.instance.hub.post(ctx, control.QuotaGranted{RequestedAt: requestedAt, Reply: reply})
}

// holder returns the holder of the lease "quota", or nil if it is unknown. The
// lease record is read from the platform when no holder is known yet or the last
// known one no longer answers as the holder; one instance of each data centre does
// so at most every quotaInterval.
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

// datacentreDemands returns the total demand of this data centre, from the quota
// requests that its instances sent to this one.
func (q *quotas) datacentreDemands(ctx context.Context) []*wire.QuotaDemand {
	ref, answer := q.instance.hub.quotaDemands.register()
	bounded, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	q.instance.hub.post(bounded, control.DemandRequested{Ref: ref})
	demands, err := q.instance.hub.quotaDemands.wait(bounded, ref, answer)
	if err != nil {
		return nil
	}
	return demands
}

// sendQuotaRequest sends a quota request to a member, which may be this
// instance. It returns nil if there is no answer.
func (q *quotas) sendQuotaRequest(ctx context.Context, m *membership.Member, quotaRequest *wire.QuotaAsk) *wire.QuotaReply {
	bounded, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	if m.Incarnation == q.instance.incarnation {
		reply, err := q.instance.requestQuota(bounded, quotaRequest)
		if err != nil {
			return nil
		}
		return reply
	}
	answer, err := q.instance.callPeer(bounded, m.Incarnation, &wire.Call{Body: &wire.Call_Quota{Quota: quotaRequest}})
	if err != nil {
		q.instance.lg.Debug("quota request to the peer failed", "step", "quota", "peer", m.ID, "error", err.Error())
		return nil
	}
	return answer.GetQuota()
}

// requestQuota passes a quota request to the control goroutine and waits for
// the reply.
func (i *Instance) requestQuota(ctx context.Context, quotaRequest *wire.QuotaAsk) (*wire.QuotaReply, error) {
	ref, answer := i.hub.quotaReplies.register()
	i.hub.post(ctx, control.QuotaRequested{Ref: ref, Request: quotaRequest})
	return i.hub.quotaReplies.wait(ctx, ref, answer)
}

// apply sets the grants of a reply in the limiter. Grants that the limiter
// rejects are ignored.
func (q *quotas) apply(requestedAt time.Time, reply *wire.QuotaReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for _, grant := range reply.GetGrants() {
		tokens := control.GrantFromMessage(requestedAt, grant.GetTokens())
		requests := control.GrantFromMessage(requestedAt, grant.GetRequests())
		if !q.limiter.SetGrants(now, grant.GetTeam(), tokens, requests) {
			continue
		}
		q.grantSequences[grant.GetTeam()] = &wire.QuotaDemand{
			TokenSequence: grant.GetTokens().GetSequence(), RequestSequence: grant.GetRequests().GetSequence(),
		}
	}
}

// applyConfig updates the limits from a new configuration. A team with a new
// limit may use its floor until the first grant; a team whose limit was removed
// is unlimited at once.
func (q *quotas) applyConfig(view *control.View) {
	if view.Catalog == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	limited := make(map[string]struct{})
	for _, team := range limitedTeams(view) {
		limited[team.Name] = struct{}{}
		if _, known := q.grantSequences[team.Name]; !known {
			q.grantSequences[team.Name] = &wire.QuotaDemand{}
			q.limiter.SetGrants(time.Now(), team.Name, initialGrant(team.TokensPerSecond), initialGrant(team.RequestsPerSecond))
		}
	}
	for name := range q.grantSequences {
		if _, found := limited[name]; !found {
			delete(q.grantSequences, name)
			q.limiter.Remove(name)
		}
	}
}

// initialGrantShare is the part of a limit that an instance may use before its
// first grant. With it, 64 instances in each of 6 data centres stay within the
// limit.
const initialGrantShare = 1.0 / (64 * 6)

func initialGrant(limit float64) *quota.Grant {
	if limit <= 0 {
		return nil
	}
	return &quota.Grant{Floor: limit * initialGrantShare}
}
