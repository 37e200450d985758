package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// caution is the time after a start at which evidence of earlier processes may be missing. A crash within it suspends the keys that may be
// its cause: instances try them in turn, until one is answered.
type caution struct {
	from, until time.Time
	suspended   map[Key]suspension
	// turn and turns are those of SetTurn.
	turn, turns uint64
}

// covers reports whether t is within the caution.
func (c *caution) covers(t time.Time) bool {
	return !c.from.IsZero() && !t.Before(c.from) && t.Before(c.until)
}

// ExtendCaution states that evidence of the time before now may have been lost with the instances that had it, since the store was away
// at the start of this one. The Guard is cautious for Config.CautionTime from now on.
func (g *Guard) ExtendCaution(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.caution.from.IsZero() {
		g.caution.from = now
	}
	g.caution.until = now.Add(g.cfg.CautionTime)
}

// suspension is the state of a suspended key. triedAt is the time of the last trial at this instance.
type suspension struct{ since, triedAt time.Time }

// SetTurn states which suspended keys this instance may try: those whose number plus turn is a multiple of turns. At one time all instances
// have different turns, unless there are more instances than turns.
func (g *Guard) SetTurn(turn, turns uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.caution.turn, g.caution.turns = turn, turns
}

// isSuspended reports whether requests with the key are refused for now.
func (g *Guard) isSuspended(now time.Time, key Key) bool {
	s, suspended := g.caution.suspended[key]
	if !suspended || g.caution.turns == 0 {
		return suspended
	}
	if now.Sub(s.since) < g.cfg.DecisionDelay {
		return true // an answer that is in progress, or a second crash, makes a trial needless
	}
	return (uint64(key)+g.caution.turn)%g.caution.turns != 0 || now.Sub(s.triedAt) < g.cfg.SuspendedTrialWait
}

// refuseSuspended returns an error if a key of the request is suspended. Otherwise the request is the trial of those that are.
func (g *Guard) refuseSuspended(now time.Time, request Request) error {
	for _, key := range request.keys() {
		if g.isSuspended(now, key) {
			return &RefusedError{Key: key, RetryAfter: minRetryAfter}
		}
	}
	for _, key := range request.keys() {
		if s, suspended := g.caution.suspended[key]; suspended {
			s.triedAt = now
			g.caution.suspended[key] = s
		}
	}
	return nil
}

// suspend suspends what may have caused the crashes within the caution, until Config.SuspensionTime after each: the parts that several of
// them have in common, and all keys of those that none of these explains.
func (g *Guard) suspend(now time.Time) {
	former := g.caution.suspended
	g.caution.suspended = nil
	open := g.cautiousCrashes(now)
	if len(open) == 0 {
		return
	}
	suspended := make(map[Key]suspension)
	add := func(key Key) {
		s, known := former[key]
		if !known {
			s.since = now
			g.changes = append(g.changes, Change{Kind: Suspended, Key: key, Crashes: 1})
		}
		suspended[key] = s
	}
	for {
		key, ok := commonPart(open)
		if !ok {
			break
		}
		add(key)
		open = slices.DeleteFunc(open, func(keys []Key) bool { return slices.Contains(keys, key) })
	}
	for _, keys := range open {
		for _, key := range keys {
			if _, added := suspended[key]; !added {
				add(key)
			}
		}
	}
	g.caution.suspended = suspended
}

// cautiousCrashes returns the unanswered keys of each crash that calls for a suspension: at once if they were never answered,
// otherwise after Config.DecisionDelay.
func (g *Guard) cautiousCrashes(now time.Time) [][]Key {
	var found [][]Key
	for _, c := range g.crashes {
		if !g.caution.covers(c.at) || now.Sub(c.at) > g.cfg.SuspensionTime || g.lostWithOthers(c.at) {
			continue
		}
		if _, part := g.explanations(c); part == 0 {
			found = append(found, g.unansweredKeys(now, c))
		}
	}
	return found
}

// commonPart returns the part that most of the crashes have in common, the one furthest back of several, false if no two have one. A
// request that was sent twice does not speak for its parts.
func commonPart(crashes [][]Key) (Key, bool) {
	counts, depths := make(map[Key]int), make(map[Key]int)
	var common []Key
	for _, keys := range crashes {
		for depth, key := range keys {
			depths[key] = max(depths[key], depth)
			if counts[key]++; counts[key] == 2 && !key.IsRequest() {
				common = append(common, key)
			}
		}
	}
	if len(common) == 0 {
		return 0, false
	}
	return slices.MaxFunc(common, func(a, b Key) int {
		return cmp.Or(cmp.Compare(counts[a], counts[b]), cmp.Compare(depths[a], depths[b]), cmp.Compare(a, b))
	}), true
}

// lostWithOthers reports whether so many endpoints were lost at the time of a crash that a common cause is likely.
func (g *Guard) lostWithOthers(at time.Time) bool {
	lost := 0
	for _, c := range g.crashes {
		if c.at.Sub(at).Abs() < g.cfg.LostTogether {
			lost++
		}
	}
	return lost >= g.cfg.MinLostTogether
}

// decisionTime returns the time from which a suspect is quarantined, false if it was in progress at too few crashes. A crash within the
// caution, and no answer since, stands for one that may have been forgotten.
func (g *Guard) decisionTime(s *suspect) (time.Time, bool) {
	limit := g.cfg.MinCrashes
	if s.answered {
		limit = g.cfg.MinCrashesAnswered
	} else if at, ok := g.cautiousDecisionTime(s); ok {
		return at, true
	}
	if len(s.crashes) < limit {
		return time.Time{}, false
	}
	return s.crashes[limit-1].Add(g.cfg.DecisionDelay), true
}

// cautiousDecisionTime returns that of a suspect which was in progress at a crash within the caution and at a later one.
func (g *Guard) cautiousDecisionTime(s *suspect) (time.Time, bool) {
	if s.cautiousAt.IsZero() {
		return time.Time{}, false
	}
	for _, at := range s.crashes {
		switch since := at.Sub(s.cautiousAt); {
		case since < g.cfg.LostTogether:
		case since < g.cfg.DecisionDelay:
			return at.Add(g.cfg.DecisionDelay), true
		default:
			return at, true // the key was suspended, and what had been in progress at the first crash was not answered
		}
	}
	return time.Time{}, false
}
