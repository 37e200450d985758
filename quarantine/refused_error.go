package quarantine

import (
	"fmt"
	"time"
)

// RefusedError states that a key of a request is quarantined.
type RefusedError struct {
	Key Key
	// RetryAfter is the time until the key is tried again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("quarantine: requests with the %s %v crash endpoints", e.Key.Kind(), e.Key)
}
