package heartbeat

// windowSize is how far behind the newest sequence number a datagram may arrive.
const windowSize = 64

// window remembers the sequence numbers seen of one incarnation.
type window struct {
	newest uint64
	// seen has bit i set when newest-i was seen.
	seen uint64
}

// accept reports whether sequence is new, and remembers it.
func (w *window) accept(sequence uint64) bool {
	if sequence > w.newest {
		shift := sequence - w.newest
		if shift >= windowSize {
			w.seen = 0
		} else {
			w.seen <<= shift
		}
		w.newest = sequence
		w.seen |= 1
		return true
	}
	behind := w.newest - sequence
	if behind >= windowSize || sequence == 0 || w.seen&(1<<behind) != 0 {
		return false
	}
	w.seen |= 1 << behind
	return true
}
