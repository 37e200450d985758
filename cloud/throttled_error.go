package cloud

import (
	"fmt"
	"time"
)

// ThrottledError is ErrThrottled with the delay that the cloud asks for before a retry.
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
