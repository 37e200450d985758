package reach

import (
	"slices"
	"sync"
	"time"
)

const (
	// goodTTL is how long an instance that has answered is preferred to those that were not tried.
	goodTTL = 3 * time.Second
	// badTTL is how long an instance that reaches no endpoint, or was not reached itself, is left out.
	badTTL = time.Second
	// enoughGood is the number of preferred instances from which on no others are tried, so that one instance does not get the
	// requests of several.
	enoughGood = 8
)

// Peers knows which other instances have passed requests on a moment ago. It is safe for concurrent use.
type Peers struct {
	mu sync.Mutex
	// all holds the addresses of the other instances.
	all                 []string
	goodUntil, badUntil map[string]time.Time
}

// NewPeers returns a Peers without instances.
func NewPeers() *Peers {
	return &Peers{goodUntil: make(map[string]time.Time), badUntil: make(map[string]time.Time)}
}

// Set replaces the addresses of the other instances. The caller must not change them afterwards.
func (p *Peers) Set(now time.Time, addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = addresses
	for _, until := range []map[string]time.Time{p.goodUntil, p.badUntil} {
		for address, end := range until {
			if !now.Before(end) {
				delete(until, address)
			}
		}
	}
}

// Choose returns up to limit instances to pass a request to, in the order in which to try them. random returns a number in
// [0, 1), which spreads the requests over the instances.
func (p *Peers) Choose(now time.Time, limit int, random func() float64) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var good, untried []string
	for _, address := range p.all {
		switch {
		case now.Before(p.badUntil[address]):
		case now.Before(p.goodUntil[address]):
			good = append(good, address)
		default:
			untried = append(untried, address)
		}
	}
	shuffle(good, random)
	shuffle(untried, random)
	chosen := slices.Concat(good, untried)
	if len(good) < enoughGood && len(untried) > 0 {
		chosen = slices.Concat(untried[:1], good, untried[1:])
	}
	return chosen[:min(limit, len(chosen))]
}

// shuffle puts the addresses into a random order.
func shuffle(addresses []string, random func() float64) {
	for n := len(addresses) - 1; n > 0; n-- {
		other := int(random() * float64(n+1))
		addresses[n], addresses[other] = addresses[other], addresses[n]
	}
}

// Passed records that an instance has passed a request on.
func (p *Peers) Passed(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.goodUntil[address] = now.Add(goodTTL)
	delete(p.badUntil, address)
}

// Failed records that an instance has not passed a request on.
func (p *Peers) Failed(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.badUntil[address] = now.Add(badTTL)
	delete(p.goodUntil, address)
}
