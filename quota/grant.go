package quota

import "time"

// Grant allows a member to use part of a limit until it expires. After that the
// member may use Floor, which is reserved for it.
type Grant struct {
	Member string
	// Fence is the fencing token of the owner, Sequence orders the grants of one owner. A grant replaces only older ones,
	// because messages can be reordered and a former owner can resume after a pause.
	Fence    uint64
	Sequence uint64
	// Rate and Floor are per second.
	Rate  float64
	Floor float64
	// Until is the expiry.
	Until time.Time
}

// Demand is the rate that a member could use, per second.
type Demand struct {
	Member string
	Rate   float64
}

// replaces reports whether the grant may replace the current one: it is not older, or one of the two is nil.
func (g *Grant) replaces(current *Grant) bool {
	if g == nil || current == nil || g.Fence != current.Fence {
		return g == nil || current == nil || g.Fence > current.Fence
	}
	return g.Sequence >= current.Sequence
}
