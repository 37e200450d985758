package admission

import "time"

// Decision is the result of admission control for one request.
type Decision struct {
	// Admit means that the request is accepted. An accepted request is never shed afterwards.
	Admit bool
	// RetryAfter is the time after which a retry is expected to be admitted, at most Config.MaxRetryAfter. It is set when
	// Admit is false.
	RetryAfter time.Duration
}
