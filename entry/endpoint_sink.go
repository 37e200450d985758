package entry

import (
	"log/slog"
	"maps"
	"sync"
	"time"

	"knapweedhoist/deployment"
	"knapweedhoist/objectapi"
)

// returnTime is how long an endpoint whose entry disappeared while the store
// was away may take to come back after the store's return.
const returnTime = 2 * time.Second

// endpointSink keeps the endpoints: the watch changes them, and the control
// goroutine ends the time in which missing entries may come back.
type endpointSink struct {
	lg      *slog.Logger
	adapter Adapter
	state   *deployment.State
	now     func() time.Time
	// restarted is called for an endpoint that has started again under its ID.
	restarted func(id string)

	mu sync.Mutex
	// known is the last published map, which is not changed any more.
	known map[string]*deployment.Endpoint
	// missing are endpoints whose entries disappeared in an outage, with the time at which they count as gone.
	missing map[string]time.Time
	// lost is set from the first failed call to the first answer. What disappears with that answer may have lapsed
	// in the outage; what is deleted later is gone.
	lost bool
}

func newEndpointSink(
	lg *slog.Logger, adapter Adapter, state *deployment.State, now func() time.Time, restarted func(string),
) *endpointSink {
	return &endpointSink{lg: lg, adapter: adapter, state: state, now: now, restarted: restarted, missing: make(map[string]time.Time)}
}

// Replace implements objectwatch.Sink.
func (s *endpointSink) Replace(objects []objectapi.Object, _ objectapi.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string]*deployment.Endpoint, len(objects))
	for _, object := range objects {
		s.put(next, object)
	}
	for id := range s.known {
		if next[id] == nil {
			s.disappeared(next, id)
		}
	}
	s.publish(next)
}

// Change implements objectwatch.Sink.
func (s *endpointSink) Change(events []objectapi.WatchEvent, _ objectapi.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := maps.Clone(s.known)
	if next == nil {
		next = make(map[string]*deployment.Endpoint)
	}
	for _, event := range events {
		if event.Deleted {
			delete(next, event.Object.Name)
			s.disappeared(next, event.Object.Name)
		} else {
			s.put(next, event.Object)
		}
	}
	s.publish(next)
}

// put adds the endpoint of an entry. An entry that cannot be read names none.
func (s *endpointSink) put(next map[string]*deployment.Endpoint, object objectapi.Object) {
	delete(s.missing, object.Name)
	endpoint, err := s.adapter.DecodeEndpoint(object.Name, object.Value)
	if err != nil {
		delete(next, object.Name)
		s.lg.Warn("endpoint entry ignored", "endpoint", object.Name, "error", err.Error())
		return
	}
	known := s.known[object.Name]
	if known == nil || known.Leaving != endpoint.Leaving || known.Address != endpoint.Address {
		s.lg.Info("endpoint changed", "endpoint", endpoint.ID, "service", endpoint.Service,
			"address", endpoint.Address, "leaving", endpoint.Leaving, "version", uint64(object.Version))
	}
	if known != nil && known.StartedAtMs != endpoint.StartedAtMs {
		s.restarted(endpoint.ID)
	}
	next[object.Name] = endpoint
}

// disappeared keeps an endpoint whose entry may have lapsed in an outage until it had time to come back.
func (s *endpointSink) disappeared(next map[string]*deployment.Endpoint, id string) {
	endpoint := s.known[id]
	if endpoint == nil {
		return
	}
	if until, ok := s.missing[id]; ok && s.now().Before(until) {
		next[id] = endpoint
		return
	}
	if !s.lost || endpoint.Leaving {
		s.lg.Info("endpoint gone", "endpoint", id)
		delete(s.missing, id)
		return
	}
	s.missing[id] = s.now().Add(returnTime)
	s.lg.Info("endpoint entry missing after an outage of the store", "endpoint", id)
	next[id] = endpoint
}

func (s *endpointSink) publish(next map[string]*deployment.Endpoint) {
	s.known = next
	s.state.SetEndpoints(next)
}

// Current implements objectwatch.Sink.
func (s *endpointSink) Current(time.Duration) {}

// expire drops endpoints that did not come back after an outage.
func (s *endpointSink) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var next map[string]*deployment.Endpoint
	for id, until := range s.missing {
		if now.Before(until) {
			continue
		}
		if next == nil {
			next = maps.Clone(s.known)
		}
		delete(s.missing, id)
		delete(next, id)
		s.lg.Info("endpoint gone", "endpoint", id)
	}
	if next != nil {
		s.publish(next)
	}
}

// Lost implements objectwatch.Sink.
func (s *endpointSink) Lost(err error) {
	s.setLost(true)
	s.lg.Warn("endpoint watch lost", "error", err.Error())
}

// Regained implements objectwatch.Sink.
func (s *endpointSink) Regained() {
	s.setLost(false)
	s.lg.Info("endpoint watch regained")
}

func (s *endpointSink) setLost(lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = lost
}
