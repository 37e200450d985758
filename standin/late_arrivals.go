package standin

import "time"

// lateArrivals records the new requests that reach an endpoint after its notice
// to leave, which is a reclaim notice or a drain order. It is not safe for concurrent use.
type lateArrivals struct {
	noticeAt time.Time
	delays   []time.Duration
}

// maxLateArrivals is the maximum number of recorded arrivals.
const maxLateArrivals = 1 << 16

// setNotice sets the time of the notice; later calls have no effect.
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

// countAfter returns the number of arrivals more than grace after the notice.
func (l *lateArrivals) countAfter(grace time.Duration) int {
	n := 0
	for _, delay := range l.delays {
		if delay > grace {
			n++
		}
	}
	return n
}
