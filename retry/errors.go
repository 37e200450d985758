package retry

import "errors"

// Reasons why Policy.Next allows no further attempt.
var (
	ErrNotRepeatable = errors.New("retry: call is not repeatable")
	ErrAttempts      = errors.New("retry: attempt limit reached")
	ErrBudget        = errors.New("retry: retry budget of the service is exhausted")
	ErrDeadline      = errors.New("retry: next attempt would start after the deadline")
)
