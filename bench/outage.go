package bench

import (
	"math/rand"
	"time"

	"knapweedhoist/retry"
)

// Parameters of the retry scenario: a service fails all calls for a minute, and 2% of the calls otherwise.
const (
	outageLength            = 5 * time.Minute
	outageFrom              = 2 * time.Minute
	outageUntil             = 3 * time.Minute
	outageArrivalsPerSecond = 100.0
	outageBaseFailureShare  = 0.02
	outageCallTime          = 20 * time.Millisecond
)

// outageSimulation is one run of the retry scenario.
type outageSimulation struct {
	*loop
	// arrivals and failures have their own seeds, so that all variants see the same arrivals.
	arrivals *rand.Rand
	failures *rand.Rand
	policy   *retry.Policy

	requests, attempts int
	// requestsInOutage counts the requests that arrive during the outage, attemptsInOutage all attempts made during it.
	requestsInOutage, attemptsInOutage int
	succeeded                          int
}

// outageMaxAttempts limits the attempts per request of a caller without a retry budget.
const outageMaxAttempts = 4

func (sim *outageSimulation) down() bool {
	return sim.elapsed() >= outageFrom && sim.elapsed() < outageUntil
}

func (sim *outageSimulation) handleArrival() {
	sim.requests++
	if sim.down() {
		sim.requestsInOutage++
	}
	sim.attempt(1, sim.now.Add(10*time.Second))
	sim.schedule(exponentialGap(sim.arrivals, outageArrivalsPerSecond), sim.handleArrival)
}

func (sim *outageSimulation) attempt(number int, deadline time.Time) {
	sim.attempts++
	if sim.down() {
		sim.attemptsInOutage++
	}
	failed := sim.down() || sim.failures.Float64() < outageBaseFailureShare
	sim.schedule(outageCallTime, func() {
		if !failed {
			sim.succeeded++
			sim.policy.RecordSuccess(serviceModel)
			return
		}
		sim.retry(number, deadline)
	})
}

func (sim *outageSimulation) retry(number int, deadline time.Time) {
	delay, err := sim.policy.Next(sim.now, retry.Attempt{
		Service: serviceModel, Number: number, Repeatable: true, Deadline: deadline,
	})
	if err != nil {
		return
	}
	sim.schedule(delay, func() { sim.attempt(number+1, deadline) })
}

// measureOutage compares the retry budget with no retries and with retries that only back off.
func measureOutage(seed int64) *report {
	r := &report{
		name:    "retry_outage",
		about:   "a service fails completely for 1 of 5 minutes, and 2% of the calls otherwise",
		columns: []string{"requests", "amplification", "amplification_in_outage", "succeeded_pct"},
	}
	unlimited := retry.DefaultConfig()
	unlimited.BudgetShare, unlimited.Burst, unlimited.MaxAttempts = 1e6, 1e9, outageMaxAttempts
	none := retry.DefaultConfig()
	none.MaxAttempts = 1
	for _, v := range []struct {
		name string
		cfg  retry.Config
	}{{"no_retries", none}, {"backoff_only", unlimited}, {"policy", retry.DefaultConfig()}} {
		sim := &outageSimulation{
			loop: newLoop(), arrivals: rand.New(rand.NewSource(seed)), failures: rand.New(rand.NewSource(seed + 2)),
			policy: retry.NewPolicy(v.cfg, rand.New(rand.NewSource(seed+1))),
		}
		sim.handleArrival()
		sim.run(epoch.Add(outageLength))
		r.add(v.name, float64(sim.requests), float64(sim.attempts)/float64(sim.requests),
			float64(sim.attemptsInOutage)/float64(sim.requestsInOutage), percent(sim.succeeded, sim.requests))
	}
	return r
}
