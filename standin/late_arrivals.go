package standin

import "time"

// lateArrivals counts the new work that reaches an endpoint which is leaving.
// Its owner serialises the calls.
type lateArrivals struct {
	noticeAt time.Time
	delays []time.Duration
}

// maxLateArrivals bounds the arrivals that are remembered.
const maxLateArrivals = 1 << 16

// setNotice notes the time of the notice; only the first one counts.
func (l *lateArrivals) setNotice(now time.Time) {
	if l.noticeAt.IsZero() {
		l.noticeAt = now
	}
}

func (l *lateArrivals) add(now time.Time) {
	if len(l.delays) < maxLateArrivals {
		l.delays = append(l.delays, now.Sub(l.noticeAt))
	}
}

// countAfter counts the arrivals more than grace after the notice.
func (l *lateArrivals) countAfter(grace time.Duration) int {
	n := 0
	for _, after := range l.delays {
		if after > grace {
			n++
		}
	}
	return n
}
