package sizing

import (
	"math"
	"sync"
	"time"
)

const (
	// averagingTime is the time constant of the moving average of rates. It spans several reports of each instance and is
	// shorter than an endpoint takes to start.
	averagingTime = 2 * time.Second
	// reportExpiry is the time without a report after which the rates of an instance are dropped.
	reportExpiry = 5 * time.Second
)

// RateEstimator estimates rates from one instance's own running totals, as an exponentially weighted moving average. It
// is not safe for concurrent use.
type RateEstimator struct {
	services map[string]*serviceRate
}

// serviceRate is the last total of a service and its estimated rate.
type serviceRate struct {
	total      int64
	observedAt time.Time
	perSecond  float64
}

// NewRateEstimator returns a RateEstimator that has observed no service.
func NewRateEstimator() *RateEstimator {
	return &RateEstimator{services: make(map[string]*serviceRate)}
}

// Observe updates the estimates with the running totals by service and returns the rates per second. A service that is
// observed for the first time has no rate.
func (e *RateEstimator) Observe(now time.Time, totals map[string]int64) map[string]float64 {
	rates := make(map[string]float64, len(totals))
	for service, total := range totals {
		known := e.services[service]
		if known == nil {
			e.services[service] = &serviceRate{total: total, observedAt: now}
			continue
		}
		if elapsed := now.Sub(known.observedAt).Seconds(); elapsed > 0 {
			weight := 1 - math.Exp(-elapsed/averagingTime.Seconds())
			known.perSecond += weight * (float64(total-known.total)/elapsed - known.perSecond)
			known.total, known.observedAt = total, now
		}
		rates[service] = known.perSecond
	}
	return rates
}

// Meter sums the rates that the instances report. It is safe for concurrent use.
//
// Instances report rates and not totals: an instance that was paused reads many
// old reports at once, and their totals would look like a burst.
type Meter struct {
	mu      sync.Mutex // guards reports
	reports map[string]instanceReport
}

// instanceReport is the newest report of an instance: its rates per second by service, and when it was observed.
type instanceReport struct {
	rates      map[string]float64
	observedAt time.Time
}

// NewMeter returns a Meter without reports.
func NewMeter() *Meter { return &Meter{reports: make(map[string]instanceReport)} }

// Observe replaces the rates of an instance. rates has rates per second by service; the caller does not change it
// afterwards.
func (m *Meter) Observe(now time.Time, instance string, rates map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports[instance] = instanceReport{rates: rates, observedAt: now}
}

// Rate returns the rate per second of a service, summed over the instances whose last report is at most reportExpiry old.
func (m *Meter) Rate(now time.Time, service string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := 0.0
	for instance, report := range m.reports {
		if now.Sub(report.observedAt) > reportExpiry {
			delete(m.reports, instance)
			continue
		}
		sum += report.rates[service]
	}
	return sum
}
