package handover

import (
	"fmt"

	"knapweedhoist/invariant"
)

// sendCopy sends a copy of the request to the current peer. Without a peer, the
// callers get all events.
func (m *SourceMachine) sendCopy(t *trackedRequest) {
	if t.done || t.inFlight {
		return
	}
	if m.peer == "" {
		m.unhold(t)
		return
	}
	t.inFlight = true
	sendable := t.moved && !t.repeatable && m.mayGrantSend(t)
	if sendable {
		m.grantSend(t)
	}
	m.emit(SendCopy{ID: t.id, Peer: m.peer, Epoch: m.epoch, Sendable: sendable})
}

// grantSend records that the current peer may receive a sendable copy.
func (m *SourceMachine) grantSend(t *trackedRequest) {
	if t.sendGrantedTo != "" && t.sendGrantedTo != m.peer {
		m.reportViolation(InvariantTwoOwners, t, "right to send given after "+t.sendGrantedTo)
	}
	t.sendGrantedTo = m.peer
}

// mayGrantSend reports whether the current peer may receive a sendable copy. Once
// another peer may have received one, the request can only end with the outcome
// unknown.
func (m *SourceMachine) mayGrantSend(t *trackedRequest) bool {
	return t.sendGrantedTo == "" || t.sendGrantedTo == m.peer
}

// unhold shows all events of the request to the callers because there is no peer.
func (m *SourceMachine) unhold(t *trackedRequest) {
	if t.moved {
		return
	}
	m.emit(Unhold{ID: t.id})
	if t.finished {
		t.done = true
	}
}

// advance takes the next step of a request that has no step pending: it sends the
// copy or the events that the current peer lacks, ends the handover of a finished
// request, or releases the request after the end of the drain.
func (m *SourceMachine) advance(t *trackedRequest) {
	switch {
	case t.done || t.inFlight || t.moving:
	case !t.copied:
		m.sendCopy(t)
	case t.behind():
		t.inFlight = true
		m.emit(SendEvents{ID: t.id, Peer: m.peer, Epoch: m.epoch, After: t.acked})
	case t.finished && !t.moved:
		t.done = true
	case m.drainEnded:
		m.release(t)
	}
}

func (m *SourceMachine) onCopied(e Copied) {
	t := m.requests[e.ID]
	if t == nil || t.done || e.Epoch != m.epoch || !t.inFlight {
		return
	}
	t.inFlight = false
	switch e.Result {
	case CopyAccepted:
		m.onCopyAccepted(t, e.UpTo)
	case CopyGap:
		t.copied = false
		m.advance(t)
	case CopyOwned:
		m.stopOwnedByPeer(t)
	case CopyRefused:
		m.onCopyRefused(t)
	case CopyUnanswered:
		m.replacePeer(m.peer)
	}
}

func (m *SourceMachine) onCopyAccepted(t *trackedRequest, upTo uint64) {
	m.announce(m.peer)
	t.copied = true
	t.acked = max(t.acked, upTo)
	t.events = max(t.events, upTo)
	if !t.moved {
		m.emit(Deliver{ID: t.id, UpTo: t.acked})
	}
	m.advance(t)
}

// onCopyRefused chooses another peer. The refusing peer did not store the copy, so
// that it may not send the call either.
func (m *SourceMachine) onCopyRefused(t *trackedRequest) {
	if t.sendGrantedTo == m.peer {
		t.sendGrantedTo = ""
	}
	m.replacePeer(m.peer)
}

// stopOwnedByPeer stops a request that the peer already owns: the peer took it over
// because it considered this instance dead.
func (m *SourceMachine) stopOwnedByPeer(t *trackedRequest) {
	if !t.moved {
		t.moved = true
		m.emit(Move{ID: t.id})
	}
	t.done = true
}

// onDelivered asserts that callers can read no event that the peer lacks.
func (m *SourceMachine) onDelivered(e Delivered) {
	t := m.requests[e.ID]
	if t == nil || t.done || m.peer == "" || e.UpTo <= t.acked {
		return
	}
	m.reportViolation(InvariantCopyBehindCaller, t, fmt.Sprintf("delivered %d, copied %d", e.UpTo, t.acked))
}

func (m *SourceMachine) reportViolation(name string, t *trackedRequest, detail string) {
	m.check.Violated(invariant.Violation{
		Name: name, Step: "handover", Peer: m.peer, Request: t.id.String(), Detail: detail,
	})
}
