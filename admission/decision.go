package admission

import "time"

// Decision is the outcome of admission.
type Decision struct {
	// Admit: the request is accepted and never shed afterwards.
	Admit bool
	// RetryAfter is when a new try is expected to be admitted; set when Admit is false.
	RetryAfter time.Duration
}
