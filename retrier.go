package knapweedhoist

import (
	"time"

	"knapweedhoist/backend"
)

// retrier allows no further attempts.
type retrier struct{}

// Retry implements backend.Retrier.
func (p *policy) Retry(now time.Time, failure backend.Failure) (time.Duration, bool) {
	return p.retries.retry(now, failure)
}

// Hedge implements backend.Retrier.
func (p *policy) Hedge(now time.Time, slow backend.Slow) (bool, time.Duration) {
	return p.retries.hedge(now, slow)
}

// Succeeded implements backend.Retrier.
func (p *policy) Succeeded(service string) {
	p.retries.succeeded(service)
}

func (retrier) retry(_ time.Time, failure backend.Failure) (time.Duration, bool) {
	return 50 * time.Millisecond, failure.Attempt < 4
}
func (retrier) hedge(time.Time, backend.Slow) (bool, time.Duration) { return false, 0 }
func (retrier) succeeded(string)                                    {}
