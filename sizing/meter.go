package sizing

import (
	"math"
	"sync"
	"time"
)

const (
	// smoothing is the time constant of rates: a few reports of every instance, and shorter than the start of an
	// endpoint.
	smoothing = 2 * time.Second
	// meterMemory is how long the rate of a silent source counts.
	meterMemory = 5 * time.Second
)

// Gauge turns one instance's own totals into rates. One goroutine uses it.
type Gauge struct {
	rates map[string]*gauged
}

type gauged struct {
	total     int64
	at        time.Time
	perSecond float64
}

// NewGauge returns a Gauge without services.
func NewGauge() *Gauge { return &Gauge{rates: make(map[string]*gauged)} }

// Observe takes in the totals by service and returns the rates a second.
func (g *Gauge) Observe(now time.Time, totals map[string]int64) map[string]float64 {
	rates := make(map[string]float64, len(totals))
	for service, total := range totals {
		known := g.rates[service]
		if known == nil {
			g.rates[service] = &gauged{total: total, at: now}
			continue
		}
		if elapsed := now.Sub(known.at).Seconds(); elapsed > 0 {
			weight := 1 - math.Exp(-elapsed/smoothing.Seconds())
			known.perSecond += weight * (float64(total-known.total)/elapsed - known.perSecond)
			known.total, known.at = total, now
		}
		rates[service] = known.perSecond
	}
	return rates
}

// Meter adds up the rates that instances report. It is safe for concurrent use.
//
// Instances report rates and not totals: an instance that was paused reads many
// old reports at once, whose totals would look like a burst.
type Meter struct {
	mu      sync.Mutex
	sources map[string]reported
}

type reported struct {
	rates map[string]float64
	at    time.Time
}

// NewMeter returns a Meter without sources.
func NewMeter() *Meter { return &Meter{sources: make(map[string]reported)} }

// Observe takes in the rates of an instance by service.
func (m *Meter) Observe(now time.Time, instance string, rates map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sources[instance] = reported{rates: rates, at: now}
}

// Rate returns the sum of the rates for a service, a second.
func (m *Meter) Rate(now time.Time, service string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := 0.0
	for instance, r := range m.sources {
		if now.Sub(r.at) > meterMemory {
			delete(m.sources, instance)
			continue
		}
		sum += r.rates[service]
	}
	return sum
}
