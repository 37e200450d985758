// Package retrybudget bounds the extra sends of requests, which are all sends of a
// request after its first one, for each service and over all entry instances
// together. An outage of many endpoints makes most sends fail at the same time at
// all instances; retries must not multiply that load.
//
// In each sliding window an instance may make extra sends up to a share of the
// number of its own requests plus its part of a fixed slack. Instances do not
// borrow from each other, so that all parts together stay within the bound also
// while instances cannot reach each other.
//
// The package does not read a clock: callers pass the time. Budget is safe for
// concurrent use.
package retrybudget

import (
	"sync"
	"time"
)

// Config bounds the extra sends of each service.
type Config struct {
	// Ratio is the number of extra sends per request in a window.
	Ratio float64
	// Slack is the number of further extra sends in a window, over all instances together.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// usableShare is the share of the bound that an instance uses. The rest is a margin
// for restarts: an instance that restarts loses its counts of the window.
const usableShare = 0.6

// windowSlots is the number of slots that a window is divided into.
const windowSlots = 20

// Budget counts the requests and the extra sends of each service at one instance.
type Budget struct {
	cfg Config
	// mu guards cfg, instances and services.
	mu        sync.Mutex
	instances int
	services  map[string]*serviceCounts
	// start is the start of slot 0.
	start time.Time
}

// serviceCounts holds the requests and extra sends of one service in the window.
type serviceCounts struct {
	requests, extras slidingCounter
}

// NewBudget returns a Budget for a deployment of one instance.
func NewBudget(now time.Time, cfg Config) *Budget {
	return &Budget{cfg: cfg, instances: 1, services: make(map[string]*serviceCounts), start: now}
}

// SetInstances sets the number of instances that share the slack; less than 1 counts as 1.
func (b *Budget) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(n, 1)
}

// SetBounds changes the ratio and the slack. The counts of the current window are kept.
func (b *Budget) SetBounds(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Ratio, b.cfg.Slack = ratio, slack
}

// RecordRequest counts a request of the service.
func (b *Budget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts(service).requests.add(b.slot(now))
}

// Take reports whether the service may make an extra send now, and counts it if so.
func (b *Budget) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts, slot := b.counts(service), b.slot(now)
	allowed := usableShare * (b.cfg.Ratio*float64(counts.requests.total(slot)) + b.cfg.Slack/float64(b.instances))
	if float64(counts.extras.total(slot)+1) > allowed {
		return false
	}
	counts.extras.add(slot)
	return true
}

// Return gives back an extra send that Take counted at takenAt and that was not made.
func (b *Budget) Return(now, takenAt time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts(service).extras.remove(b.slot(takenAt), b.slot(now))
}

// slot returns the number of the slot at the given time.
func (b *Budget) slot(now time.Time) int64 {
	return int64(now.Sub(b.start) / (b.cfg.Window / windowSlots))
}

// counts returns the counts of a service, which it creates on first use. The caller holds b.mu.
func (b *Budget) counts(service string) *serviceCounts {
	counts := b.services[service]
	if counts == nil {
		counts = &serviceCounts{}
		b.services[service] = counts
	}
	return counts
}
