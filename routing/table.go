// Package routing chooses the endpoint for each attempt.
//
// A Table belongs to one entry instance and is used by all of its traffic
// goroutines at once. Decisions take no lock but the read lock of one of 64
// shards of the prefix index: the list of endpoints is an immutable view
// behind an atomic pointer, the state of an endpoint consists of atomic
// counters, and the state of an attempt is a Flight owned by its goroutine.
// Only changes of the list and load reports take locks.
//
// State: about 1.2 KiB per endpoint, 150 bytes per remembered prefix (at most
// 65,536), 112 bytes per attempt in flight (in the caller's Flight), 24 bytes
// per tombstone (at most 4,096).
package routing

import (
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"knapweedhoist/engine"
	"knapweedhoist/invariant"
)

// Table chooses endpoints and keeps the feedback of one entry instance. It is
// safe for concurrent use.
type Table struct {
	cfg     Config
	checker invariant.Checker
	view    atomic.Pointer[view]
	states  atomic.Pointer[map[string]*state]
	random  random
	cache   cacheIndex

	mu     sync.Mutex // guards changes of view and states, peers and the tombstones
	peers  map[string]*peers
	left   map[string]struct{}
	leftAt []string
}

// maxTombstones bounds the IDs remembered as left after they vanish from the list.
const maxTombstones = 4096

// NewTable returns an empty table; rng seeds its choices. The checker is told when work is sent to an endpoint that has
// been leaving for longer than LeaveGrace.
func NewTable(cfg Config, checker invariant.Checker, rng *rand.Rand) *Table {
	t := &Table{cfg: cfg, checker: checker, left: make(map[string]struct{}), peers: make(map[string]*peers)}
	t.random.counter.Store(rng.Uint64())
	t.view.Store(&view{groups: map[groupKey]*group{}})
	t.states.Store(&map[string]*state{})
	return t
}

// SetEndpoints replaces the list. The slice must not be changed afterwards.
// The feedback of endpoints that stay in the list is kept.
func (t *Table) SetEndpoints(now time.Time, endpoints []Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.states.Load()
	states := make(map[string]*state, len(endpoints))
	for i := range endpoints {
		id := endpoints[i].ID
		s := old[id]
		if s == nil {
			s = &state{id: id, peers: t.peersOf(endpoints[i].Service)}
		}
		if _, gone := t.left[id]; gone || endpoints[i].Leaving {
			t.bury(id)
			s.leave(now)
		}
		states[id] = s
	}
	t.states.Store(&states)
	t.view.Store(newView(endpoints, states, t.view.Load(), &t.cfg))
}

// peersOf returns the means of a service. The caller holds t.mu.
func (t *Table) peersOf(service string) *peers {
	p := t.peers[service]
	if p == nil {
		p = &peers{}
		t.peers[service] = p
	}
	return p
}

// Leave marks an endpoint as leaving immediately. It is final for the ID.
func (t *Table) Leave(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bury(id)
	if s := (*t.states.Load())[id]; s != nil {
		s.leave(now)
	}
}

// bury remembers an ID that left. The caller holds t.mu.
func (t *Table) bury(id string) {
	if _, known := t.left[id]; known {
		return
	}
	if len(t.leftAt) >= maxTombstones {
		delete(t.left, t.leftAt[0])
		t.leftAt = t.leftAt[1:]
	}
	t.left[id] = struct{}{}
	t.leftAt = append(t.leftAt, id)
}

// Report merges a load report of an endpoint, which can be seconds old.
func (t *Table) Report(now time.Time, id string, report engine.LoadReport) {
	s := (*t.states.Load())[id]
	if s == nil {
		return
	}
	if report.Leaving {
		t.Leave(now, id)
	}
	at := time.UnixMilli(report.AtMs).UnixNano()
	if at <= s.reportAt.Load() {
		return
	}
	own := s.history.at(at, &s.own)
	others := sample{
		running: max(0, int64(report.Running+report.Queued)-own.running),
		prefill: max(0, int64(report.PrefillTokens)-own.prefill),
		decode:  max(0, int64(report.DecodeTokens)-own.decode),
	}
	s.slots.Store(0)
	if report.Queued > 0 {
		s.slots.Store(int64(report.Running))
	}
	s.others.store(others)
	s.peers.add(now, others)
	s.reportAt.Store(min(at, now.UnixNano()))
}

// CacheEvent merges a cache event of an endpoint. Events can be late and have gaps.
func (t *Table) CacheEvent(id string, event engine.CacheEvent) {
	s := (*t.states.Load())[id]
	if s == nil {
		return
	}
	fresh, gap := s.cache.advance(event.Sequence)
	if gap {
		s.cacheEpoch.Add(1)
	}
	switch {
	case !fresh:
	case event.Evicted:
		t.cache.remove(event.Prefix, s)
	default:
		t.cache.add(Prefix{Hash: event.Prefix, Tokens: event.Tokens}, s)
	}
}
