package quota

import (
	"sync"
	"time"
)

// Gate stores, for each quota scope, the time until which calls are refused. An
// instance whose call was refused with a retry hint sends the resulting time to
// its peers. Times are absolute and merged by taking the maximum, so that
// messages can be repeated and reordered.
//
// Source: the article "A Rate Limit Belongs to All the Workers Sharing It".
//
// State: 40 bytes for each stored scope, at most maxScopes. It is safe for
// concurrent use.
type Gate struct {
	mu          sync.Mutex // guards closedUntil
	closedUntil map[string]time.Time
}

const (
	// maxScopes bounds the stored scopes; refusals of further scopes are not recorded.
	maxScopes = 1024
	// maxClosedTime bounds how long a hint can close a scope, in case a clock or a hint is wrong.
	maxClosedTime = 5 * time.Minute
)

// NewGate returns an open Gate.
func NewGate() *Gate { return &Gate{closedUntil: make(map[string]time.Time)} }

// Closed reports whether calls in the scope are refused at now, and until when.
func (g *Gate) Closed(now time.Time, scope string) (until time.Time, closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	until = g.closedUntil[scope]
	return until, now.Before(until)
}

// RecordRefusal closes a scope after a refusal with a retry hint. It returns the time at which the hint
// ends, to be sent to the peers. The scope itself can be closed until a later time (after another refusal) or an
// earlier one (see maxClosedTime).
func (g *Gate) RecordRefusal(now time.Time, scope string, retryAfter time.Duration) time.Time {
	until := now.Add(retryAfter)
	g.Merge(now, scope, until)
	return until
}

// Merge records the time until which a peer closed the scope, if it is later than the stored one.
func (g *Gate) Merge(now time.Time, scope string, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if latest := now.Add(maxClosedTime); until.After(latest) {
		until = latest
	}
	if !until.After(g.closedUntil[scope]) {
		return
	}
	g.prune(now)
	if _, known := g.closedUntil[scope]; known || len(g.closedUntil) < maxScopes {
		g.closedUntil[scope] = until
	}
}

// prune removes scopes that are open again, once maxScopes are stored. The caller holds g.mu.
func (g *Gate) prune(now time.Time) {
	if len(g.closedUntil) < maxScopes {
		return
	}
	for scope, until := range g.closedUntil {
		if !now.Before(until) {
			delete(g.closedUntil, scope)
		}
	}
}
