package handover

import (
	"time"

	"knapweedhoist/request"
)

// passTime releases at the drain timeout, and ends what is left at the end.
func (l *Leaver) passTime(now time.Time) {
	if !l.started {
		return
	}
	l.retryPeers(now)
	if !l.hurry && !now.Before(l.departure.ReleaseAt) {
		l.hurry = true
		l.each(l.advance)
	}
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
		case t.moving:
			// Moved decides.
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
	case t.kept || t.moving || t.releasing || t.released:
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
func (l *Leaver) onNotMoved(t *tracked) {
	t.kept = !t.repeatable
	if l.second {
		l.end(t)
		return
	}
	l.advance(t)
}

func (l *Leaver) onReleased(e Released) {
	if e.Epoch != l.epoch {
		return
	}
	if !e.OK {
		l.losePeer(l.peer)
		return
	}
	for _, id := range e.IDs {
		if t := l.requests[id]; t != nil && t.releasing {
			t.releasing = false
			t.released = true
			t.done = true
		}
	}
}

// end ends a request here. A moved one without an acknowledged release is left
// to the peer, which takes it over when this instance ends.
func (l *Leaver) end(t *tracked) {
	t.done = true
	if !t.moved {
		l.emit(End{ID: t.id})
	}
}
