package routing

import "time"

// Flight is one attempt that was sent. It belongs to the goroutine that runs
// the attempt and must not be copied after Sent; the Table keeps no reference.
type Flight struct {
	state    *state
	usual    *usual
	sentAt   time.Time
	last     time.Time
	prefill  int64
	decode   int64
	tokens   int
	short    bool
	started  bool
	finished bool
	expected time.Duration
	raw      time.Duration
}
