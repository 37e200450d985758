package handover

import (
	"time"

	"knapweedhoist/request"
)

// choosePeer selects the next peer and sends it copies of all requests that are not
// done. Finished requests that callers can read count as not done again. Without a
// peer, the callers get all events, and failed peers are tried again after
// peerRetryDelay.
func (m *SourceMachine) choosePeer() {
	peer, found := nearestPeer(m.self, m.peers, m.failedPeers)
	m.peer = peer.Incarnation
	m.lostPeerKept = false
	m.epoch++
	if !found {
		m.retryPeersAt = m.now.Add(peerRetryDelay)
	}
	m.announce("")
	if found {
		m.reopenFinished()
	}
	m.forEachOpen(func(t *trackedRequest) {
		if found && !t.moved {
			m.emit(Hold{ID: t.id})
		}
		m.sendCopy(t)
	})
}

// announce emits Announce if the successor changed. A peer is announced only once
// it has acknowledged a copy: a peer that is chosen again may still hold stale
// copies, from which it must not continue.
func (m *SourceMachine) announce(successor string) {
	if successor == m.announcedSuccessor {
		return
	}
	m.announcedSuccessor = successor
	m.emit(Announce{Successor: successor})
}

func (m *SourceMachine) onPeersChanged(peers []Peer) {
	m.peers = peers
	if _, found := nearestPeer(m.self, peers, m.failedPeers); found {
		m.choosePeerIfNone()
	}
}

// retryPeers makes failed peers eligible again if there is no current peer and
// peerRetryDelay has passed.
func (m *SourceMachine) retryPeers(now time.Time) {
	if m.peer != "" || len(m.peers) == 0 || now.Before(m.retryPeersAt) {
		return
	}
	clear(m.failedPeers)
	m.choosePeerIfNone()
}

// choosePeerIfNone chooses a peer if the handover has started and has none.
func (m *SourceMachine) choosePeerIfNone() {
	if m.started && m.peer == "" {
		m.choosePeer()
	}
}

func (m *SourceMachine) onPeerLost(peer string) {
	m.failedPeers[peer] = true
	if peer == m.peer && peer != "" {
		m.replacePeer(peer)
	}
}

// replacePeer marks the current peer as failed and chooses the next one if a request
// needs it. SendDrop makes the former peer discard its copies if it is still alive.
func (m *SourceMachine) replacePeer(peer string) {
	m.failedPeers[peer] = true
	var ids []request.ID
	m.forEachOpen(func(t *trackedRequest) {
		if t.copied || t.inFlight {
			ids = append(ids, t.id)
			m.markPeerMayRun(t)
		}
		t.resetPeer()
	})
	if len(ids) > 0 {
		m.emit(SendDrop{Peer: peer, IDs: ids})
	}
	if m.needsPeer() {
		m.choosePeer()
		return
	}
	// No request needs another peer, so the lost peer stays the announced successor:
	// callers find the requests that it owns there or through its own successor.
	m.lostPeerKept = true
}

// reopenFinished marks the finished requests as not done, so that they are copied to
// the next peer too: callers re-attach only there.
func (m *SourceMachine) reopenFinished() {
	for _, id := range m.order {
		if t := m.requests[id]; t.done && t.finishedHere() {
			t.resetPeer()
			t.done = false
		}
	}
}

// needsPeer reports whether a request must be copied to the next peer.
func (m *SourceMachine) needsPeer() bool {
	for _, t := range m.requests {
		if !t.done || t.finishedHere() {
			return true
		}
	}
	return false
}

// markPeerMayRun records that the lost peer may take the request over and run it.
// It does so only for a repeatable request that has not moved: the copy of a call
// that must not be repeated says that the call was sent, so that no peer sends it.
func (m *SourceMachine) markPeerMayRun(t *trackedRequest) {
	if t.repeatable && !t.moved {
		m.emit(MarkPeerMayRun{ID: t.id})
	}
}

// hasOpen reports whether any request is not done.
func (m *SourceMachine) hasOpen() bool {
	for _, t := range m.requests {
		if !t.done {
			return true
		}
	}
	return false
}
