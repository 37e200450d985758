// Package handover moves the requests in progress of a leaving instance to a
// peer. Leaver decides on the leaving side, Receiver on the other one.
package handover

import (
	"time"

	"knapweedhoist/invariant"
	"knapweedhoist/request"
)

// peerRetry is the wait before peers that failed are tried again.
const peerRetry = 500 * time.Millisecond

// Names of the invariants that this package asserts.
const (
	// InvariantBehind: the peer's copy is never behind the callers.
	InvariantBehind = "handover/copy_behind_caller"
	// InvariantTwoOwners: a request has at most one owner that may send.
	InvariantTwoOwners = "handover/two_owners"
)

// Leaver decides on the leaving side. It is not safe for concurrent use.
type Leaver struct {
	self  string
	check invariant.Checker

	departure Departure
	started   bool
	// hurry: the drain has ended, and what a peer has acknowledged is released.
	hurry bool
	// second: a second signal arrived.
	second bool
	peers  []Peer
	// lost are peers that failed; they are chosen again only when there are no others.
	lost map[string]bool
	// peer is the incarnation of the current peer, "" without one.
	peer string
	// peerGone: the current peer is lost, and nothing was left to copy.
	peerGone bool
	// epoch numbers the choices of a peer, so that late reports of a former one are ignored.
	epoch uint64
	// announced is the successor that was announced last.
	announced string
	// retryAt is when peers that failed are tried again, because there are no others.
	retryAt  time.Time
	now      time.Time
	requests map[request.ID]*tracked
	// order keeps decisions independent of the map's order.
	order   []request.ID
	actions []Action
}

// NewLeaver returns the leaving side of the instance with this incarnation.
func NewLeaver(self string, check invariant.Checker) *Leaver {
	return &Leaver{self: self, check: check, lost: make(map[string]bool), requests: make(map[request.ID]*tracked)}
}

// Handle takes an event and returns the actions that follow, in order.
func (l *Leaver) Handle(now time.Time, event Event) []Action {
	l.actions = nil
	l.now = now
	switch e := event.(type) {
	case Departure:
		l.depart(e)
	case Track:
		l.track(e)
	case Progress:
		l.progress(e)
	case Copied:
		l.onCopied(e)
	case Moved:
		l.onMoved(e)
	case Released:
		l.onReleased(e)
	case PeersChanged:
		l.onPeers(e.Peers)
	case PeerLost:
		l.loseKnown(e.Peer)
	case Delivered:
		l.onDelivered(e)
	case SecondSignal:
		l.onSecond()
	case Tick:
		l.tick(now)
	}
	l.passTime(now)
	return l.actions
}

// Done reports whether nothing is left to hand over.
func (l *Leaver) Done() bool {
	return l.started && !l.open()
}

// Successor returns the peer that has the copies, "" without one.
func (l *Leaver) Successor() string {
	return l.peer
}

func (l *Leaver) tick(now time.Time) {
	l.hurry = l.hurry || !now.Before(l.departure.ReleaseAt)
	if l.started && l.hurry {
		l.each(l.advance)
	}
}

func (l *Leaver) emit(action Action) {
	l.actions = append(l.actions, action)
}

func (l *Leaver) depart(e Departure) {
	if l.started {
		// A reclaim notice during a planned stop leaves less time, never more.
		l.departure.ReleaseAt = earlier(l.departure.ReleaseAt, e.ReleaseAt)
		l.departure.EndAt = earlier(l.departure.EndAt, e.EndAt)
		return
	}
	l.started = true
	l.departure = e
	l.peers = e.Peers
	l.emit(Announce{})
	l.choosePeer()
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (l *Leaver) track(e Track) {
	if l.requests[e.ID] != nil {
		return
	}
	t := &tracked{id: e.ID, repeatable: e.Repeatable, events: e.Events}
	l.requests[e.ID] = t
	l.order = append(l.order, e.ID)
	if l.peerGone {
		l.choosePeer()
		return
	}
	l.copyTo(t)
}

func (l *Leaver) progress(e Progress) {
	t := l.requests[e.ID]
	if t == nil || t.done || t.moved {
		return
	}
	t.events = max(t.events, e.Events)
	t.finished = t.finished || e.Finished
	l.advance(t)
}

// each calls f for the requests that are not done.
func (l *Leaver) each(f func(t *tracked)) {
	for _, id := range l.order {
		if t := l.requests[id]; !t.done {
			f(t)
		}
	}
}
