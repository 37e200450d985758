package handover

import (
	"time"

	"knapweedhoist/request"
)

// choosePeer takes the next peer and copies everything to it.
func (l *Leaver) choosePeer() {
	peer, found := nearest(l.self, l.peers, l.lost)
	l.peer = peer.Incarnation
	l.epoch++
	if !found {
		l.retryAt = l.now.Add(peerRetry)
	}
	l.announce("")
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
		}
		t.resetPeer()
	})
	if len(ids) > 0 {
		l.emit(SendDrop{Peer: peer, IDs: ids})
	}
	l.choosePeer()
}
