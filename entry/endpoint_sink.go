package entry

import (
	"log/slog"
	"maps"
	"sync"
	"time"

	"knapweedhoist/deployment"
	"knapweedhoist/objectapi"
	"knapweedhoist/streamorigin"
)

// reregistrationTimeout is how long an endpoint is kept whose entry expired during an outage of the store. The endpoint
// has to register again within that time after the store is reachable again, for whichever instance is first.
const reregistrationTimeout = 2 * time.Second

// endpointSinkConfig configures an endpointSink.
type endpointSinkConfig struct {
	// now returns the time of a clock that also advances while the machine is suspended.
	now func() time.Time
	// configAge returns the age of the newest confirmed configuration. The reports of other instances confirm it as well.
	configAge func() time.Duration
	// absenceLimit is the configAge above which the store counts as away.
	absenceLimit time.Duration
	// onRestart is called with the ID of an endpoint whose process has restarted under the same ID.
	onRestart func(id string)
	// onListed is called with the origins that streams can have at the listed endpoints, onComplete with the latest time at which
	// these endpoints are known to have been complete: an answer may have been read late, or be of another instance's older copy.
	// Both may be nil.
	onListed   func(listed map[streamorigin.Origin]bool)
	onComplete func(at time.Time)
}

// endpointSink publishes the endpoints of the store. The goroutine of the watch adds and removes them; the control
// goroutine removes those that did not register again in time after an outage of the store.
type endpointSink struct {
	lg      *slog.Logger
	adapter Adapter
	state   *deployment.State
	cfg     endpointSinkConfig

	mu sync.Mutex
	// absence is the evidence of outages of the store.
	absence storeAbsence
	// completeAt is the latest time at which the copy is known to have been complete. Entries that are missing in the first
	// answer after it may have expired if the store was away since; entries that are deleted later were deleted on purpose.
	completeAt time.Time
	// published holds the endpoints that were last published, by ID. The map is immutable.
	published map[string]*deployment.Endpoint
	// keptUntil holds the endpoints whose entries were missing after an outage, by ID. The value is the time at which the
	// endpoint is removed unless it has registered again.
	keptUntil map[string]time.Time
	// lostAt is completeAt at the last loss of the watch.
	lostAt time.Time
}

func newEndpointSink(lg *slog.Logger, adapter Adapter, state *deployment.State, cfg endpointSinkConfig) *endpointSink {
	return &endpointSink{
		lg: lg, adapter: adapter, state: state, cfg: cfg, absence: storeAbsence{limit: cfg.absenceLimit},
		keptUntil: make(map[string]time.Time),
	}
}

// Replace implements objectwatch.Sink.
func (s *endpointSink) Replace(objects []objectapi.Object, _ objectapi.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeStore()
	next := make(map[string]*deployment.Endpoint, len(objects))
	for _, object := range objects {
		s.upsert(next, object)
	}
	for id := range s.published {
		if next[id] == nil {
			s.removeOrKeep(next, id)
		}
	}
	s.publish(next)
	s.completeAt = s.cfg.now() // Confirm follows with the age of the answer
}

// Apply implements objectwatch.Sink.
func (s *endpointSink) Apply(events []objectapi.WatchEvent, _ objectapi.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeStore()
	next := maps.Clone(s.published)
	if next == nil {
		next = make(map[string]*deployment.Endpoint)
	}
	for _, event := range events {
		if event.Deleted {
			delete(next, event.Object.Name)
			s.removeOrKeep(next, event.Object.Name)
		} else {
			s.upsert(next, event.Object)
		}
	}
	s.publish(next)
	s.completeAt = s.cfg.now() // Confirm follows with the age of the answer
}

