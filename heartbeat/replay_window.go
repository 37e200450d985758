package heartbeat

// windowSize is the length of a replay window in sequence numbers. A datagram that is that far or further behind the
// newest one is refused.
const windowSize = 64

// replayWindow is the sliding window of the sequence numbers received from one incarnation.
type replayWindow struct {
	newest uint64
	// received has bit i set if newest-i was received.
	received uint64
}

// accept reports whether sequence is in the window or newer and was not received before, and marks it as received.
func (w *replayWindow) accept(sequence uint64) bool {
	if sequence > w.newest {
		shift := sequence - w.newest
		if shift >= windowSize {
			w.received = 0
		} else {
			w.received <<= shift
		}
		w.newest = sequence
		w.received |= 1
		return true
	}
	behind := w.newest - sequence
	if behind >= windowSize || sequence == 0 || w.received&(1<<behind) != 0 {
		return false
	}
	w.received |= 1 << behind
	return true
}
