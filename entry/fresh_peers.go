package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"knapweedhoist/fleetstate"
)

// freshPeers knows which other instances reached the store a moment ago, from the ages of the configuration in their messages.
// It is safe for concurrent use.
type freshPeers struct {
	mu sync.Mutex
	// confirmedAt is the time at which the instance at an address last confirmed its configuration.
	confirmedAt map[string]time.Time
}

func newFreshPeers() *freshPeers { return &freshPeers{confirmedAt: make(map[string]time.Time)} }

// observe records the age of the sender's configuration.
func (p *freshPeers) observe(now time.Time, sender fleetstate.Sender) {
	if sender.ConfigVersion == 0 || sender.Address == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.confirmedAt[sender.Address] = now.Add(-sender.ConfigAge)
}

// addresses returns the addresses of the instances whose configuration is at most limit old, the newest first. It forgets
// the others.
func (p *freshPeers) addresses(now time.Time, limit time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var fresh []string
	for address, at := range p.confirmedAt {
		if now.Sub(at) > limit {
			delete(p.confirmedAt, address)
			continue
		}
		fresh = append(fresh, address)
	}
	slices.SortFunc(fresh, func(a, b string) int {
		return cmp.Or(p.confirmedAt[b].Compare(p.confirmedAt[a]), cmp.Compare(a, b))
	})
	return fresh
}
