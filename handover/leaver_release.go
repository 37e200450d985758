package handover

import (
	"time"

	"knapweedhoist/request"
)

// passTime tries failed peers again, and ends what is left at the end.
func (l *Leaver) passTime(now time.Time) {
	if !l.started {
		return
	}
	l.retryPeers(now)
	if !now.Before(l.departure.EndAt) {
		l.each(l.end)
	}
}

// onSecond releases what the peer has acknowledged and ends the rest at once.
func (l *Leaver) onSecond() {
	l.second = true
	l.hurry = true
	l.each(func(t *tracked) {
		switch {
		case t.moving, t.moved && !t.copied:
			// It cannot end here any more; it is released once a peer has its copy.
		case t.copied && (t.repeatable || t.moved):
			l.release(t)
		default:
			l.end(t)
		}
	})
}

// release gives a copied request to the peer. A call that must not be repeated
// moves only while it is unsent.
func (l *Leaver) release(t *tracked) {
	switch {
	case t.kept || t.moving || t.releasing:
	case !t.moved:
		t.moving = true
		l.emit(Move{ID: t.id, OnlyUnsent: !t.repeatable})
	default:
		l.sendRelease(t)
	}
}

func (l *Leaver) sendRelease(t *tracked) {
	t.releasing = true
	l.emit(SendRelease{Peer: l.peer, Epoch: l.epoch, IDs: []request.ID{t.id}})
}

func (l *Leaver) onMoved(e Moved) {
	t := l.requests[e.ID]
	if t == nil || !t.moving {
		return
	}
	t.moving = false
	if !e.OK {
		l.onNotMoved(t)
		return
	}
	t.moved = true
	if l.peer == "" {
		return
	}
	if t.repeatable && t.copied {
		l.sendRelease(t)
		return
	}
	// The peer's copy says sent; it gets a new one that it may send.
	t.copied = false
	l.copyTo(t)
}

// onNotMoved: the request finished meanwhile, or its call was sent and stays.
// Progress tells which, so that nothing more is decided here.
func (l *Leaver) onNotMoved(t *tracked) {
	t.kept = !t.repeatable
	if l.second {
		l.end(t)
	}
}

func (l *Leaver) onReleased(e Released) {
	if e.Epoch != l.epoch {
		return
	}
	for _, id := range e.IDs {
		t := l.requests[id]
		if t == nil || !t.releasing {
			continue
		}
		t.releasing = false
		// A release without an answer is repeated at the next Tick: the peer has
		// the final copy, and a second release changes nothing.
		t.done = t.done || e.OK
		if e.Missing && !t.done {
			t.copied = false
			l.copyTo(t)
		}
	}
}

// end ends a request here. When the peer has a copy, the request moves instead
// of ending with an outcome: the peer takes it over when this instance is gone,
// and callers must not see two different continuations.
func (l *Leaver) end(t *tracked) {
	t.done = true
	switch {
	case t.moved:
	case t.repeatable && t.copied:
		t.moved = true
		l.emit(Move{ID: t.id})
	default:
		l.emit(End{ID: t.id})
		l.dropUnanswered(t)
	}
}

// dropUnanswered discards a copy that the peer may have, of a request that has
// ended here.
func (l *Leaver) dropUnanswered(t *tracked) {
	if t.inFlight {
		l.emit(SendDrop{Peer: l.peer, IDs: []request.ID{t.id}})
	}
}
