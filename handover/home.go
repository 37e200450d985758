package handover

import (
	"slices"
	"sync"
	"time"

	"knapweedhoist/invariant"
	"knapweedhoist/request"
)

// Home carries out the decisions of a Leaver for the requests of a registry.
// It has no goroutine and no clock of its own: the instance calls Tick about
// every 100 ms, and Poll after each value from Wake. It is safe for concurrent use.
type Home struct {
	registry  *request.Registry
	transport Transport
	wake      chan struct{}

	// mu guards the fields below. An entry's lock is never held when it is taken.
	mu      sync.Mutex
	leaver  *Leaver
	started bool
	entries map[request.ID]*request.Entry

	// dirtyMu guards dirty. It is taken with an entry's lock held, and no other
	// lock is taken under it.
	dirtyMu sync.Mutex
	dirty   map[request.ID]struct{}
}

// NewHome returns the leaving side of the instance with this incarnation.
func NewHome(self string, registry *request.Registry, transport Transport, check invariant.Checker) *Home {
	return &Home{
		registry: registry, transport: transport, wake: make(chan struct{}, 1),
		leaver: NewLeaver(self, check), entries: make(map[request.ID]*request.Entry),
		dirty: make(map[request.ID]struct{}),
	}
}

// Depart starts the handover of all requests in progress and finished ones. The gateway must
// have been told to drain before. A second call can only shorten the times.
func (h *Home) Depart(now time.Time, departure Departure) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.started = true
	h.handle(now, departure)
	h.scan(now)
}

// Peers gives the live peers that are not leaving.
func (h *Home) Peers(now time.Time, peers []Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handle(now, PeersChanged{Peers: peers})
}

// PeerLost tells that a peer died, is leaving, or that its session broke.
func (h *Home) PeerLost(now time.Time, peer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handle(now, PeerLost{Peer: peer})
}

// SecondSignal ends the drain at once.
func (h *Home) SecondSignal(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handle(now, SecondSignal{})
}

// Tick lets time pass. It also finds requests that were accepted while the
// departure began.
func (h *Home) Tick(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.started {
		return
	}
	h.scan(now)
	h.handle(now, Tick{})
}

// Wake receives when Poll has something to do.
func (h *Home) Wake() <-chan struct{} {
	return h.wake
}

// Poll passes new events of the requests on.
func (h *Home) Poll(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range h.takeDirty() {
		h.progress(now, h.entries[id])
	}
}

// Done reports whether nothing is left to hand over.
func (h *Home) Done() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaver.Done()
}

// Successor returns the peer that has the copies, "" without one.
func (h *Home) Successor() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaver.Successor()
}

// scan tracks requests that are not tracked yet: those in progress, and the
// finished ones, whose callers may be on the way to re-attach. The caller holds mu.
func (h *Home) scan(now time.Time) {
	for _, entry := range h.registry.Readable(now) {
		id := entry.Spec().ID
		if h.entries[id] != nil {
			continue
		}
		h.entries[id] = entry
		h.hold(entry)
		events, _ := entry.Position()
		h.handle(now, Track{ID: id, Repeatable: entry.Spec().Repeatable(), Events: events})
		h.progress(now, entry)
	}
}

func (h *Home) hold(entry *request.Entry) {
	id := entry.Spec().ID
	entry.Hold(func() { h.mark(id) })
}

// mark notes that a request has new events. It is called with the entry locked.
func (h *Home) mark(id request.ID) {
	h.dirtyMu.Lock()
	h.dirty[id] = struct{}{}
	h.dirtyMu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// takeDirty returns the requests with changes in the order of their ids, so
// that the messages to the peer do not depend on the map's order.
func (h *Home) takeDirty() []request.ID {
	h.dirtyMu.Lock()
	defer h.dirtyMu.Unlock()
	ids := make([]request.ID, 0, len(h.dirty))
	for id := range h.dirty {
		ids = append(ids, id)
	}
	clear(h.dirty)
	slices.SortFunc(ids, request.ID.Compare)
	return ids
}

func (h *Home) progress(now time.Time, entry *request.Entry) {
	events, _ := entry.Position()
	h.handle(now, Progress{
		ID: entry.Spec().ID, Events: events, Finished: entry.State() == request.StateFinished,
	})
}
