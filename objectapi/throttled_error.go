package objectapi

import (
	"fmt"
	"time"
)

// ThrottledError is ErrThrottled with the time that the platform asks to wait.
type ThrottledError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *ThrottledError) Error() string {
	return fmt.Sprintf("%v, retry after %v", ErrThrottled, e.RetryAfter)
}

// Unwrap makes errors.Is(err, ErrThrottled) hold.
func (e *ThrottledError) Unwrap() error {
	return ErrThrottled
}
