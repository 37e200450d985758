package bench

import (
	"math/rand"
	"time"

	"knapweedhoist/engine"
	"knapweedhoist/invariant"
	"knapweedhoist/routing"
)

// router chooses endpoints for an entry instance. It is implemented by policyRouter and baseline.
type router interface {
	setEndpoints(now time.Time, endpoints []routing.Endpoint)
	markLeaving(now time.Time, id string)
	choose(now time.Time, work routing.Work) (routing.Choice, error)
	recordSent(now time.Time, choice routing.Choice, work routing.Work) *routing.Attempt
	recordFirstToken(now time.Time, a *routing.Attempt)
	recordToken(now time.Time, a *routing.Attempt)
	recordFinished(now time.Time, a *routing.Attempt, id string)
	applyLoadReport(now time.Time, id string, r engine.LoadReport)
	applyCacheEvent(id string, e engine.CacheEvent)
}

// policyRouter calls the routing package without changing its decisions.
type policyRouter struct{ table *routing.Table }

func newPolicyRouter(cfg routing.Config, checker invariant.Checker, rng *rand.Rand) *policyRouter {
	return &policyRouter{table: routing.NewTable(cfg, checker, rng)}
}

func (p *policyRouter) setEndpoints(now time.Time, list []routing.Endpoint) {
	p.table.SetEndpoints(now, list)
}

func (p *policyRouter) markLeaving(now time.Time, id string) { p.table.MarkLeaving(now, id) }

func (p *policyRouter) choose(now time.Time, w routing.Work) (routing.Choice, error) {
	return p.table.Choose(now, w)
}

func (p *policyRouter) recordSent(now time.Time, c routing.Choice, w routing.Work) *routing.Attempt {
	a := p.table.RecordSent(now, c, w)
	return &a
}

func (p *policyRouter) recordFirstToken(now time.Time, a *routing.Attempt) {
	p.table.RecordFirstToken(now, a)
}
func (p *policyRouter) recordToken(now time.Time, a *routing.Attempt) { p.table.RecordToken(now, a) }

func (p *policyRouter) recordFinished(now time.Time, a *routing.Attempt, _ string) {
	p.table.RecordFinished(now, a)
}

func (p *policyRouter) applyLoadReport(now time.Time, id string, r engine.LoadReport) {
	p.table.ApplyLoadReport(now, id, r)
}

func (p *policyRouter) applyCacheEvent(id string, e engine.CacheEvent) {
	p.table.ApplyCacheEvent(id, e)
}
