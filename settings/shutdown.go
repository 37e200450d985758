package settings

import "time"

// Shutdown configures how requests in progress end when the instance stops.
type Shutdown struct {
	// DrainTimeout is how long a planned stop waits for requests in progress to finish
	// before it hands them over to a peer. Default 30s, 0s to 3600s.
	DrainTimeout Duration `yaml:"drain_timeout" validate:"min=0s,max=3600s"`
	// HandoverMargin is how long before the end of a reclaim notice the requests
	// in progress are handed over to a peer, at most half of the time left at the
	// start of the stop. Default 3s, 500ms to 60s.
	HandoverMargin Duration `yaml:"handover_margin" validate:"min=500ms,max=60s"`
}

func defaultShutdown() Shutdown {
	return Shutdown{
		DrainTimeout:   Duration(30 * time.Second),
		HandoverMargin: Duration(3 * time.Second),
	}
}
