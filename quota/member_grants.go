package quota

import "time"

// memberGrants holds the unexpired grants that a Divider issued to one member, oldest first.
type memberGrants struct {
	unexpired []Grant
	// acknowledged reports whether the member is known to use the first grant or a later one.
	acknowledged bool
}

// maxUnexpiredGrants bounds the unexpired grants stored for a member; it allows two a second with the default TTL. When
// it is reached, the last grant is repeated until one is acknowledged or expires.
const maxUnexpiredGrants = 24

// acknowledge drops the grants before the one with this sequence number. An unknown number is ignored.
func (m *memberGrants) acknowledge(sequence uint64) {
	for i, g := range m.unexpired {
		if g.Sequence == sequence {
			m.unexpired = m.unexpired[i:]
			m.acknowledged = true
			return
		}
	}
}

// expire drops the expired grants before the oldest unexpired one; a grant that expires before an older one stays until
// that one has expired. Once the acknowledged grant has expired, the member may be using its floor.
func (m *memberGrants) expire(now time.Time) {
	for len(m.unexpired) > 0 && !now.Before(m.unexpired[0].Until) {
		m.unexpired = m.unexpired[1:]
		m.acknowledged = false
	}
}

// maxRate returns the highest rate that the member can be using, per second.
func (m *memberGrants) maxRate(floor float64) float64 {
	rate := floor
	if m.acknowledged {
		rate = 0
	}
	for _, g := range m.unexpired {
		rate = max(rate, g.Rate)
	}
	return rate
}

// belowFloorUntil returns the time until which the member uses less than its floor; below is false if it may use its
// floor or more.
func (m *memberGrants) belowFloorUntil(floor float64) (until time.Time, below bool) {
	if !m.acknowledged || m.maxRate(floor) >= floor {
		return time.Time{}, false
	}
	return m.unexpired[0].Until, true
}

// full reports whether no further grant can be stored. Dropping an unexpired grant instead could let a lending member
// return to its floor while another member still uses the lent rate.
func (m *memberGrants) full() bool { return len(m.unexpired) >= maxUnexpiredGrants }
