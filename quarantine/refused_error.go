package quarantine

import (
	"fmt"
	"time"
)

// RefusedError states that a request has a part that is quarantined.
type RefusedError struct {
	Part uint64
	// RetryAfter is the time until the part is tried again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("quarantine: requests with the prompt part %x crash endpoints", e.Part)
}
