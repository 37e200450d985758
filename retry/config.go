package retry

import "time"

// Config holds the parameters of retries and hedges.
type Config struct {
	// BudgetShare is the largest share of extra attempts, hedges included, of successful work. Default 0.1, 0 to 0.1.
	BudgetShare float64
	// HedgeShare is the largest share of hedged attempts of successful work. Default 0.05, 0 to 0.05.
	HedgeShare float64
	// Burst is the most extra attempts that a service can save up. Default 10.
	Burst float64
	// MaxAttempts bounds the attempts of one request. Default 4.
	MaxAttempts int
	// BaseDelay is the upper end of the first backoff; it doubles up to MaxDelay. Defaults 50 ms and 2 s.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// HedgeFactor multiplies the usual 95th percentile of first-token times to give the hedge delay. Default 1.5.
	HedgeFactor float64
	// MinHedgeDelay is the shortest hedge delay. Default 100 ms.
	MinHedgeDelay time.Duration
}

// DefaultConfig returns the parameters of record.
func DefaultConfig() Config {
	return Config{
		BudgetShare: 0.1, HedgeShare: 0.05, Burst: 10, MaxAttempts: 4,
		BaseDelay: 50 * time.Millisecond, MaxDelay: 2 * time.Second,
		HedgeFactor: 1.5, MinHedgeDelay: 100 * time.Millisecond,
	}
}
