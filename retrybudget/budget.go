// Package retrybudget bounds the sends beyond the first of each request, over
// all entry instances together.
//
// Every instance may add a share of its own requests in the window, and its part
// of a fixed slack. The parts add up to the bound however the instances are cut
// off, because none borrows from another.
//
// Load pattern: an outage of many endpoints fails most sends at once, at all
// instances; repeats must not multiply the load.
//
// The package has no clock. Budget is safe for concurrent use.
package retrybudget

import (
	"sync"
	"time"
)

// Config bounds the extra sends of each service.
type Config struct {
	// Ratio is the extra sends per request in a window.
	Ratio float64
	// Slack is the extra sends in a window beside the ratio, over all instances.
	Slack float64
	// Window is the length of the window, which slides.
	Window time.Duration
}

// useShare is the part of the bound that is used: an instance that restarts
// forgets what it sent in the window.
const useShare = 0.6

// slots is the number of parts that a window is counted in.
const slots = 20

// Budget counts requests and extra sends.
type Budget struct {
	cfg      Config
	mu       sync.Mutex
	members  int
	services map[string]*window
	base     time.Time
}

type window struct {
	requests, extras counter
}

// NewBudget returns a Budget for a deployment of one instance.
func NewBudget(now time.Time, cfg Config) *Budget {
	return &Budget{cfg: cfg, members: 1, services: make(map[string]*window), base: now}
}

// SetMembers sets the number of instances that share the slack.
func (b *Budget) SetMembers(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members = max(n, 1)
}

// SetBounds changes the ratio and the slack; sends so far stay counted.
func (b *Budget) SetBounds(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Ratio, b.cfg.Slack = ratio, slack
}

// Request counts a request for the service.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).requests.add(b.slot(now))
}

// Take counts an extra send for the service if the budget allows it.
func (b *Budget) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, slot := b.window(service), b.slot(now)
	allowed := useShare * (b.cfg.Ratio*float64(w.requests.sum(slot)) + b.cfg.Slack/float64(b.members))
	if float64(w.extras.sum(slot)+1) > allowed {
		return false
	}
	w.extras.add(slot)
	return true
}

func (b *Budget) slot(now time.Time) int64 {
	return int64(now.Sub(b.base) / (b.cfg.Window / slots))
}

func (b *Budget) window(service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	return w
}
