package deployment

import (
	"sync"
	"sync/atomic"
	"time"

	"knapweedhoist/clock"
)

// View is the state of the deployment as one entry instance knows it at one time. It is immutable.
type View struct {
	// Config is nil until the first configuration was read.
	Config *Config
	// Endpoints maps the ID to the endpoint.
	Endpoints map[string]*Endpoint
	// EndpointsRead reports whether the endpoints were read at least once.
	EndpointsRead bool
}

// State publishes the current View. It is safe for concurrent use; View takes no lock.
type State struct {
	mu   sync.Mutex // serialises updates
	view atomic.Pointer[View]
	// confirmedAt is the time since base, in nanoseconds, at which the store last confirmed that the configuration is the
	// newest. base is a time of package clock, which counts suspended time.
	base        time.Time
	confirmedAt atomic.Int64
}

// NewState returns a State without configuration and endpoints.
func NewState() *State {
	s := &State{base: clock.Now().Add(-time.Hour)}
	s.view.Store(&View{Endpoints: map[string]*Endpoint{}})
	return s
}

// View returns the current view.
func (s *State) View() *View { return s.view.Load() }

// SetConfig publishes a configuration unless one of a newer version is in force. It reports whether it published the
// configuration.
func (s *State) SetConfig(config *Config) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := *s.view.Load()
	if view.Config != nil && config.Version < view.Config.Version {
		return false
	}
	view.Config = config
	s.view.Store(&view)
	return true
}

// SetEndpoints publishes the endpoints by ID. The caller must not change the map afterwards.
func (s *State) SetEndpoints(endpoints map[string]*Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := *s.view.Load()
	view.Endpoints, view.EndpointsRead = endpoints, true
	s.view.Store(&view)
}

// ConfirmConfig records that the configuration in force was the newest at the given time of package clock.
func (s *State) ConfirmConfig(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sinceBase := int64(at.Sub(s.base)); sinceBase > s.confirmedAt.Load() {
		s.confirmedAt.Store(sinceBase)
	}
}

// ConfigAge returns the time from the latest confirmed time to now, a time of package clock. It is over an hour
// before the first ConfirmConfig.
func (s *State) ConfigAge(now time.Time) time.Duration {
	return now.Sub(s.base) - time.Duration(s.confirmedAt.Load())
}
