package peer

import "sync/atomic"

// watchdog counts the ticks since the last progress. It counts ticks and not
// time, so that a paused process does not take its own pause for silence.
type watchdog struct {
	progressed atomic.Bool
	quiet      int
}

// progress notes that an authenticated frame arrived.
func (w *watchdog) progress() {
	w.progressed.Store(true)
}

// tick reports whether the session has been silent up to the limit. Progress
// can be as old as one interval before the tick that sees it, hence the
// difference of one.
func (w *watchdog) tick() bool {
	if w.progressed.Swap(false) {
		w.quiet = 0
		return false
	}
	w.quiet++
	return w.quiet >= int(silenceLimit/tickInterval)-1
}
