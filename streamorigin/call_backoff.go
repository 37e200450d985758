package streamorigin

import "time"

const (
	// minCallBackoff is the time without calls after a failed one. It doubles up to maxCallBackoff.
	minCallBackoff = 250 * time.Millisecond
	maxCallBackoff = 2 * time.Second
)

// callBackoff spaces the calls of one kind after failed ones.
type callBackoff struct {
	// until is the end of the time without calls, length the length of that time.
	until  time.Time
	length time.Duration
}

// allows reports whether a call may be made.
func (b *callBackoff) allows(now time.Time) bool { return !now.Before(b.until) }

// done records the end of a call.
func (b *callBackoff) done(now time.Time, err error) {
	if err == nil {
		*b = callBackoff{}
		return
	}
	b.length = min(max(2*b.length, minCallBackoff), maxCallBackoff)
	b.until = now.Add(b.length)
}
