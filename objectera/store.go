// Package objectera follows the era of the store's history at one instance. The
// store may return from an older copy, which takes back changes that it has
// acknowledged; each answer names the era, which rises with each return.
package objectera

import (
	"context"
	"errors"
	"log/slog"
	"sync"

	metrics "github.com/rcrowley/go-metrics"

	"knapweedhoist/objectapi"
)

// Store passes calls on to a store and remembers the highest era that an answer named. It implements objectapi.Store and
// is safe for concurrent use.
type Store struct {
	store objectapi.Store
	lg    *slog.Logger
	// returns counts the rises of the era after the first answer, unusual the answers with an older era than one seen, or none.
	returns, unusual metrics.Counter

	mu sync.Mutex // guards the fields below
	// answered reports whether the store has answered a call. era is the highest era so far, version the highest version in it.
	answered bool
	era      objectapi.Era
	version  objectapi.Version
	// risen is closed and replaced when era rises.
	risen chan struct{}
	// lastUnusual reports whether the last answer had an older era than era, or none.
	lastUnusual bool
}

// NewStore returns a Store that calls store and registers its metrics: the gauge store_era and the counters store_returns and
// store_unusual_eras.
func NewStore(lg *slog.Logger, registry metrics.Registry, store objectapi.Store) *Store {
	s := &Store{
		store: store, lg: lg, returns: metrics.GetOrRegisterCounter("store_returns", registry),
		unusual: metrics.GetOrRegisterCounter("store_unusual_eras", registry), risen: make(chan struct{}),
	}
	// The name is not registered elsewhere.
	_ = registry.Register("store_era", metrics.NewFunctionalGauge(func() int64 { return int64(s.Era()) }))
	return s
}

// Era returns the highest era that an answer named, 0 for none.
func (s *Store) Era() objectapi.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Watch returns the highest era that an answer named, 0 for none, and a channel that is closed when it rises.
func (s *Store) Watch() (objectapi.Era, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era, s.risen
}

// Do implements objectapi.Store.
func (s *Store) Do(ctx context.Context, request objectapi.Request) (objectapi.Reply, error) {
	reply, err := s.store.Do(ctx, request)
	if reply.Era != 0 || isAnswer(err) {
		s.observe(request, reply)
	}
	return reply, err
}

// isAnswer reports whether err is that of an answer of the store. ErrUnavailable may mean that there was none.
func isAnswer(err error) bool {
	return err == nil || errors.Is(err, objectapi.ErrNotFound) || errors.Is(err, objectapi.ErrConflict) ||
		errors.Is(err, objectapi.ErrThrottled) || errors.Is(err, objectapi.ErrCompacted)
}

// observe updates the era from an answer. An answer that names none, or an older one, changes nothing.
func (s *Store) observe(request objectapi.Request, reply objectapi.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unusual := reply.Era < s.era
	switch {
	case unusual:
		s.unusual.Inc(1)
		if !s.lastUnusual {
			s.lg.Warn("store names an older era or none", "era", s.era, "named", reply.Era, "step", request.Op.String(), "kind", request.Kind)
		}
	case reply.Era > s.era && !s.answered:
		s.lg.Info("store era", "era", reply.Era, "version", reply.Version)
		s.rise(reply.Position())
	case reply.Era > s.era:
		s.returns.Inc(1)
		s.lg.Warn("store returned from an older copy", "era", reply.Era, "former_era", s.era, "version", reply.Version,
			"former_version", s.version, "step", request.Op.String(), "kind", request.Kind)
		s.rise(reply.Position())
	default:
		s.version = max(s.version, reply.Version)
	}
	s.answered, s.lastUnusual = true, unusual
}

// rise sets the era and the version of the answer that named it first. The caller holds s.mu.
func (s *Store) rise(position objectapi.Position) {
	s.era, s.version = position.Era, position.Version
	close(s.risen)
	s.risen = make(chan struct{})
}
