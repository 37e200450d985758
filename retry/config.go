package retry

import "time"

// Config holds the limits and delays of retries and hedges.
type Config struct {
	// BudgetShare is the number of extra attempts, hedges included, per successful request. Default 0.1; range 0 to 0.1.
	BudgetShare float64
	// HedgeShare is the number of hedged attempts per successful request. Default 0.05; range 0 to 0.05.
	HedgeShare float64
	// Burst is the largest number of unused extra attempts that a service accumulates. Default 10.
	Burst float64
	// MaxAttempts bounds the attempts of one request, except those after an announced reclaim. Default 4.
	MaxAttempts int
	// BaseDelay bounds the first backoff; the bound doubles with each attempt up to MaxDelay. Defaults 50 ms and 2 s.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// HedgeFactor times the 95th percentile of the service's first-token times is the hedge delay. Default 1.5.
	HedgeFactor float64
	// MinHedgeDelay is the smallest hedge delay. Default 100 ms.
	MinHedgeDelay time.Duration
}

// DefaultConfig returns the defaults of all fields.
func DefaultConfig() Config {
	return Config{
		BudgetShare: 0.1, HedgeShare: 0.05, Burst: 10, MaxAttempts: 4,
		BaseDelay: 50 * time.Millisecond, MaxDelay: 2 * time.Second,
		HedgeFactor: 1.5, MinHedgeDelay: 100 * time.Millisecond,
	}
}
