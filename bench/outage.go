package bench

import (
	"math/rand"
	"time"

	"knapweedhoist/retry"
)

// Figures of the retry scenario: a service that fails completely for a minute, and 2% of the calls otherwise.
const (
	outageLength = 5 * time.Minute
	outageFrom   = 2 * time.Minute
	outageUntil  = 3 * time.Minute
	outageRate   = 100.0
	outageUsual  = 0.02
	outageTook   = 20 * time.Millisecond
)

// outageWorld is one run of the retry scenario.
type outageWorld struct {
	*loop
	// arrivals and failures have their own seeds, so that all variants see the same arrivals.
	arrivals *rand.Rand
	failures *rand.Rand
	policy   *retry.Policy

	requests, attempts int
	// during counts only requests that arrive in the outage, and all attempts made in it.
	requestsDuring, attemptsDuring int
	succeeded                      int
}

// outageTries are the attempts of a caller without a budget.
const outageTries = 4

func (w *outageWorld) down() bool {
	return w.since() >= outageFrom && w.since() < outageUntil
}

func (w *outageWorld) arrive() {
	w.requests++
	if w.down() {
		w.requestsDuring++
	}
	w.attempt(1, w.now.Add(10*time.Second))
	w.after(gapOf(w.arrivals, outageRate), w.arrive)
}

func (w *outageWorld) attempt(number int, deadline time.Time) {
	w.attempts++
	if w.down() {
		w.attemptsDuring++
	}
	failed := w.down() || w.failures.Float64() < outageUsual
	w.after(outageTook, func() {
		if !failed {
			w.succeeded++
			w.policy.RecordSuccess(serviceModel)
			return
		}
		w.retry(number, deadline)
	})
}

func (w *outageWorld) retry(number int, deadline time.Time) {
	delay, err := w.policy.Next(w.now, retry.Attempt{
		Service: serviceModel, Number: number, Repeatable: true, Deadline: deadline,
	})
	if err != nil {
		return
	}
	w.after(delay, func() { w.attempt(number+1, deadline) })
}

// measureOutage compares the budget with retries that only back off.
func measureOutage(seed int64) *report {
	r := &report{
		name:    "retry_outage",
		about:   "a service fails completely for 1 of 5 minutes, and 2% of the calls otherwise",
		columns: []string{"requests", "amplification", "amplification_in_outage", "succeeded_pct"},
	}
	unlimited := retry.DefaultConfig()
	unlimited.BudgetShare, unlimited.Burst, unlimited.MaxAttempts = 1e6, 1e9, outageTries
	none := retry.DefaultConfig()
	none.MaxAttempts = 1
	for _, v := range []struct {
		name string
		cfg  retry.Config
	}{{"no_retries", none}, {"backoff_only", unlimited}, {"policy", retry.DefaultConfig()}} {
		w := &outageWorld{
			loop: newLoop(), arrivals: rand.New(rand.NewSource(seed)), failures: rand.New(rand.NewSource(seed + 2)),
			policy: retry.NewPolicy(v.cfg, rand.New(rand.NewSource(seed+1))),
		}
		w.arrive()
		w.run(epoch.Add(outageLength))
		r.add(v.name, float64(w.requests), float64(w.attempts)/float64(w.requests),
			float64(w.attemptsDuring)/float64(w.requestsDuring), percent(w.succeeded, w.requests))
	}
	return r
}
