package quota

import "time"

// Grant gives a member part of a limit until a time. After it the member may
// use Floor, which is kept back for it.
type Grant struct {
	Member   string
	Sequence uint64
	// Rate and Floor are per second.
	Rate  float64
	Floor float64
	Until time.Time
}

// Demand is what a member could use, per second.
type Demand struct {
	Member string
	Rate   float64
}
