package entry

import (
	"log/slog"
	"time"

	"knapweedhoist/deployment"
	"knapweedhoist/objectapi"
)

// returnTime is how long an endpoint whose entry disappeared while the store
// was away may take to come back after the store's return, with a margin for
// the calls.
const returnTime = 2200 * time.Millisecond

// endpointSink keeps the endpoints. The watch's goroutine owns it.
type endpointSink struct {
	lg      *slog.Logger
	adapter Adapter
	state   *deployment.State
	// known is the last published map, which is not changed any more.
	known map[string]*deployment.Endpoint
	// missing are endpoints whose entries disappeared in an outage, with the time at which they count as gone.
	missing map[string]time.Time
	// forgiving is the end of the time in which a missing entry may come back.
	forgiving time.Time
	lost      bool
}

// Replace implements objectwatch.Sink.
func (s *endpointSink) Replace(objects []objectapi.Object) {
	next := make(map[string]*deployment.Endpoint, len(objects))
	for _, object := range objects {
		s.put(next, object)
	}
	s.forgive()
	for id := range s.known {
		if next[id] == nil {
			s.disappeared(next, id)
		}
	}
	s.publish(next)
}

// Change implements objectwatch.Sink.
func (s *endpointSink) Change(event objectapi.WatchEvent) {
	s.forgive()
	next := make(map[string]*deployment.Endpoint, len(s.known)+1)
	for id, endpoint := range s.known {
		next[id] = endpoint
	}
	if event.Deleted {
		delete(next, event.Object.Name)
		s.disappeared(next, event.Object.Name)
	} else {
		s.put(next, event.Object)
	}
	s.publish(next)
}

// forgive starts the time in which missing entries may come back, with the first answer after an outage.
func (s *endpointSink) forgive() {
	if s.lost {
		s.forgiving = time.Now().Add(returnTime)
	}
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
	next[object.Name] = endpoint
}

// disappeared keeps an endpoint whose entry may have lapsed in an outage until it had time to come back.
func (s *endpointSink) disappeared(next map[string]*deployment.Endpoint, id string) {
	endpoint := s.known[id]
	if endpoint == nil {
		return
	}
	now := time.Now()
	if !now.Before(s.forgiving) || endpoint.Leaving {
		s.lg.Info("endpoint gone", "endpoint", id)
		return
	}
	if s.missing[id].IsZero() {
		s.missing[id] = s.forgiving
		s.lg.Info("endpoint entry missing after an outage of the store", "endpoint", id)
	}
	next[id] = endpoint
}

func (s *endpointSink) publish(next map[string]*deployment.Endpoint) {
	s.known = next
	s.state.SetEndpoints(next)
}

// Current implements objectwatch.Sink. It drops endpoints that did not come back.
func (s *endpointSink) Current(time.Time) {
	now := time.Now()
	gone := false
	next := make(map[string]*deployment.Endpoint, len(s.known))
	for id, endpoint := range s.known {
		if until, ok := s.missing[id]; ok && !now.Before(until) {
			delete(s.missing, id)
			s.lg.Info("endpoint gone", "endpoint", id)
			gone = true
			continue
		}
		next[id] = endpoint
	}
	if gone {
		s.publish(next)
	}
}

// Lost implements objectwatch.Sink.
func (s *endpointSink) Lost(err error) {
	s.lost = true
	s.lg.Warn("endpoint watch lost", "error", err.Error())
}

// Regained implements objectwatch.Sink.
func (s *endpointSink) Regained() {
	s.forgive()
	s.lost = false
	s.lg.Info("endpoint watch regained")
}
