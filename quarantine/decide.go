package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Update drops old evidence, imposes and lifts quarantines, and returns the changes since the last call.
func (g *Guard) Update(now time.Time) []Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	g.lift(now)
	for {
		suspect, ok := g.worstSuspect(now)
		if !ok {
			break
		}
		g.impose(now, suspect)
	}
	changes := g.changes
	g.changes = nil
	return changes
}

// expire drops evidence that is too old, and quarantines that refused no request for a while.
func (g *Guard) expire(now time.Time) {
	for process, c := range g.crashes {
		ttl := g.cfg.EvidenceTTL
		if c.explained {
			ttl = g.cfg.ExplainedTTL
		}
		if now.Sub(c.at) > ttl {
			delete(g.crashes, process)
		}
	}
	for _, answered := range []map[uint64]time.Time{g.answered, g.answeredElsewhere} {
		for part, at := range answered {
			if now.Sub(at) > g.cfg.EvidenceTTL {
				delete(answered, part)
			}
		}
	}
	for part, r := range g.records {
		if now.Sub(r.lastUse()) <= g.cfg.Retention {
			continue
		}
		delete(g.records, part)
		if !r.lifted {
			g.changes = append(g.changes, Change{Kind: Expired, Part: part, Epoch: r.epoch})
		}
	}
}

// lift ends the quarantine of parts that were answered since it began: a part that crashes endpoints has no answers, so
// that another one caused the crashes, or the endpoints are repaired.
func (g *Guard) lift(now time.Time) {
	for part, r := range g.records {
		if !r.lifted && g.lastAnswer(part).After(r.at) {
			r.lifted, r.at = true, now
			g.changes = append(g.changes, Change{Kind: Lifted, Part: part, Epoch: r.epoch})
		}
	}
}

// lastAnswer returns the time of the last answer to a part at any instance, the zero time if none is known.
func (g *Guard) lastAnswer(part uint64) time.Time {
	own, elsewhere := g.answered[part], g.answeredElsewhere[part]
	if own.After(elsewhere) {
		return own
	}
	return elsewhere
}

// suspect is a part that may be quarantined.
type suspect struct {
	part uint64
	// crashes holds the times of the crashes since the last answer to the part.
	crashes []time.Time
	// answered is set if the part was answered before.
	answered bool
	// depth is the highest position of the part in a crash.
	depth int
}

// worstSuspect returns the part that is most likely to have caused the crashes, false if no part has reached the limits.
func (g *Guard) worstSuspect(now time.Time) (suspect, bool) {
	var reached []suspect
	for _, s := range g.suspects() {
		limit := g.cfg.MinCrashes
		if s.answered {
			limit = g.cfg.MinCrashesAnswered
		}
		if len(s.crashes) < limit {
			continue
		}
		slices.SortFunc(s.crashes, time.Time.Compare)
		if now.Sub(s.crashes[limit-1]) >= g.cfg.DecisionDelay {
			reached = append(reached, *s)
		}
	}
	if len(reached) == 0 {
		return suspect{}, false
	}
	return slices.MinFunc(reached, func(a, b suspect) int {
		switch {
		case a.answered != b.answered:
			return compareBool(a.answered, b.answered)
		case len(a.crashes) != len(b.crashes):
			return cmp.Compare(len(b.crashes), len(a.crashes))
		case a.depth != b.depth:
			return cmp.Compare(b.depth, a.depth)
		default:
			return cmp.Compare(a.part, b.part)
		}
	}), true
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// suspects returns the parts in progress at crashes, by part.
func (g *Guard) suspects() map[uint64]*suspect {
	suspects := make(map[uint64]*suspect)
	for _, c := range g.crashes {
		for depth, part := range c.parts {
			lastAnswer := g.lastAnswer(part)
			s := suspects[part]
			if s == nil {
				s = &suspect{part: part, answered: !lastAnswer.IsZero()}
				suspects[part] = s
			}
			s.depth = max(s.depth, depth)
			if c.at.After(lastAnswer) {
				s.crashes = append(s.crashes, c.at)
			}
		}
	}
	return suspects
}

// impose quarantines a part. The crashes that it explains no longer count for other parts.
func (g *Guard) impose(now time.Time, s suspect) {
	r := g.records[s.part]
	if r == nil {
		r = &record{}
		g.records[s.part] = r
	}
	r.epoch, r.lifted, r.at = r.epoch+1, false, now
	g.explainCrashes(now, s.part)
	g.changes = append(g.changes, Change{Kind: Imposed, Part: s.part, Crashes: len(s.crashes), Epoch: r.epoch})
}
