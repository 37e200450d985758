// Package routing chooses the endpoint for each attempt: the one with the lowest predicted time for the work, from load
// reports, the instance's own attempts in flight, cached prompt prefixes and the distance to the data centre.
//
// A Table belongs to one entry instance, and all of its traffic goroutines use it concurrently. A decision takes only
// read locks of the prefix index, of one of its 64 shards at a time: the list of endpoints is an immutable view behind
// an atomic pointer, the state of an endpoint that a decision reads consists of atomic counters, and the state of an
// attempt is an Attempt that its goroutine owns. Other locks are taken by changes of the list of endpoints, by load
// reports, by cache events, and by RecordSent, RecordFirstToken and RecordFinished: these three skip a load history that
// is locked, and RecordSent takes the write lock of the shard of each prefix.
//
// Memory: about 1.2 KiB per endpoint, 150 bytes per recorded prefix (at most 65,536), 112 bytes per attempt in flight
// (in the caller's Attempt), 24 bytes per tombstone (at most 4,096).
package routing

import (
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"knapweedhoist/engine"
	"knapweedhoist/invariant"
)

// Table chooses endpoints for one entry instance and records the feedback of its attempts. It is safe for concurrent
// use.
type Table struct {
	cfg      Config
	checker  invariant.Checker
	view     atomic.Pointer[view]
	states   atomic.Pointer[map[string]*endpointState]
	random   splitmix64
	prefixes prefixIndex

	mu             sync.Mutex                // guards changes of view and states, and the fields below
	peerMeans      map[string]*peerLoadMeans // by service
	tombstones     map[string]struct{}       // IDs of endpoints that were marked as leaving
	tombstoneOrder []string                  // the keys of tombstones, oldest first
}

// maxTombstones bounds the tombstones. They keep an ID marked as leaving after it disappears from the list.
const maxTombstones = 4096

// NewTable returns an empty table; rng seeds its random choices. RecordSent reports a violation to the checker if the
// chosen endpoint has been leaving for longer than LeaveGrace.
func NewTable(cfg Config, checker invariant.Checker, rng *rand.Rand) *Table {
	t := &Table{
		cfg: cfg, checker: checker,
		tombstones: make(map[string]struct{}), peerMeans: make(map[string]*peerLoadMeans),
	}
	t.random.counter.Store(rng.Uint64())
	t.view.Store(&view{groups: map[groupKey]*group{}})
	t.states.Store(&map[string]*endpointState{})
	return t
}

// SetEndpoints replaces the list of endpoints. The caller must not change the slice afterwards. The feedback of
// endpoints that stay in the list is kept.
func (t *Table) SetEndpoints(now time.Time, endpoints []Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.states.Load()
	states := make(map[string]*endpointState, len(endpoints))
	for i := range endpoints {
		id := endpoints[i].ID
		s := old[id]
		if s == nil {
			s = &endpointState{id: id, peerMeans: t.peerMeansOf(endpoints[i].Service)}
		}
		if _, hasTombstone := t.tombstones[id]; hasTombstone || endpoints[i].Leaving {
			t.addTombstone(id)
			s.markLeaving(now)
		}
		states[id] = s
	}
	t.states.Store(&states)
	t.view.Store(newView(endpoints, states, t.view.Load(), &t.cfg))
}

// peerMeansOf returns the peer load means of a service and creates them if necessary. The caller holds t.mu.
func (t *Table) peerMeansOf(service string) *peerLoadMeans {
	p := t.peerMeans[service]
	if p == nil {
		p = &peerLoadMeans{}
		t.peerMeans[service] = p
	}
	return p
}

// MarkLeaving marks an endpoint as leaving without waiting for the next list. The mark stays while the ID is listed,
// and afterwards as long as its tombstone is kept.
func (t *Table) MarkLeaving(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addTombstone(id)
	if s := (*t.states.Load())[id]; s != nil {
		s.markLeaving(now)
	}
}

// addTombstone adds the ID to the tombstones and drops the oldest one when they are full. The caller holds t.mu.
func (t *Table) addTombstone(id string) {
	if _, known := t.tombstones[id]; known {
		return
	}
	if len(t.tombstoneOrder) >= maxTombstones {
		delete(t.tombstones, t.tombstoneOrder[0])
		t.tombstoneOrder = t.tombstoneOrder[1:]
	}
	t.tombstones[id] = struct{}{}
	t.tombstoneOrder = append(t.tombstoneOrder, id)
}

// ApplyLoadReport merges a load report of an endpoint, which can be seconds old. Of a report that is not newer than the
// last merged one, it applies only the Leaving flag. A report of an endpoint that is not listed has no effect.
func (t *Table) ApplyLoadReport(now time.Time, id string, report engine.LoadReport) {
	s := (*t.states.Load())[id]
	if s == nil {
		return
	}
	if report.Leaving {
		t.MarkLeaving(now, id)
	}
	takenAt := time.UnixMilli(report.AtMs).UnixNano()
	if takenAt <= s.reportTakenAt.Load() {
		return
	}
	ownThen := s.history.sampleAt(takenAt, &s.ownLoad)
	others := loadSample{
		running: max(0, int64(report.Running+report.Queued)-ownThen.running),
		prefill: max(0, int64(report.PrefillTokens)-ownThen.prefill),
		decode:  max(0, int64(report.DecodeTokens)-ownThen.decode),
	}
	s.observedSlots.Store(0)
	if report.Queued > 0 {
		s.observedSlots.Store(int64(report.Running))
	}
	s.peerLoad.store(others)
	s.peerMeans.add(now, others)
	s.reportTakenAt.Store(min(takenAt, now.UnixNano()))
}

// ApplyCacheEvent applies a cache event of an endpoint to the prefix index. Events can be late, and sequence numbers can
// be missing. An event that is not newer than the last received one, or of an endpoint that is not listed, has no
// effect.
func (t *Table) ApplyCacheEvent(id string, event engine.CacheEvent) {
	s := (*t.states.Load())[id]
	if s == nil {
		return
	}
	isNew, missedEvents := s.cacheEvents.advance(event.Sequence)
	if missedEvents {
		s.cacheEpoch.Add(1)
	}
	switch {
	case !isNew:
	case event.Evicted:
		t.prefixes.remove(event.Prefix, s)
	default:
		t.prefixes.add(Prefix{Hash: event.Prefix, Tokens: event.Tokens}, s)
	}
}
