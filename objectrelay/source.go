package objectrelay

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"knapweedhoist/objectapi"
)

// Route tells where an instance reads objects.
type Route struct {
	// Relays are the addresses of the instances to ask, the preferred one first. Without any, the instance reads the
	// store itself.
	Relays []string
	// Read tells that others read this instance's copy.
	Read bool
}

// SourceConfig describes a Source.
type SourceConfig struct {
	// Wait is how long one watch of a relay waits for a change.
	Wait time.Duration
	// SharedWait is how long one watch of the store waits at most while others read the copy, whose age it bounds.
	SharedWait time.Duration
	// Pause is how long a relay that did not answer is left out.
	Pause time.Duration
	// Now is the clock that pauses are kept by.
	Now func() time.Time
}

// Asker sends a read to the copy of the instance at an address.
type Asker func(ctx context.Context, address string, request objectapi.Request) (objectapi.Reply, error)

// Source is an objectapi.Store for lists and watches that reads the copy of a
// relay, or the store. A relay that fails costs no answer: the same read goes
// to the store. It is safe for concurrent use.
type Source struct {
	lg    *slog.Logger
	cfg   SourceConfig
	store objectapi.Store
	ask   Asker
	route func() Route

	mu sync.Mutex
	// paused has the relays that are left out, with the end of that time.
	paused map[string]time.Time
	// last is the relay that answered last, "" for the store.
	last string
}

// NewSource returns a Source.
func NewSource(lg *slog.Logger, cfg SourceConfig, store objectapi.Store, ask Asker, route func() Route) *Source {
	return &Source{lg: lg, cfg: cfg, store: store, ask: ask, route: route, paused: make(map[string]time.Time)}
}

// Do implements objectapi.Store.
func (s *Source) Do(ctx context.Context, request objectapi.Request) (objectapi.Reply, error) {
	route := s.route()
	if relay := s.choose(route); relay != "" {
		reply, err := s.readRelay(ctx, relay, request)
		if err == nil || errors.Is(err, objectapi.ErrCompacted) {
			s.answered(relay)
			return reply, err
		}
		s.pause(relay, request, err)
	}
	if route.Read {
		request.Wait = min(request.Wait, s.cfg.SharedWait)
	}
	reply, err := s.store.Do(ctx, request)
	if err == nil {
		s.answered("")
	}
	return reply, err
}

func (s *Source) readRelay(ctx context.Context, relay string, request objectapi.Request) (objectapi.Reply, error) {
	request.Wait = min(request.Wait, s.cfg.Wait)
	return s.ask(ctx, relay, request)
}

// choose returns the first relay that is not left out, or "".
func (s *Source) choose(route Route) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	for _, relay := range route.Relays {
		if now.After(s.paused[relay]) {
			delete(s.paused, relay)
			return relay
		}
	}
	return ""
}

func (s *Source) pause(relay string, request objectapi.Request, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused[relay] = s.cfg.Now().Add(s.cfg.Pause)
	if s.last == relay {
		s.lg.Warn("relay lost", "objects", string(request.Kind), "peer", relay, "error", err.Error())
	}
}

// answered notes who answered and logs a change.
func (s *Source) answered(relay string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if relay != s.last {
		s.lg.Info("objects read from another source", "relay", relay, "former", s.last)
	}
	s.last = relay
}
