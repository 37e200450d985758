package deployment

import (
	"sync"
	"sync/atomic"
	"time"

	"knapweedhoist/clock"
)

// View is what an entry instance knows of its deployment at one moment.
type View struct {
	// Config is nil before the first one was read.
	Config *Config
	// Endpoints is by ID.
	Endpoints map[string]*Endpoint
	// Listed tells that the endpoints were read at least once.
	Listed bool
}

// State publishes views. It is safe for concurrent use; reads take no lock.
type State struct {
	mu   sync.Mutex // orders updates
	view atomic.Pointer[View]
	// confirmed is the time since base at which the store last confirmed the configuration, by a clock that counts
	// suspended time.
	base      time.Time
	confirmed atomic.Int64
}

// NewState returns a State without configuration.
func NewState() *State {
	s := &State{base: clock.Now().Add(-time.Hour)}
	s.view.Store(&View{Endpoints: map[string]*Endpoint{}})
	return s
}

// View returns the current view.
func (s *State) View() *View { return s.view.Load() }

// SetConfig publishes a configuration unless one at least as new is in force.
// It reports whether it did.
func (s *State) SetConfig(config *Config) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := *s.view.Load()
	if view.Config != nil && config.Version <= view.Config.Version {
		return false
	}
	view.Config = config
	s.view.Store(&view)
	return true
}

// SetEndpoints publishes the endpoints, by ID. The caller does not change the map afterwards.
func (s *State) SetEndpoints(endpoints map[string]*Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := *s.view.Load()
	view.Endpoints, view.Listed = endpoints, true
	s.view.Store(&view)
}

// Confirm notes that the configuration in force was the newest at the given time of package clock.
func (s *State) Confirm(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if since := int64(at.Sub(s.base)); since > s.confirmed.Load() {
		s.confirmed.Store(since)
	}
}

// ConfirmedFor returns how long before now, of package clock, the configuration was last known to be the newest.
func (s *State) ConfirmedFor(now time.Time) time.Duration {
	return now.Sub(s.base) - time.Duration(s.confirmed.Load())
}
