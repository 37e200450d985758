package sizing

import (
	"math"
	"sync"
	"time"
)

// Source names who counts: an instance, or one start of it.
type Source struct {
	Instance string
	Boot     uint64
}

// Meter turns the totals that instances report into rates over all of them. It is safe for concurrent use.
type Meter struct {
	mu    sync.Mutex
	rates map[meterKey]*rate
}

type meterKey struct {
	source  Source
	service string
}

type rate struct {
	total     int64
	at        time.Time
	perSecond float64
}

const (
	// smoothing is the time constant of the rates: a few reports of every instance, and shorter than the start of
	// an endpoint.
	smoothing = 2 * time.Second
	// meterMemory is how long the rate of a silent source counts.
	meterMemory = 5 * time.Second
)

// NewMeter returns a Meter without sources.
func NewMeter() *Meter { return &Meter{rates: make(map[meterKey]*rate)} }

// Observe takes in the total of a source for a service.
func (m *Meter) Observe(now time.Time, source Source, service string, total int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := meterKey{source, service}
	r := m.rates[key]
	if r == nil {
		m.rates[key] = &rate{total: total, at: now}
		return
	}
	elapsed := now.Sub(r.at).Seconds()
	if elapsed <= 0 || total < r.total {
		return
	}
	weight := 1 - math.Exp(-elapsed/smoothing.Seconds())
	r.perSecond += weight * (float64(total-r.total)/elapsed - r.perSecond)
	r.total, r.at = total, now
}

// Rate returns the sum of the rates for a service, a second.
func (m *Meter) Rate(now time.Time, service string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := 0.0
	for key, r := range m.rates {
		if now.Sub(r.at) > meterMemory {
			delete(m.rates, key)
			continue
		}
		if key.service == service {
			sum += r.perSecond
		}
	}
	return sum
}
