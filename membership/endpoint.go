package membership

import (
	"time"

	"knapweedhoist/engine"
)

// Endpoint is a back end of a service. Endpoints in a View are never modified.
type Endpoint struct {
	ID          string
	Incarnation string
	Service     string
	Datacentre  string
	// Zone and Class (the machine class) determine prices and reclaims.
	Zone        string
	Class       string
	Address     string
	Reclaimable bool
	// Leaving is final for the incarnation; EndsAt is when the instance ends, zero when unknown.
	Leaving bool
	EndsAt  time.Time
	// Load is the newest load report, taken at LoadAt on this instance's clock. LoadAt
	// is zero when there is no report.
	Load   engine.LoadReport
	LoadAt time.Time
}

// LoadAge returns the age of the load report; ok is false when there is none.
func (e *Endpoint) LoadAge(now time.Time) (age time.Duration, ok bool) {
	if e.LoadAt.IsZero() {
		return 0, false
	}
	return now.Sub(e.LoadAt), true
}
