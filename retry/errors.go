package retry

import "errors"

// Reasons for which Next gives no further attempt.
var (
	ErrNotRepeatable = errors.New("retry: the call must not be repeated")
	ErrAttempts      = errors.New("retry: too many attempts")
	ErrBudget        = errors.New("retry: the service's budget is spent")
	ErrDeadline      = errors.New("retry: the deadline is too near")
)
