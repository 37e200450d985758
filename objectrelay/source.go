package objectrelay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"knapweedhoist/internal/wait"
	"knapweedhoist/objectapi"
)

// Route states where an instance reads objects.
type Route struct {
	// Relays holds the addresses of the relays, the preferred one first. If it is empty, the instance reads the store
	// itself.
	Relays []string
	// IsRelay is set when others read this instance's copy.
	IsRelay bool
	// Substitutes holds the addresses of instances that reached the store a moment ago, the preferred one first. One of them is
	// read while the store does not answer this instance.
	Substitutes []string
}

// SourceConfig configures a Source.
type SourceConfig struct {
	// RelayWait is the longest time that one watch of a relay waits for a change.
	RelayWait time.Duration
	// SharedWait is the longest time that one watch of the store waits while others read the copy. It bounds the age of
	// the copy.
	SharedWait time.Duration
	// SharedGap is the shortest time between the starts of two watches of the store in a data centre with relays, also while
	// they do not answer. Changes within it arrive in one answer.
	SharedGap time.Duration
	// Backoff is the time after a failed read in which the relay is not asked again.
	Backoff time.Duration
	// Now returns the time of the clock that measures Backoff.
	Now func() time.Time
}

// ReadFunc sends a read to the relay at an address.
type ReadFunc func(ctx context.Context, address string, request objectapi.Request) (objectapi.Reply, error)

// Source is an objectapi.Store for lists and watches that reads from a relay or from the store. When a relay fails, the
// same read goes to the store, and if that fails too, to another instance that reached the store a moment ago. It is safe for
// concurrent use.
type Source struct {
	lg    *slog.Logger
	cfg   SourceConfig
	store objectapi.Store
	read  ReadFunc
	route func() Route

	mu sync.Mutex
	// backoffUntil is the time until which a failed relay is not asked, by address.
	backoffUntil map[string]time.Time
	// lastRelay is the relay that sent the last answer, "" for the store.
	lastRelay string
	// storeBackoffUntil is the time until which a substitute is read instead of the store, by kind.
	storeBackoffUntil map[objectapi.Kind]time.Time
	// lastWatchAt is the start of the last watch of the store by kind.
	lastWatchAt map[objectapi.Kind]time.Time
}

// NewSource returns a Source that reads from the relays of route through read, and otherwise from store.
func NewSource(lg *slog.Logger, cfg SourceConfig, store objectapi.Store, read ReadFunc, route func() Route) *Source {
	return &Source{
		lg: lg, cfg: cfg, store: store, read: read, route: route,
		backoffUntil: make(map[string]time.Time), lastWatchAt: make(map[objectapi.Kind]time.Time),
		storeBackoffUntil: make(map[objectapi.Kind]time.Time),
	}
}

// Do implements objectapi.Store.
func (s *Source) Do(ctx context.Context, request objectapi.Request) (objectapi.Reply, error) {
	route := s.route()
	if reply, answered, err := s.readFirst(ctx, route.Relays, request); answered {
		return reply, err
	}
	if s.backsOffStore(request.Kind) {
		if reply, answered, err := s.readSubstitute(ctx, route.Substitutes, request); answered {
			return reply, err
		}
	}
	if route.IsRelay {
		request.Wait = min(request.Wait, s.cfg.SharedWait)
	}
	if route.IsRelay || len(route.Relays) > 0 {
		s.awaitGap(ctx, request)
	}
	reply, err := s.store.Do(ctx, request)
	switch {
	case err == nil:
		s.recordAnswer("")
		return reply, nil
	case errors.Is(err, objectapi.ErrCompacted) || ctx.Err() != nil:
		return reply, err
	}
	if reply, answered, substituteErr := s.readSubstitute(ctx, s.route().Substitutes, request); answered {
		s.backOffStore(request.Kind)
		return reply, substituteErr
	}
	return reply, err
}

