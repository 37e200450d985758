package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Update drops old evidence, imposes and lifts quarantines, and returns the changes since the last call.
func (g *Guard) Update(now time.Time) []Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.decide(now)
	changes := g.changes
	g.changes = nil
	return changes
}

func (g *Guard) decide(now time.Time) {
	g.expire(now)
	g.lift(now)
	for {
		suspect, ok := g.worstSuspect(now)
		if !ok {
			break
		}
		g.impose(now, suspect)
	}
	g.suspend(now)
}

// expire drops evidence that is too old, and quarantines that refused no request for a while.
func (g *Guard) expire(now time.Time) {
	for process, c := range g.crashes {
		ttl := g.cfg.EvidenceTTL
		if slices.ContainsFunc(c.keys, g.isQuarantined) {
			ttl = g.cfg.ExplainedTTL
		}
		if now.Sub(c.at) > ttl {
			delete(g.crashes, process)
		}
	}
	for _, answered := range []map[Key]time.Time{g.answered, g.answeredElsewhere} {
		for key, at := range answered {
			ttl := g.cfg.EvidenceTTL
			if key.IsRequest() {
				ttl = g.cfg.AnsweredRequestTTL
			}
			if now.Sub(at) > ttl {
				delete(answered, key)
			}
		}
	}
	for key, at := range g.suspected {
		if now.Sub(at) > g.cfg.DecisionDelay {
			delete(g.suspected, key)
		}
	}
	for key, r := range g.records {
		if now.Sub(r.lastUse()) <= g.cfg.Retention {
			continue
		}
		delete(g.records, key)
		if !r.lifted {
			g.changes = append(g.changes, Change{Kind: Expired, Key: key, Epoch: r.epoch})
		}
	}
}

// lift ends the quarantine of keys that were answered since it began: a key whose requests crash endpoints has no answers, so
// that another one caused the crashes, or the endpoints are repaired.
func (g *Guard) lift(now time.Time) {
	for key, r := range g.records {
		if !r.lifted && g.lastAnswer(key).After(r.at) {
			r.lifted, r.at = true, now
			g.changes = append(g.changes, Change{Kind: Lifted, Key: key, Epoch: r.epoch})
		}
	}
}

// lastAnswer returns the time of the last answer to a key at any instance, the zero time if none is known.
func (g *Guard) lastAnswer(key Key) time.Time {
	own, elsewhere := g.answered[key], g.answeredElsewhere[key]
	if own.After(elsewhere) {
		return own
	}
	return elsewhere
}

// suspect is a key that may be quarantined.
type suspect struct {
	key Key
	// crashes holds the times of the crashes since the last answer to the key, in order.
	crashes []time.Time
	// cautiousAt is the time of the first of them within the caution that is likely to have a cause of its own.
	cautiousAt time.Time
	// requests holds the quarantined requests whose crashes are among them: each counts once.
	requests map[Key]bool
	// answered is set if the key was answered before.
	answered bool
	// depth is the highest position of the key in a crash.
	depth int
}

// worstSuspect returns the key that is most likely to have caused the crashes, false if no key has reached the limits.
func (g *Guard) worstSuspect(now time.Time) (suspect, bool) {
	var reached []suspect
	for _, s := range g.suspects() {
		s.crashes = apart(s.crashes, g.cfg.LostTogether)
		if at, ok := g.decisionTime(s); ok && !now.Before(at) {
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
		case a.key.IsRequest() != b.key.IsRequest():
			return compareBool(b.key.IsRequest(), a.key.IsRequest())
		case a.depth != b.depth:
			return cmp.Compare(b.depth, a.depth)
		default:
			return cmp.Compare(a.key, b.key)
		}
	}), true
}

// apart returns the times without those that follow a returned one within the given time. times is sorted.
func apart(times []time.Time, within time.Duration) []time.Time {
	var kept []time.Time
	for _, at := range times {
		if len(kept) == 0 || at.Sub(kept[len(kept)-1]) >= within {
			kept = append(kept, at)
		}
	}
	return kept
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

// suspects returns the keys in progress at crashes, by key.
func (g *Guard) suspects() map[Key]*suspect {
	suspects := make(map[Key]*suspect)
	byTime := slices.SortedFunc(maps.Values(g.crashes), func(a, b *crash) int { return a.at.Compare(b.at) })
	for _, c := range byTime {
		request, part := g.explanations(c)
		for depth, key := range c.keys {
			if part != 0 || request != 0 && key.IsRequest() {
				continue
			}
			lastAnswer := g.lastAnswer(key)
			s := suspects[key]
			if s == nil {
				s = &suspect{key: key, answered: !lastAnswer.IsZero(), requests: make(map[Key]bool)}
				suspects[key] = s
			}
			s.depth = max(s.depth, depth)
			if c.at.After(lastAnswer) && !s.requests[request] {
				s.crashes = append(s.crashes, c.at)
				s.requests[request] = request != 0
				if s.cautiousAt.IsZero() && g.caution.covers(c.at) && !g.lostWithOthers(c.at) {
					s.cautiousAt = c.at
				}
			}
		}
	}
	return suspects
}

// explanations returns a quarantined request and a quarantined part that were in progress at the crash, 0 for none. A crash that a
// part explains does not count for other keys. One that a request explains does not count for other requests, and all that it
// explains count once for a part, since several requests may crash endpoints because of a common part.
func (g *Guard) explanations(c *crash) (request, part Key) {
	for _, key := range c.keys {
		switch {
		case !g.isQuarantined(key):
		case key.IsRequest():
			request = key
		default:
			part = key
		}
	}
	return request, part
}

// impose quarantines a key.
func (g *Guard) impose(now time.Time, s suspect) {
	r := g.records[s.key]
	if r == nil {
		r = &record{}
		g.records[s.key] = r
	}
	r.epoch, r.lifted, r.at = r.epoch+1, false, now
	g.changes = append(g.changes, Change{Kind: Imposed, Key: s.key, Crashes: len(s.crashes), Epoch: r.epoch})
}
