package retry

import "errors"

// Reasons why Policy.Next allows no further attempt.
var (
	ErrNotRepeatable    = errors.New("retry: call is not repeatable")
	ErrMaxAttempts      = errors.New("retry: attempt limit reached")
	ErrBudgetExhausted  = errors.New("retry: retry budget of the service is exhausted")
	ErrDeadlineExceeded = errors.New("retry: next attempt would start after the deadline")
)
