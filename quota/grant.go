package quota

import "time"

// Grant gives a member part of a limit until a time. After it the member may
// use Floor, which is kept back for it.
type Grant struct {
	Member string
	// Fence is the fencing number of the owner's lease, Sequence orders the grants of one owner. A grant replaces only
	// older ones: messages can be reordered, and a former owner can be paused.
	Fence    uint64
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

// replaces reports whether the grant is newer than the present one.
func (g *Grant) replaces(present *Grant) bool {
	if g == nil || present == nil || g.Fence != present.Fence {
		return g == nil || present == nil || g.Fence > present.Fence
	}
	return g.Sequence >= present.Sequence
}
