package reach

import (
	"sync"
	"time"

	"knapweedhoist/internal/defaults"
)

// Config holds the thresholds of a Monitor. Zero fields take their defaults.
type Config struct {
	// MinEndpoints is the number of different endpoints that must have failed since the last answer of any, or all if there are
	// fewer. Default 3.
	MinEndpoints int
	// Silence is the time without an answer of any endpoint. Default 400 ms: longer than an attempt to open a connection.
	Silence time.Duration
	// FailureTTL is how long a failure counts while no endpoint answers. Default 10 s.
	FailureTTL time.Duration
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.MinEndpoints, 3)
	defaults.Set(&c.Silence, 400*time.Millisecond)
	defaults.Set(&c.FailureTTL, 10*time.Second)
	return c
}

// Monitor follows whether the endpoints answer one instance. It is safe for concurrent use.
type Monitor struct {
	cfg Config

	mu sync.Mutex
	// heardAt is when an endpoint last answered, failedAt when each endpoint last failed since then.
	heardAt  time.Time
	failedAt map[string]time.Time
}

// NewMonitor returns a Monitor to which no endpoint has failed.
func NewMonitor(cfg Config) *Monitor {
	return &Monitor{cfg: cfg.withDefaults(), failedAt: make(map[string]time.Time)}
}

// Heard records that an endpoint answered or accepted a connection.
func (m *Monitor) Heard(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !now.After(m.heardAt) {
		return
	}
	m.heardAt = now
	if len(m.failedAt) > 0 {
		clear(m.failedAt)
	}
}

// HeardSince reports whether an endpoint has answered after the given time.
func (m *Monitor) HeardSince(since time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heardAt.After(since)
}

// Failed records that a connection to an endpoint could not be opened, or was given up because the endpoint was silent.
func (m *Monitor) Failed(now time.Time, endpoint string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failedAt[endpoint] = now
}

// Lost reports whether the instance has lost its paths to all of the given number of endpoints.
func (m *Monitor) Lost(now time.Time, endpoints int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for endpoint, at := range m.failedAt {
		if now.Sub(at) > m.cfg.FailureTTL {
			delete(m.failedAt, endpoint)
		}
	}
	required := min(m.cfg.MinEndpoints, endpoints)
	return required > 0 && len(m.failedAt) >= required && now.Sub(m.heardAt) >= m.cfg.Silence
}

// Evidence returns what Lost decides by: the time since the last answer, and the number of endpoints that have failed since.
func (m *Monitor) Evidence(now time.Time) (silence time.Duration, failed int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.heardAt), len(m.failedAt)
}
