package peer

import "sync/atomic"

// watchdog detects a session on which no frame is received. It counts ticks
// instead of measuring time, so that a pause of this process is not mistaken
// for a timeout of the peer.
type watchdog struct {
	progressed  atomic.Bool
	silentTicks int
}

// recordProgress records that an authenticated frame was received.
func (w *watchdog) recordProgress() {
	w.progressed.Store(true)
}

// tick must be called every tickInterval. It reports whether the session has
// timed out. The limit is one tick less than sessionTimeout, because a frame
// may have been received up to one interval before the tick that counts it.
func (w *watchdog) tick() bool {
	if w.progressed.Swap(false) {
		w.silentTicks = 0
		return false
	}
	w.silentTicks++
	return w.silentTicks >= int(sessionTimeout/tickInterval)-1
}
