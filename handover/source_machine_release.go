package handover

import (
	"time"

	"knapweedhoist/request"
)

// runTimers tries failed peers again, and ends the remaining requests when the
// instance ends.
func (m *SourceMachine) runTimers(now time.Time) {
	if !m.started {
		return
	}
	m.retryPeers(now)
	if !now.Before(m.departure.EndAt) {
		m.forEachOpen(m.endHere)
	}
}

// onSecondSignal releases the requests that the peer has a copy of and that are
// repeatable or have stopped on this instance, and ends the others at once, except
// those that are stopping or have stopped without a copy at the peer.
func (m *SourceMachine) onSecondSignal() {
	m.secondSignal = true
	m.drainEnded = true
	m.forEachOpen(func(t *trackedRequest) {
		switch {
		case t.moving, t.moved && !t.copied:
			// The request cannot end here any more. It is released once a peer has its copy.
		case t.copied && (t.repeatable || t.moved):
			m.release(t)
		default:
			m.endHere(t)
		}
	})
}

// release stops a copied request on this instance and releases it to the peer. A
// call that must not be repeated moves only while it is unsent.
func (m *SourceMachine) release(t *trackedRequest) {
	switch {
	case t.mustEndHere || t.moving || t.releasing:
	case !t.moved:
		t.moving = true
		m.emit(Move{ID: t.id, OnlyUnsent: !t.repeatable})
	default:
		m.sendRelease(t)
	}
}

func (m *SourceMachine) sendRelease(t *trackedRequest) {
	t.releasing = true
	m.emit(SendRelease{Peer: m.peer, Epoch: m.epoch, IDs: []request.ID{t.id}})
}

func (m *SourceMachine) onMoved(e Moved) {
	t := m.requests[e.ID]
	if t == nil || !t.moving {
		return
	}
	t.moving = false
	if !e.OK {
		m.onNotMoved(t)
		return
	}
	t.moved = true
	if m.peer == "" {
		return
	}
	if t.repeatable && t.copied {
		m.sendRelease(t)
		return
	}
	// The peer's copy of a call that must not be repeated says that the call was sent.
	// The peer gets a sendable copy instead.
	t.copied = false
	m.sendCopy(t)
}

// onNotMoved handles a failed Move: the request has finished, or its call was sent
// and must end here. The Progress that follows shows which, so the request stays
// open, unless a second signal was received: then it ends at once.
func (m *SourceMachine) onNotMoved(t *trackedRequest) {
	t.mustEndHere = !t.repeatable
	if m.secondSignal {
		m.endHere(t)
	}
}

func (m *SourceMachine) onReleased(e Released) {
	if e.Epoch != m.epoch {
		return
	}
	for _, id := range e.IDs {
		t := m.requests[id]
		if t == nil || !t.releasing {
			continue
		}
		t.releasing = false
		// A release without an answer is repeated at the next Tick. The peer has the
		// final copy, and a repeated release has no effect.
		t.done = t.done || e.OK
		if e.CopyMissing && !t.done {
			t.copied = false
			m.sendCopy(t)
		}
	}
}

// endHere ends the handover of a request. A repeatable request that the peer has a
// copy of moves instead of finishing with an outcome: the peer takes it over when
// this instance has ended, and callers must not see two different continuations.
func (m *SourceMachine) endHere(t *trackedRequest) {
	t.done = true
	switch {
	case t.moved:
	case t.repeatable && t.copied:
		t.moved = true
		m.emit(Move{ID: t.id})
	default:
		m.emit(Finish{ID: t.id})
		m.dropUnackedCopy(t)
	}
}

// dropUnackedCopy makes the peer discard an unacknowledged copy of a request that
// has ended here.
func (m *SourceMachine) dropUnackedCopy(t *trackedRequest) {
	if t.inFlight {
		m.emit(SendDrop{Peer: m.peer, IDs: []request.ID{t.id}})
	}
}
