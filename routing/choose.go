package routing

import "time"

// Choose returns the endpoint with the lowest score among the compared ones, or an error that wraps ErrNoEndpoint or
// ErrUnknownService. It allocates nothing.
func (t *Table) Choose(now time.Time, work Work) (Choice, error) {
	g := t.view.Load().groups[groupKey{service: work.Service, model: work.Model}]
	if g == nil {
		return Choice{}, ErrUnknownService
	}
	q := query{
		nowNs: now.UnixNano(), peerLoad: g.peerMeans.read(), work: &work, cfg: &t.cfg,
		groupInterTokenNs: g.stats.interTokenNs.mean(), correction: 1,
	}
	if !work.Short {
		q.correction = g.stats.longCorrection()
	}
	if t.cfg.AffinityWeight > 0 {
		q.holders = t.prefixes.holders(work.Prefixes)
	}
	var sel selection
	for i := range g.datacentres {
		if sel.best != nil && g.datacentres[i].distanceCost >= sel.estimate.score {
			break // Data centres are in order of cost and scores are not negative, so no later one can be better.
		}
		t.considerDatacentre(&q, &g.datacentres[i], &sel)
	}
	if q.holders[0].state != nil {
		considerHolders(&q, g, &sel)
	}
	if sel.best == nil {
		g.considerAll(&q, &sel)
	}
	if sel.best == nil {
		return Choice{}, ErrNoEndpoint
	}
	return sel.choice(), nil
}

// selection is the best candidate of those compared so far; best is nil before the first.
type selection struct {
	best     *candidate
	estimate estimate
}

// consider selects the candidate if its score plus the distance cost is the lowest so far. It skips a leaving endpoint
// and the one that the work avoids.
func (sel *selection) consider(q *query, c *candidate, distanceCost float64) {
	if c.state.leaving() || q.work.Avoid != "" && c.endpoint.ID == q.work.Avoid {
		return
	}
	e := q.estimate(c)
	e.score += distanceCost
	if sel.best == nil || e.score < sel.estimate.score {
		sel.best, sel.estimate = c, e
	}
}

func (sel *selection) choice() Choice {
	return Choice{
		Endpoint:         sel.best.endpoint,
		TimeToFirstToken: time.Duration(sel.estimate.firstToken),
		TotalTime:        time.Duration(sel.estimate.total),
		CachedTokens:     sel.estimate.cachedTokens,
		state:            sel.best.state,
		stats:            sel.best.stats,
		uncorrected:      time.Duration(sel.estimate.uncorrected),
	}
}

// considerDatacentre considers all candidates of a data centre, starting at a random one; if there are more than
// Config.Samples, it draws that many at random, possibly some of them twice. It samples because load reports are late:
// instances that compared all candidates would choose the same endpoint.
func (t *Table) considerDatacentre(q *query, d *datacentre, sel *selection) {
	n := len(d.candidates)
	samples := t.cfg.Samples
	if n == 0 {
		return
	}
	if samples == 0 || n <= samples {
		start := intN(uint32(t.random.next()), n)
		for i := range n {
			sel.consider(q, &d.candidates[(start+i)%n], d.distanceCost)
		}
		return
	}
	for range samples {
		sel.consider(q, &d.candidates[intN(uint32(t.random.next()), n)], d.distanceCost)
	}
}

// considerHolders considers the endpoints that hold the longest known prefix.
func considerHolders(q *query, g *group, sel *selection) {
	for i := range g.datacentres {
		d := &g.datacentres[i]
		for j := range d.candidates {
			c := &d.candidates[j]
			if q.holdsPrefix(c.state) {
				sel.consider(q, c, d.distanceCost)
			}
		}
	}
}

func (q *query) holdsPrefix(s *endpointState) bool {
	for i := range q.holders {
		if q.holders[i].state == s {
			return true
		}
	}
	return false
}

// considerAll considers every candidate. It is used when all endpoints considered so far are leaving or avoided.
func (g *group) considerAll(q *query, sel *selection) {
	for i := range g.datacentres {
		d := &g.datacentres[i]
		for j := range d.candidates {
			sel.consider(q, &d.candidates[j], d.distanceCost)
		}
	}
}