// readSubstitute reads from the instance that answered last, or from the first one that does not refuse the read, for example
// because its copy is too old. It stops at one that does not answer in time. An instance that fails is backed off, which ends
// the loop.
func (s *Source) readSubstitute(
	ctx context.Context, addresses []string, request objectapi.Request,
) (reply objectapi.Reply, answered bool, err error) {
	for {
		reply, answered, err = s.readFirst(ctx, s.lastFirst(addresses), request)
		if answered || !errors.Is(err, objectapi.ErrUnavailable) {
			return reply, answered, err
		}
	}
}

// lastFirst returns the addresses with the one that sent the last answer moved to the front.
func (s *Source) lastFirst(addresses []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := slices.Index(addresses, s.lastRelay); at > 0 {
		return slices.Concat([]string{s.lastRelay}, addresses[:at], addresses[at+1:])
	}
	return addresses
}

// readFirst reads from the first of the instances that is not backed off. answered is false if there is none or it fails.
func (s *Source) readFirst(
	ctx context.Context, addresses []string, request objectapi.Request,
) (reply objectapi.Reply, answered bool, err error) {
	address := s.pick(addresses)
	if address == "" {
		return objectapi.Reply{}, false, nil
	}
	reply, err = s.readRelay(ctx, address, request)
	if err == nil || errors.Is(err, objectapi.ErrCompacted) {
		s.recordAnswer(address)
		return reply, true, err
	}
	if ctx.Err() != nil {
		return objectapi.Reply{}, true, err // the reader has ended the read; the relay may be sound
	}
	s.backOff(address, request, err)
	return objectapi.Reply{}, false, err
}

// backsOffStore reports whether a substitute is read instead of the store.
func (s *Source) backsOffStore(kind objectapi.Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.Now().Before(s.storeBackoffUntil[kind])
}

// backOffStore stops reads of the store for the configured time, while a substitute answers.
func (s *Source) backOffStore(kind objectapi.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeBackoffUntil[kind] = s.cfg.Now().Add(s.cfg.Backoff)
}

// awaitGap waits until a watch of the store may start.
func (s *Source) awaitGap(ctx context.Context, request objectapi.Request) {
	if request.Op != objectapi.OpWatch {
		return
	}
	s.mu.Lock()
	delay := s.lastWatchAt[request.Kind].Add(s.cfg.SharedGap).Sub(s.cfg.Now())
	s.mu.Unlock()
	if delay > 0 {
		wait.For(ctx, delay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastWatchAt[request.Kind] = s.cfg.Now()
}

func (s *Source) readRelay(ctx context.Context, relay string, request objectapi.Request) (objectapi.Reply, error) {
	request.Wait = min(request.Wait, s.cfg.RelayWait)
	reply, err := s.read(ctx, relay, request)
	if err == nil && reply.Era < request.From.Era {
		return objectapi.Reply{}, fmt.Errorf("%w: copy of era %d, known is %d", objectapi.ErrUnavailable, reply.Era, request.From.Era)
	}
	return reply, err
}

// pick returns the first of the addresses that is not backed off, or "".
func (s *Source) pick(addresses []string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	for _, relay := range addresses {
		if now.After(s.backoffUntil[relay]) {
			delete(s.backoffUntil, relay)
			return relay
		}
	}
	return ""
}

// backOff stops reads from a relay for the configured time and logs the failure if the relay sent the last answer.
func (s *Source) backOff(relay string, request objectapi.Request, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoffUntil[relay] = s.cfg.Now().Add(s.cfg.Backoff)
	if s.lastRelay == relay {
		s.lg.Warn("relay lost", "objects", string(request.Kind), "peer", relay, "error", err.Error())
	}
}

// recordAnswer stores which relay answered, "" for the store, and logs a change.
func (s *Source) recordAnswer(relay string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if relay != s.lastRelay {
		s.lg.Info("objects read from another source", "relay", relay, "former", s.lastRelay)
	}
	s.lastRelay = relay
}
