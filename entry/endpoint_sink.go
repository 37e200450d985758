package entry

import (
	"log/slog"
	"maps"
	"sync"
	"time"

	"knapweedhoist/deployment"
	"knapweedhoist/objectapi"
)

// reregistrationTimeout is how long an endpoint is kept whose entry expired during an outage of the store. The endpoint
// has to register again within that time after the store answers again.
const reregistrationTimeout = 2 * time.Second

// endpointSink publishes the endpoints of the store. The goroutine of the watch adds and removes them; the control
// goroutine removes those that did not register again in time after an outage of the store.
type endpointSink struct {
	lg      *slog.Logger
	adapter Adapter
	state   *deployment.State
	now     func() time.Time
	// onRestart is called with the ID of an endpoint whose process has restarted under the same ID.
	onRestart func(id string)

	mu sync.Mutex
	// published holds the endpoints that were last published, by ID. The map is immutable.
	published map[string]*deployment.Endpoint
	// keptUntil holds the endpoints whose entries were missing after an outage, by ID. The value is the time at which the
	// endpoint is removed unless it has registered again.
	keptUntil map[string]time.Time
	// storeLost is set from the first failed call to the first answer. Entries that are missing in that answer may have
	// expired in the outage; entries that are deleted later were deleted on purpose.
	storeLost bool
}

func newEndpointSink(
	lg *slog.Logger, adapter Adapter, state *deployment.State, now func() time.Time, onRestart func(string),
) *endpointSink {
	return &endpointSink{lg: lg, adapter: adapter, state: state, now: now, onRestart: onRestart, keptUntil: make(map[string]time.Time)}
}

// Replace implements objectwatch.Sink.
func (s *endpointSink) Replace(objects []objectapi.Object, _ objectapi.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
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
}

// Apply implements objectwatch.Sink.
func (s *endpointSink) Apply(events []objectapi.WatchEvent, _ objectapi.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
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
	if previous == nil || previous.Leaving != endpoint.Leaving || previous.Address != endpoint.Address {
		s.lg.Info("endpoint changed", "endpoint", endpoint.ID, "service", endpoint.Service,
			"address", endpoint.Address, "leaving", endpoint.Leaving, "version", uint64(object.Version))
	}
	if previous != nil && previous.StartedAtMs != endpoint.StartedAtMs {
		s.onRestart(endpoint.ID)
	}
	next[object.Name] = endpoint
}

// removeOrKeep logs the removal of an endpoint whose entry no longer exists. If the entry may have expired in an outage
// of the store and the endpoint was not leaving, it keeps the endpoint in next until reregistrationTimeout has passed.
// The caller holds s.mu.
func (s *endpointSink) removeOrKeep(next map[string]*deployment.Endpoint, id string) {
	endpoint := s.published[id]
	if endpoint == nil {
		return
	}
	if until, ok := s.keptUntil[id]; ok && s.now().Before(until) {
		next[id] = endpoint
		return
	}
	if !s.storeLost || endpoint.Leaving {
		s.lg.Info("endpoint gone", "endpoint", id)
		delete(s.keptUntil, id)
		return
	}
	s.keptUntil[id] = s.now().Add(reregistrationTimeout)
	s.lg.Info("endpoint entry missing after an outage of the store", "endpoint", id)
	next[id] = endpoint
}

// publish replaces the endpoints of the state with next. The caller holds s.mu.
func (s *endpointSink) publish(next map[string]*deployment.Endpoint) {
	s.published = next
	s.state.SetEndpoints(next)
}

// Confirm implements objectwatch.Sink.
func (s *endpointSink) Confirm(time.Duration) {}

// expire removes the endpoints that did not register again in time after an outage.
func (s *endpointSink) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
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
	s.setStoreLost(true)
	s.lg.Warn("endpoint watch lost", "error", err.Error())
}

// WatchRegained implements objectwatch.Sink.
func (s *endpointSink) WatchRegained() {
	s.setStoreLost(false)
	s.lg.Info("endpoint watch regained")
}

func (s *endpointSink) setStoreLost(lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeLost = lost
}
