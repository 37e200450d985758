package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of Unanswered.
const (
	maxUnansweredCrashes = 32
	maxUnansweredKeys    = 256
)

// unansweredKeys returns the keys of a crash that were not answered since. Those that were answered before are left out until
// Config.DecisionDelay after the crash, since they probably will be.
func (g *Guard) unansweredKeys(now time.Time, c *crash) []Key {
	return slices.DeleteFunc(slices.Clone(c.keys), func(key Key) bool {
		lastAnswer := g.lastAnswer(key)
		return !c.at.After(lastAnswer) || !lastAnswer.IsZero() && now.Sub(c.at) < g.cfg.DecisionDelay
	})
}

// Unanswered returns the newest crashes that no quarantine explains, the newest first. Each has only the keys that were not answered
// since; a crash without such keys is left out. The result is for evidence that outlives the processes of all instances.
func (g *Guard) Unanswered(now time.Time) []Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	var crashes []Crash
	for process, c := range g.crashes {
		if now.Sub(c.at) > g.cfg.EvidenceTTL || slices.ContainsFunc(c.keys, g.isQuarantined) {
			continue
		}
		keys := g.unansweredKeys(now, c)
		if len(keys) > 0 {
			crashes = append(crashes, Crash{Process: process, Age: now.Sub(c.at), Keys: keys})
		}
	}
	slices.SortFunc(crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Process, b.Process))
	})
	crashes = crashes[:min(len(crashes), maxUnansweredCrashes)]
	keys := 0
	for i, crash := range crashes {
		if keys += len(crash.Keys); keys > maxUnansweredKeys {
			return crashes[:i]
		}
	}
	return crashes
}
