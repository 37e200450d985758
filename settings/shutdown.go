package settings

import "time"

// Shutdown bounds the phases of a stop.
type Shutdown struct {
	// DrainTimeout is how long requests in progress may finish at a planned stop
	// before they are handed over to a peer. Default 30s, 0s to 3600s.
	DrainTimeout Duration `yaml:"drain_timeout" validate:"min=0s,max=3600s"`
	// HandoverMargin is how long before the end of a reclaim notice the requests
	// in progress are handed over. Default 3s, 500ms to 60s.
	HandoverMargin Duration `yaml:"handover_margin" validate:"min=500ms,max=60s"`
}

func defaultShutdown() Shutdown {
	return Shutdown{
		DrainTimeout:   Duration(30 * time.Second),
		HandoverMargin: Duration(3 * time.Second),
	}
}