// upsert adds or replaces the endpoint of an entry. An entry that cannot be decoded removes the endpoint. The caller
// holds s.mu.
func (s *endpointSink) upsert(next map[string]*deployment.Endpoint, object objectapi.Object) {
	delete(s.keptUntil, object.Name)
	endpoint, err := s.adapter.DecodeEndpoint(object.Name, object.Value)
	if err != nil {
		delete(next, object.Name)
		s.lg.Warn("endpoint entry ignored", "endpoint", object.Name, "error", err.Error())
		return
	}
	previous := s.published[object.Name]
	if previous == nil || previous.Leaving != endpoint.Leaving || previous.Address != endpoint.Address ||
		previous.Unconfirmed {
		s.lg.Info("endpoint changed", "endpoint", endpoint.ID, "service", endpoint.Service,
			"address", endpoint.Address, "leaving", endpoint.Leaving, "version", uint64(object.Version))
	}
	if previous != nil && previous.StartedAtMs != endpoint.StartedAtMs {
		s.cfg.onRestart(endpoint.ID)
	}
	next[object.Name] = endpoint
}

// removeOrKeep logs the removal of an endpoint whose entry no longer exists. If the entry may have expired in an outage
// of the store and the endpoint was not leaving, it keeps the endpoint in next as Unconfirmed until reregistrationTimeout
// has passed since the return of the store. The caller holds s.mu.
func (s *endpointSink) removeOrKeep(next map[string]*deployment.Endpoint, id string) {
	endpoint := s.published[id]
	if endpoint == nil {
		return
	}
	now := s.cfg.now()
	until, kept := s.keptUntil[id]
	if !kept && !endpoint.Leaving && s.absence.awaySince(s.completeAt) {
		until = s.absence.returnTime(now).Add(reregistrationTimeout)
	}
	if !now.Before(until) {
		s.lg.Info("endpoint gone", "endpoint", id)
		delete(s.keptUntil, id)
		return
	}
	if !kept {
		s.keptUntil[id] = until
		s.lg.Info("endpoint entry missing after an outage of the store", "endpoint", id, "kept_ms", until.Sub(now).Milliseconds())
	}
	unconfirmed := *endpoint
	unconfirmed.Unconfirmed = true
	next[id] = &unconfirmed
}

// publish replaces the endpoints of the state with next. The caller holds s.mu.
func (s *endpointSink) publish(next map[string]*deployment.Endpoint) {
	s.published = next
	s.state.SetEndpoints(next)
	if s.cfg.onListed == nil {
		return
	}
	listed := make(map[streamorigin.Origin]bool)
	for _, endpoint := range next {
		listed[streamorigin.Origin{Service: endpoint.Service, Version: endpoint.SoftwareVersion}] = true
	}
	s.cfg.onListed(listed)
}

// Confirm implements objectwatch.Sink.
func (s *endpointSink) Confirm(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completeAt = s.cfg.now().Add(-age)
	if s.cfg.onComplete != nil {
		s.cfg.onComplete(s.completeAt)
	}
}

// observeStore records whether any instance reaches the store. The caller holds s.mu.
func (s *endpointSink) observeStore() { s.absence.observe(s.cfg.now(), s.cfg.configAge()) }

// tick records the evidence of outages of the store and removes the endpoints that did not register again in time after one.
// It is called at least every controlInterval.
func (s *endpointSink) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeStore()
	now := s.cfg.now()
	var next map[string]*deployment.Endpoint
	for id, until := range s.keptUntil {
		if now.Before(until) {
			continue
		}
		if next == nil {
			next = maps.Clone(s.published)
		}
		delete(s.keptUntil, id)
		delete(next, id)
		s.lg.Info("endpoint gone", "endpoint", id)
	}
	if next != nil {
		s.publish(next)
	}
}

// WatchLost implements objectwatch.Sink.
func (s *endpointSink) WatchLost(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostAt = s.completeAt
	s.lg.Warn("endpoint watch lost", "error", err.Error())
}

// WatchRegained implements objectwatch.Sink. store_away states whether the store itself may have been away, or only the
// connection of this instance.
func (s *endpointSink) WatchRegained() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lg.Info("endpoint watch regained", "store_away", s.absence.awaySince(s.lostAt))
}
