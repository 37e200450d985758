package sizing

// Demand is the demand for a service at all instances.
type Demand struct {
	// Prefill is the number of prompt tokens per second that the service's endpoints must prefill, PrefillRate the number
	// that one otherwise idle endpoint prefills.
	Prefill, PrefillRate float64
	// InFlight is the average number of requests in progress at the endpoints.
	InFlight float64
	// Settled is set once the figures derive from enough answers. Until then the demand is not known.
	Settled bool
}

// busyEndpoints returns how many endpoints the demand keeps busy at a load of 1, by prefill or by slots, whichever are
// more.
func (d Demand) busyEndpoints(slots int, cfg Config) float64 {
	busy := 0.0
	if d.PrefillRate > 0 {
		busy = d.Prefill / d.PrefillRate
	}
	if slots > 0 {
		busy = max(busy, d.InFlight/float64(slots)*cfg.TargetLoad/cfg.TargetOccupancy)
	}
	return busy
}
