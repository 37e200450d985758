package knapweedhoist

import (
	"time"

	"knapweedhoist/admission"
	"knapweedhoist/backend"
	"knapweedhoist/retry"
)

// Retry implements backend.Retrier.
func (p *policy) Retry(now time.Time, failure backend.Failure) (time.Duration, bool) {
	delay, err := p.retries.Next(now, retry.Attempt{
		Service: failure.Service, Number: failure.Attempt, Repeatable: true, DeliveredTokens: failure.DeliveredTokens,
		Deadline: failure.Deadline,
	})
	return delay, err == nil
}

// Hedge implements backend.Retrier.
func (p *policy) Hedge(_ time.Time, slow backend.SlowAttempt) (start bool, recheckAfter time.Duration) {
	estimate := p.estimator.Estimate(slow.Service, slow.Team, slow.PromptTokens, slow.MaxTokens)
	attempt := retry.Attempt{
		Service: slow.Service, Number: 1, Repeatable: true, Idempotent: true, Short: estimate.Class == admission.ClassShort,
	}
	delay, allowed := p.retries.HedgeDelay(attempt)
	if !allowed {
		return false, 0
	}
	if slow.Elapsed < delay {
		return false, delay - slow.Elapsed
	}
	return p.retries.AllowHedge(attempt), 0
}

// RecordSuccess implements backend.Retrier.
func (p *policy) RecordSuccess(service string) {
	p.retries.RecordSuccess(service)
}
