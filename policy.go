package knapweedhoist

import (
	"context"
	"time"

	"knapweedhoist/backend"
	"knapweedhoist/gateway"
	"knapweedhoist/request"
)

// policy admits everything, retries nothing and has no claims yet.
type policy struct{}

func (policy) Admit(time.Time, gateway.Ask) gateway.Decision { return gateway.Decision{Admitted: true} }

func (policy) Retry(time.Time, backend.Failure) (time.Duration, bool) { return 0, false }
func (policy) Hedge(time.Time, backend.Slow) (bool, time.Duration)    { return false, 0 }
func (policy) Succeeded(string)                                       {}

func (policy) Claim(context.Context, backend.Claim) (backend.Verdict, error) {
	return backend.Verdict{}, backend.ErrClaimUnavailable
}
func (policy) Finish(backend.ClaimEnd) {}

func (policy) Attach(context.Context, request.ID, string, uint64, func(request.Event) error) error {
	return request.ErrNotFound
}
