package objectapi

import (
	"fmt"
	"time"
)

// ThrottledError wraps ErrThrottled and holds the time that the platform asks the caller to wait.
type ThrottledError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *ThrottledError) Error() string {
	return fmt.Sprintf("%v, retry after %v", ErrThrottled, e.RetryAfter)
}

// Unwrap returns ErrThrottled, so that errors.Is matches it.
func (e *ThrottledError) Unwrap() error {
	return ErrThrottled
}
