package handover

import "knapweedhoist/request"

// trackedRequest is the state of the handover of one request.
type trackedRequest struct {
	id         request.ID
	repeatable bool
	// events is the position on this instance, acked the position that the current
	// peer has acknowledged.
	events   uint64
	acked    uint64
	finished bool
	// copied is set while the current peer has a copy.
	copied bool
	// inFlight is set while a copy or events sent to the current peer are unanswered.
	inFlight bool
	// moving is set while the result of Move is pending, moved once the request has
	// stopped on this instance.
	moving bool
	moved  bool
	// releasing is set while a release sent to the current peer is unanswered.
	releasing bool
	// mustEndHere is set when a Move with OnlyUnsent failed: unless the request has
	// finished, its call was sent, and no peer may send it again.
	mustEndHere bool
	// sendGrantedTo is the only peer that may have received a sendable copy, "" if none.
	sendGrantedTo string
	// done is set when nothing is left to hand over for the request.
	done bool
}

// resetPeer clears the state of the former peer's copy.
func (t *trackedRequest) resetPeer() {
	t.copied = false
	t.inFlight = false
	t.releasing = false
	t.acked = 0
}

// finishedHere reports whether the request finished on this instance. Its callers
// re-attach at the successor that was announced last, which must have a copy.
func (t *trackedRequest) finishedHere() bool {
	return t.finished && !t.moved
}

// behind reports whether the current peer's copy lacks events.
func (t *trackedRequest) behind() bool {
	return !t.moved && t.acked < t.events
}
