package quota

import (
	"sync"
	"time"
)

// Gate holds, for each quota scope, the time until which calls are refused. An
// instance that was refused with a retry hint tells its peers; deadlines are
// absolute and merged by taking the maximum, so that messages can be repeated
// and reordered.
//
// Source: the article "A Rate Limit Belongs to All the Workers Sharing It".
//
// State: 40 bytes for each closed scope, at most maxScopes. It is safe for
// concurrent use.
type Gate struct {
	mu    sync.Mutex // guards until
	until map[string]time.Time
}

const (
	// maxScopes bounds the closed scopes; further ones are not remembered.
	maxScopes = 1024
	// maxClosed bounds how long a hint can close a scope, against a wrong clock or hint.
	maxClosed = 5 * time.Minute
)

// NewGate returns an open Gate.
func NewGate() *Gate { return &Gate{until: make(map[string]time.Time)} }

// Closed reports whether calls in the scope are refused now, and until when.
func (g *Gate) Closed(now time.Time, scope string) (until time.Time, closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	until = g.until[scope]
	return until, now.Before(until)
}

// Refused records a refusal with a retry hint and returns the deadline to tell the peers.
func (g *Gate) Refused(now time.Time, scope string, retryAfter time.Duration) time.Time {
	until := now.Add(retryAfter)
	g.Merge(now, scope, until)
	return until
}

// Merge takes over a deadline from a peer.
func (g *Gate) Merge(now time.Time, scope string, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if latest := now.Add(maxClosed); until.After(latest) {
		until = latest
	}
	if !until.After(g.until[scope]) {
		return
	}
	g.prune(now)
	if _, known := g.until[scope]; known || len(g.until) < maxScopes {
		g.until[scope] = until
	}
}

// prune forgets open scopes. The caller holds g.mu.
func (g *Gate) prune(now time.Time) {
	if len(g.until) < maxScopes {
		return
	}
	for scope, until := range g.until {
		if !now.Before(until) {
			delete(g.until, scope)
		}
	}
}
