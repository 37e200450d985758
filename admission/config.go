package admission

import "time"

// Config holds the parameters of admission.
type Config struct {
	// ShortTokens is the largest expected work, in prompt and generated tokens, of the short class. Default 512.
	ShortTokens int
	// PromoteAfter is how long long work may wait for its first token before it is sent again with the priority of
	// short work. Default 10 s.
	PromoteAfter time.Duration
	// Margin multiplies the predicted time before it is compared with the deadline. Default 1.2, 1 to 3.
	Margin float64
	// ShortWait and LongWait shed work whose predicted first token is later. LongWait stays below PromoteAfter, so that
	// promoted work is rare and does not block short work. Defaults 3 s and 5 s; 0 is off.
	ShortWait time.Duration
	LongWait  time.Duration
	// MaxRetryAfter bounds the Retry-After. Default 60 s.
	MaxRetryAfter time.Duration
}

// DefaultConfig returns the parameters of record.
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
