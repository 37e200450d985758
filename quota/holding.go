package quota

import "time"

// holding is what a Divider knows of one member's unexpired grants, oldest first.
type holding struct {
	grants []Grant
	// acked: the member uses the first grant or a later one.
	acked bool
}

// maxGrants bounds the unexpired grants remembered for a member: two a second for the default TTL. When it is reached,
// the last grant is repeated until one is acknowledged or expires.
const maxGrants = 24

// ack drops the grants before the acknowledged one.
func (h *holding) ack(sequence uint64) {
	for i, g := range h.grants {
		if g.Sequence == sequence {
			h.grants = h.grants[i:]
			h.acked = true
			return
		}
	}
}

// expire drops the grants that have ended. Without its acknowledged grant, the member may be at its floor.
func (h *holding) expire(now time.Time) {
	for len(h.grants) > 0 && !now.Before(h.grants[0].Until) {
		h.grants = h.grants[1:]
		h.acked = false
	}
}

// most is the highest rate that the member can be using.
func (h *holding) most(floor float64) float64 {
	most := floor
	if h.acked {
		most = 0
	}
	for _, g := range h.grants {
		most = max(most, g.Rate)
	}
	return most
}

// returns reports until when the member keeps to less than its floor.
func (h *holding) returns(floor float64) (at time.Time, lends bool) {
	if !h.acked || h.most(floor) >= floor {
		return time.Time{}, false
	}
	return h.grants[0].Until, true
}

// full reports whether no further grant can be remembered. Forgetting one instead would let a lender return to its floor
// while its loan is still in use.
func (h *holding) full() bool { return len(h.grants) >= maxGrants }
