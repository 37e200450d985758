package engine

import (
	"fmt"
	"time"
)

// RefusedError is ErrRefused with the engine's reason and requested delay.
type RefusedError struct {
	// RetryAfter is the delay that the engine requests before a retry; 0 if it requests none.
	RetryAfter time.Duration
	// Reason is the error text of the engine's ProblemBody.
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%v: %s, retry after %v", ErrRefused, e.Reason, e.RetryAfter)
}

// Unwrap returns ErrRefused, so that errors.Is(err, ErrRefused) is true.
func (e *RefusedError) Unwrap() error {
	return ErrRefused
}
