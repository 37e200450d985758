package handover

import (
	"time"

	"knapweedhoist/request"
)

// choosePeer takes the next peer and copies everything to it.
func (l *Leaver) choosePeer() {
	peer, found := nearest(l.self, l.peers, l.lost)
	l.peer = peer.Incarnation
	l.peerGone = false
	l.epoch++
	if !found {
		l.retryAt = l.now.Add(peerRetry)
	}
	l.announce("")
	if found {
		l.reopenFinished()
	}
	l.each(func(t *tracked) {
		if found && !t.moved {
			l.emit(Hold{ID: t.id})
		}
		l.copyTo(t)
	})
}

// announce tells of the successor when it changed. A peer is announced once it
// has acknowledged a copy: one that is chosen again may still hold stale copies
// from before, which it must not continue from.
func (l *Leaver) announce(successor string) {
	if successor == l.announced {
		return
	}
	l.announced = successor
	l.emit(Announce{Successor: successor})
}

func (l *Leaver) onPeers(peers []Peer) {
	l.peers = peers
	if _, found := nearest(l.self, peers, l.lost); found {
		l.rechoose()
	}
}

// retryPeers tries failed peers again while there is none.
func (l *Leaver) retryPeers(now time.Time) {
	if l.peer != "" || len(l.peers) == 0 || now.Before(l.retryAt) {
		return
	}
	clear(l.lost)
	l.rechoose()
}

// rechoose chooses a peer while there is none.
func (l *Leaver) rechoose() {
	if l.started && l.peer == "" {
		l.choosePeer()
	}
}

func (l *Leaver) loseKnown(peer string) {
	l.lost[peer] = true
	if peer == l.peer && peer != "" {
		l.losePeer(peer)
	}
}

// losePeer gives the current peer up and chooses the next one. The former peer
// is told to drop its copies, in case it still lives.
func (l *Leaver) losePeer(peer string) {
	l.lost[peer] = true
	var ids []request.ID
	l.each(func(t *tracked) {
		if t.copied || t.inFlight {
			ids = append(ids, t.id)
			l.doubt(t)
		}
		t.resetPeer()
	})
	if len(ids) > 0 {
		l.emit(SendDrop{Peer: peer, IDs: ids})
	}
	if l.needsPeer() {
		l.choosePeer()
		return
	}
	// Everything was released to this peer, and callers find it there or through
	// its own successor: the announcement stays.
	l.peerGone = true
}

// reopenFinished makes the finished requests go to the next peer too: callers
// look for them only there.
func (l *Leaver) reopenFinished() {
	for _, id := range l.order {
		if t := l.requests[id]; t.done && t.readable() {
			t.resetPeer()
			t.done = false
		}
	}
}

// needsPeer reports whether there is something that a next peer must get.
func (l *Leaver) needsPeer() bool {
	for _, t := range l.requests {
		if !t.done || t.readable() {
			return true
		}
	}
	return false
}

// doubt notes that the lost peer may take the request over and run it. A call
// that must not be repeated is sent by nobody who has only such a copy.
func (l *Leaver) doubt(t *tracked) {
	if t.repeatable && !t.moved {
		l.emit(Doubt{ID: t.id})
	}
}

// open reports whether a request is not done.
func (l *Leaver) open() bool {
	for _, t := range l.requests {
		if !t.done {
			return true
		}
	}
	return false
}
