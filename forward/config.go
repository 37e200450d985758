package forward

import (
	"log/slog"
	"time"

	"knapweedhoist/deployment"
	"knapweedhoist/dispatch"
	"knapweedhoist/internal/defaults"
	"knapweedhoist/retrybudget"
	"knapweedhoist/teamlimit"
	"knapweedhoist/upstream"
)

// Config has the times and sizes of a Server. The zero value stands for the defaults.
type Config struct {
	// Freshness is how recently the configuration must have been confirmed
	// before a caller is told that a route or key does not exist. Default 2.5 s:
	// the wait of one watch and its answer.
	Freshness time.Duration
	// MaxBodyBytes bounds a request's body beside the limit of the configuration. Default 16 MiB.
	MaxBodyBytes int
	// ReadTimeout bounds the reading of one request. Default 10 s.
	ReadTimeout time.Duration
	// IdleTimeout is how long a caller's connection may stay idle. Default 2 min; callers leave earlier by themselves.
	IdleTimeout time.Duration
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.Freshness, 2500*time.Millisecond)
	defaults.Set(&c.ReadTimeout, 10*time.Second)
	defaults.Set(&c.IdleTimeout, 2*time.Minute)
	defaults.Set(&c.MaxBodyBytes, 16<<20)
	return c
}

// Deps are the parts that a Server uses. All are safe for concurrent use.
type Deps struct {
	Log      *slog.Logger
	Dialect  Dialect
	State    *deployment.State
	Balancer *dispatch.Balancer
	Limiter  *teamlimit.Limiter
	Budget   *retrybudget.Budget
	Pool     *upstream.Pool
	Metrics  *Metrics
	// Began is called when a request of the team began to run.
	Began func(team string)
	// Instances returns the number of entry instances, this one included.
	Instances func() int
	// Now returns the time of the clock that limits are kept by.
	Now func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
}
