package admission

import "time"

// Config holds the parameters of admission control.
type Config struct {
	// ShortTokens is the highest expected number of prompt and output tokens of a request in the short class.
	// Default 512.
	ShortTokens int
	// PromoteAfter is how long a long request waits for its first token before the caller sends it again with the priority
	// of the short class. Default 10 s.
	PromoteAfter time.Duration
	// Margin is the safety factor by which the predicted time is multiplied before it is compared with the deadline.
	// Default 1.2; range 1 to 3.
	Margin float64
	// ShortWait and LongWait bound the predicted time to first token of the two classes; a request above the bound is
	// shed. LongWait stays below PromoteAfter, so that promoted requests are rare and do not block short ones.
	// Defaults 3 s and 5 s; 0 disables the bound.
	ShortWait time.Duration
	LongWait  time.Duration
	// MaxRetryAfter bounds Decision.RetryAfter. Default 60 s.
	MaxRetryAfter time.Duration
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		ShortTokens:   512,
		PromoteAfter:  10 * time.Second,
		Margin:        1.2,
		ShortWait:     3 * time.Second,
		LongWait:      5 * time.Second,
		MaxRetryAfter: time.Minute,
	}
}
