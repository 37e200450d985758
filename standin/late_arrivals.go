package standin

import "time"

// lateArrivals counts the new work that reaches an endpoint which is leaving.
// Its owner serialises the calls.
type lateArrivals struct {
	began time.Time
	after []time.Duration
}

// maxLateArrivals bounds the arrivals that are remembered.
const maxLateArrivals = 1 << 16

// begin notes the time of the notice; only the first one counts.
func (l *lateArrivals) begin(now time.Time) {
	if l.began.IsZero() {
		l.began = now
	}
}

func (l *lateArrivals) add(now time.Time) {
	if len(l.after) < maxLateArrivals {
		l.after = append(l.after, now.Sub(l.began))
	}
}

// beyond counts the arrivals more than grace after the notice.
func (l *lateArrivals) beyond(grace time.Duration) int {
	n := 0
	for _, after := range l.after {
		if after > grace {
			n++
		}
	}
	return n
}
