package bench

import (
	"math/rand"
	"time"

	"knapweedhoist/engine"
	"knapweedhoist/invariant"
	"knapweedhoist/routing"
)

// router is what an entry instance asks for endpoints: the policy or a baseline.
type router interface {
	setEndpoints(now time.Time, endpoints []routing.Endpoint)
	leave(now time.Time, id string)
	choose(now time.Time, work routing.Work) (routing.Choice, error)
	sent(now time.Time, choice routing.Choice, work routing.Work) *routing.Attempt
	firstToken(now time.Time, f *routing.Attempt)
	token(now time.Time, f *routing.Attempt)
	finished(now time.Time, f *routing.Attempt, id string)
	report(now time.Time, id string, r engine.LoadReport)
	cacheEvent(id string, e engine.CacheEvent)
}

// policyRouter is the routing package, unchanged.
type policyRouter struct{ table *routing.Table }

func newPolicyRouter(cfg routing.Config, checker invariant.Checker, rng *rand.Rand) *policyRouter {
	return &policyRouter{table: routing.NewTable(cfg, checker, rng)}
}

func (p *policyRouter) setEndpoints(now time.Time, list []routing.Endpoint) {
	p.table.SetEndpoints(now, list)
}

func (p *policyRouter) leave(now time.Time, id string) { p.table.MarkLeaving(now, id) }

func (p *policyRouter) choose(now time.Time, w routing.Work) (routing.Choice, error) {
	return p.table.Choose(now, w)
}

func (p *policyRouter) sent(now time.Time, c routing.Choice, w routing.Work) *routing.Attempt {
	f := p.table.RecordSent(now, c, w)
	return &f
}

func (p *policyRouter) firstToken(now time.Time, f *routing.Attempt) {
	p.table.RecordFirstToken(now, f)
}
func (p *policyRouter) token(now time.Time, f *routing.Attempt) { p.table.RecordToken(now, f) }

func (p *policyRouter) finished(now time.Time, f *routing.Attempt, _ string) {
	p.table.RecordFinished(now, f)
}

func (p *policyRouter) report(now time.Time, id string, r engine.LoadReport) {
	p.table.ApplyLoadReport(now, id, r)
}

func (p *policyRouter) cacheEvent(id string, e engine.CacheEvent) { p.table.ApplyCacheEvent(id, e) }
