package handover

import (
	"fmt"

	"knapweedhoist/invariant"
)

// copyTo sends a copy to the current peer; without a peer the callers get all events.
func (l *Leaver) copyTo(t *tracked) {
	if t.done || t.inFlight {
		return
	}
	if l.peer == "" {
		l.withoutPeer(t)
		return
	}
	t.inFlight = true
	sendable := t.moved && !t.repeatable && l.mayGrant(t)
	if sendable {
		l.grant(t)
	}
	l.emit(SendCopy{ID: t.id, Peer: l.peer, Epoch: l.epoch, Sendable: sendable})
}

// grant notes that the current peer may get the right to send.
func (l *Leaver) grant(t *tracked) {
	if t.sendableAt != "" && t.sendableAt != l.peer {
		l.violated(InvariantTwoOwners, t, "right to send given after "+t.sendableAt)
	}
	t.sendableAt = l.peer
}

// mayGrant reports whether the current peer may get the right to send. Once
// another peer may have got it, the request can only end as unknown.
func (l *Leaver) mayGrant(t *tracked) bool {
	return t.sendableAt == "" || t.sendableAt == l.peer
}

func (l *Leaver) withoutPeer(t *tracked) {
	if t.moved {
		return
	}
	l.emit(Unhold{ID: t.id})
	if t.finished {
		t.done = true
	}
}

// advance sends what the current peer lacks, or ends the handover of a finished request.
func (l *Leaver) advance(t *tracked) {
	switch {
	case t.done || t.inFlight || t.moving:
	case !t.copied:
		l.copyTo(t)
	case t.behind():
		t.inFlight = true
		l.emit(SendEvents{ID: t.id, Peer: l.peer, Epoch: l.epoch, After: t.acked})
	case t.finished && !t.moved:
		t.done = true
	case l.hurry:
		l.release(t)
	}
}

func (l *Leaver) onCopied(e Copied) {
	t := l.requests[e.ID]
	if t == nil || t.done || e.Epoch != l.epoch || !t.inFlight {
		return
	}
	t.inFlight = false
	switch e.Err {
	case CopyTaken:
		l.onTaken(t, e.UpTo)
	case CopyGap:
		t.copied = false
		l.advance(t)
	case CopyOwned:
		l.giveUp(t)
	case CopyRefused:
		l.onRefused(t)
	case CopyLost:
		l.losePeer(l.peer)
	}
}

func (l *Leaver) onTaken(t *tracked, upTo uint64) {
	l.announce(l.peer)
	t.copied = true
	t.acked = max(t.acked, upTo)
	t.events = max(t.events, upTo)
	if !t.moved {
		l.emit(Deliver{ID: t.id, UpTo: t.acked})
	}
	l.advance(t)
}

// onRefused chooses another peer. The refusing one has no copy, so that it
// also did not get the right to send.
func (l *Leaver) onRefused(t *tracked) {
	if t.sendableAt == l.peer {
		t.sendableAt = ""
	}
	l.losePeer(l.peer)
}

// giveUp stops a request that the peer already owns: it took over because it
// believed this instance dead.
func (l *Leaver) giveUp(t *tracked) {
	if !t.moved {
		t.moved = true
		l.emit(Move{ID: t.id})
	}
	t.done = true
}

// onDelivered asserts that callers never see more than the peer has.
func (l *Leaver) onDelivered(e Delivered) {
	t := l.requests[e.ID]
	if t == nil || t.done || l.peer == "" || e.UpTo <= t.acked {
		return
	}
	l.violated(InvariantBehind, t, fmt.Sprintf("delivered %d, copied %d", e.UpTo, t.acked))
}

func (l *Leaver) violated(name string, t *tracked, detail string) {
	l.check.Violated(invariant.Violation{
		Name: name, Step: "handover", Peer: l.peer, Request: t.id.String(), Detail: detail,
	})
}
