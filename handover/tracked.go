package handover

import "knapweedhoist/request"

// tracked is the handover of one request.
type tracked struct {
	id         request.ID
	repeatable bool
	// events is the position at the home, acked that of the current peer's copy.
	events   uint64
	acked    uint64
	finished bool
	// copied: the current peer has a copy.
	copied bool
	// inFlight: a message about the request to the current peer has no answer yet.
	inFlight bool
	moving   bool
	moved    bool
	// releasing: a release to the current peer has no answer yet.
	releasing bool
	// kept: the call was sent and must end here.
	kept bool
	// sendableAt is the only peer that may have got a copy that it may send.
	sendableAt string
	done       bool
}

// resetPeer forgets what the former peer had.
func (t *tracked) resetPeer() {
	t.copied = false
	t.inFlight = false
	t.releasing = false
	t.acked = 0
}

// readable reports whether the request finished here, so that callers look for
// its answer at the peer that was announced last.
func (t *tracked) readable() bool {
	return t.finished && !t.moved
}

// behind reports whether the current peer's copy lacks events.
func (t *tracked) behind() bool {
	return !t.moved && t.acked < t.events
}
