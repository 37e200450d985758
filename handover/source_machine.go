// Package handover moves the requests of a leaving instance, the source, to another
// entry instance, the target. The source copies its requests and their events to
// one peer at a time and, while it has one, shows an event to the callers only once the
// peer has acknowledged it, so that callers who re-attach at the peer miss nothing. At the
// end of the drain the source stops the requests and releases them to the peer,
// which becomes their owner. If the source dies before, the peer takes the copied
// requests over.
//
// SourceMachine and TargetMachine are the state machines of the two sides, without
// locks, goroutines or I/O. Source and Target run them under a mutex of their own;
// the instance calls both.
//
// Two invariants hold. The peer's copy is never behind the events that the callers
// have read. A request has at most one owner that may send its call; a call that
// must not be repeated moves only while it is unsent.
package handover

import (
	"time"

	"knapweedhoist/invariant"
	"knapweedhoist/request"
)

// peerRetryDelay is the delay before failed peers are tried again.
const peerRetryDelay = 500 * time.Millisecond

// Names of the invariants that this package asserts.
const (
	// InvariantCopyBehindCaller is violated when callers can read events that the
	// peer's copy lacks.
	InvariantCopyBehindCaller = "handover/copy_behind_caller"
	// InvariantTwoOwners is violated when a request has more than one owner that may
	// send its call.
	InvariantTwoOwners = "handover/two_owners"
)

// SourceMachine is the state machine of the leaving instance: it turns events into
// actions. It is not safe for concurrent use.
type SourceMachine struct {
	self  string
	check invariant.Checker

	departure Departure
	started   bool
	// drainEnded is set once requests that the peer has acknowledged are released to it.
	drainEnded   bool
	secondSignal bool
	peers        []Peer
	// failedPeers are the incarnations of peers that failed. They are chosen again
	// only if there are no others.
	failedPeers map[string]bool
	// peer is the incarnation of the current peer, "" if there is none.
	peer string
	// lostPeerKept is set while peer is a lost peer that was not replaced, because no
	// request needed another one.
	lostPeerKept bool
	// epoch counts the selections of a peer, so that late answers of a former peer
	// are ignored.
	epoch              uint64
	announcedSuccessor string
	// retryPeersAt is when failed peers are tried again because there are no others.
	retryPeersAt time.Time
	// now is the time of the current event.
	now      time.Time
	requests map[request.ID]*trackedRequest
	// order contains the ids of requests in the order of Track, so that decisions do
	// not depend on the map's order.
	order []request.ID
	// actions collects the actions of the current event.
	actions []Action
}

// NewSourceMachine returns the state machine of the instance with incarnation self.
func NewSourceMachine(self string, check invariant.Checker) *SourceMachine {
	return &SourceMachine{self: self, check: check, failedPeers: make(map[string]bool), requests: make(map[request.ID]*trackedRequest)}
}

// Handle processes an event and returns the resulting actions in order.
func (m *SourceMachine) Handle(now time.Time, event SourceEvent) []Action {
	m.actions = nil
	m.now = now
	switch e := event.(type) {
	case Departure:
		m.onDeparture(e)
	case Track:
		m.onTrack(e)
	case Progress:
		m.onProgress(e)
	case Copied:
		m.onCopied(e)
	case Moved:
		m.onMoved(e)
	case Released:
		m.onReleased(e)
	case PeersChanged:
		m.onPeersChanged(e.Peers)
	case PeerLost:
		m.onPeerLost(e.Peer)
	case Delivered:
		m.onDelivered(e)
	case SecondSignal:
		m.onSecondSignal()
	case Tick:
		m.onTick(now)
	}
	m.runTimers(now)
	return m.actions
}

// Done reports whether the handover has started and nothing is left to hand over.
func (m *SourceMachine) Done() bool {
	return m.started && !m.hasOpen()
}

// Successor returns the incarnation of the peer to which requests are copied, or ""
// if there is none. A lost peer is returned until a request needs another one.
func (m *SourceMachine) Successor() string {
	return m.peer
}

func (m *SourceMachine) onTick(now time.Time) {
	m.drainEnded = m.drainEnded || !now.Before(m.departure.ReleaseAt)
	if m.started && m.drainEnded {
		m.forEachOpen(m.advance)
	}
}

func (m *SourceMachine) emit(action Action) {
	m.actions = append(m.actions, action)
}

func (m *SourceMachine) onDeparture(e Departure) {
	if m.started {
		// A reclaim notice during a planned stop can only shorten the time that is left.
		m.departure.ReleaseAt = earlier(m.departure.ReleaseAt, e.ReleaseAt)
		m.departure.EndAt = earlier(m.departure.EndAt, e.EndAt)
		return
	}
	m.started = true
	m.departure = e
	m.peers = e.Peers
	m.emit(Announce{})
	m.choosePeer()
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (m *SourceMachine) onTrack(e Track) {
	if m.requests[e.ID] != nil {
		return
	}
	t := &trackedRequest{id: e.ID, repeatable: e.Repeatable, events: e.Events}
	m.requests[e.ID] = t
	m.order = append(m.order, e.ID)
	if m.lostPeerKept {
		m.choosePeer()
		return
	}
	m.sendCopy(t)
}

func (m *SourceMachine) onProgress(e Progress) {
	t := m.requests[e.ID]
	if t == nil || t.done || t.moved {
		return
	}
	t.events = max(t.events, e.Events)
	t.finished = t.finished || e.Finished
	m.advance(t)
}

// forEachOpen calls f for each request that is not done, in the order of Track.
func (m *SourceMachine) forEachOpen(f func(t *trackedRequest)) {
	for _, id := range m.order {
		if t := m.requests[id]; !t.done {
			f(t)
		}
	}
}
