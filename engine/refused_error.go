package engine

import (
	"fmt"
	"time"
)

// RefusedError is ErrRefused with the time that the engine asks to wait; 0 when it gives none.
type RefusedError struct {
	RetryAfter time.Duration
	Reason     string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%v: %s, retry after %v", ErrRefused, e.Reason, e.RetryAfter)
}

// Unwrap makes errors.Is(err, ErrRefused) hold.
func (e *RefusedError) Unwrap() error {
	return ErrRefused
}
