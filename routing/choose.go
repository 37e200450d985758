package routing

import "time"

// Choose returns the endpoint for one attempt, or an error that wraps
// ErrNoEndpoint or ErrUnknownService. It allocates nothing.
func (t *Table) Choose(now time.Time, work Work) (Choice, error) {
	g := t.view.Load().groups[groupKey{service: work.Service, model: work.Model}]
	if g == nil {
		return Choice{}, ErrUnknownService
	}
	q := query{nowNs: now.UnixNano(), peers: g.peers.load(), work: &work, cfg: &t.cfg, usualGap: g.usual.gap.mean(), correction: 1}
	if !work.Short {
		q.correction = g.usual.correction()
	}
	if t.cfg.AffinityWeight > 0 {
		q.holders = t.cache.holders(work.Prefixes)
	}
	var p pick
	for i := range g.sites {
		if p.best != nil && g.sites[i].cost >= p.estimate.score {
			break // Sites are in order of cost, and scores are not negative: no later one can be better.
		}
		t.compareSite(&q, &g.sites[i], &p)
	}
	if q.holders[0].state != nil {
		compareHolders(&q, g, &p)
	}
	if p.best == nil {
		g.any(&q, &p)
	}
	if p.best == nil {
		return Choice{}, ErrNoEndpoint
	}
	return p.choice(), nil
}

// pick is the best candidate so far.
type pick struct {
	best     *candidate
	estimate estimate
}

func (p *pick) offer(q *query, c *candidate, cost float64) {
	if c.state.leaving() || q.work.Avoid != "" && c.endpoint.ID == q.work.Avoid {
		return
	}
	e := q.estimate(c)
	e.score += cost
	if p.best == nil || e.score < p.estimate.score {
		p.best, p.estimate = c, e
	}
}

func (p *pick) choice() Choice {
	return Choice{
		Endpoint:     p.best.endpoint,
		FirstToken:   time.Duration(p.estimate.first),
		Total:        time.Duration(p.estimate.total),
		CachedTokens: p.estimate.cached,
		state:        p.best.state,
		usual:        p.best.usual,
		raw:          time.Duration(p.estimate.raw),
	}
}

// compareSite offers all candidates of a data centre, or a random sample of them: with late reports, instances
// that compared all would choose the same endpoint.
func (t *Table) compareSite(q *query, s *site, p *pick) {
	n := len(s.candidates)
	samples := t.cfg.Samples
	if n == 0 {
		return
	}
	if samples == 0 || n <= samples {
		start := below(uint32(t.random.next()), n)
		for i := range n {
			p.offer(q, &s.candidates[(start+i)%n], s.cost)
		}
		return
	}
	for range samples {
		p.offer(q, &s.candidates[below(uint32(t.random.next()), n)], s.cost)
	}
}

// compareHolders offers the endpoints that hold the longest known prefix.
func compareHolders(q *query, g *group, p *pick) {
	for i := range g.sites {
		s := &g.sites[i]
		for j := range s.candidates {
			c := &s.candidates[j]
			if q.holds(c.state) {
				p.offer(q, c, s.cost)
			}
		}
	}
}

func (q *query) holds(s *state) bool {
	for i := range q.holders {
		if q.holders[i].state == s {
			return true
		}
	}
	return false
}

// any offers every candidate, for the case that the samples were all leaving.
func (g *group) any(q *query, p *pick) {
	for i := range g.sites {
		s := &g.sites[i]
		for j := range s.candidates {
			p.offer(q, &s.candidates[j], s.cost)
		}
	}
}
