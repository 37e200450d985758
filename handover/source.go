package handover

import (
	"slices"
	"sync"
	"time"

	"knapweedhoist/invariant"
	"knapweedhoist/request"
)

// Source hands the requests of a leaving instance over to a peer: it passes events
// to a SourceMachine and executes its actions on the entries of a registry. It
// starts no goroutine and reads no clock: the instance calls Tick about every
// 100 ms, and Poll after each value from Wake. It is safe for concurrent use.
type Source struct {
	registry  *request.Registry
	transport Transport
	wake      chan struct{}

	// mu guards the fields below up to dirtyMu. It must not be locked while an
	// entry's lock is held.
	mu      sync.Mutex
	machine *SourceMachine
	started bool
	entries map[request.ID]*request.Entry

	// dirtyMu guards dirty. It is locked while an entry's lock is held; no other
	// lock is taken while it is held.
	dirtyMu sync.Mutex
	// dirty contains the requests with new events or sends since the last Poll.
	dirty map[request.ID]struct{}
}

// NewSource returns the Source of the instance with incarnation self.
func NewSource(self string, registry *request.Registry, transport Transport, check invariant.Checker) *Source {
	return &Source{
		registry: registry, transport: transport, wake: make(chan struct{}, 1),
		machine: NewSourceMachine(self, check), entries: make(map[request.ID]*request.Entry),
		dirty: make(map[request.ID]struct{}),
	}
}

// Depart starts the handover of all admitted requests and of the finished ones
// that callers can still read. The gateway must be draining already. Further calls
// can only move ReleaseAt and EndAt to earlier times.
func (s *Source) Depart(now time.Time, departure Departure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = true
	s.handle(now, departure)
	s.trackNewRequests(now)
}

// SetPeers sets the live peers that are not leaving.
func (s *Source) SetPeers(now time.Time, peers []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handle(now, PeersChanged{Peers: peers})
}

// PeerLost reports that a peer died or is leaving, or that the session with it broke.
func (s *Source) PeerLost(now time.Time, peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handle(now, PeerLost{Peer: peer})
}

// SecondSignal reports a second SIGTERM, which ends the drain at once.
func (s *Source) SecondSignal(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handle(now, SecondSignal{})
}

// Tick runs the timers of the handover. It also adds requests that were admitted
// since Depart. It does nothing before Depart.
func (s *Source) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started {
		return
	}
	s.trackNewRequests(now)
	s.handle(now, Tick{})
}

// Wake returns a channel that receives a value when requests have new events or sends, so
// that Poll must be called.
func (s *Source) Wake() <-chan struct{} {
	return s.wake
}

// Poll reports the new events of requests, so that they are copied to the peer.
func (s *Source) Poll(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.takeDirty() {
		s.reportProgress(now, s.entries[id])
	}
}

// Done reports whether the handover has started and nothing is left to hand over.
func (s *Source) Done() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Done()
}

// Successor returns the incarnation of the peer to which requests are copied, or ""
// if there is none. A lost peer is returned until a request needs another one.
func (s *Source) Successor() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Successor()
}

// trackNewRequests adds the requests that are not tracked yet: the admitted
// ones, and the finished ones to which callers may still re-attach. The caller holds mu.
func (s *Source) trackNewRequests(now time.Time) {
	for _, entry := range s.registry.Readable(now) {
		id := entry.Spec().ID
		if s.entries[id] != nil {
			continue
		}
		s.entries[id] = entry
		s.hold(entry)
		events, _ := entry.Position()
		s.handle(now, Track{ID: id, Repeatable: entry.Spec().Repeatable(), Events: events})
		s.reportProgress(now, entry)
	}
}

// hold withholds new events of the entry from its callers until Entry.Deliver, and
// marks the request as dirty on each change.
func (s *Source) hold(entry *request.Entry) {
	id := entry.Spec().ID
	entry.Hold(func() { s.markDirty(id) })
}

// markDirty records that a request has new events or was sent, and signals Wake. The caller holds
// the entry's lock.
func (s *Source) markDirty(id request.ID) {
	s.dirtyMu.Lock()
	s.dirty[id] = struct{}{}
	s.dirtyMu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// takeDirty returns and clears the dirty requests. They are in the order of their
// ids, so that the messages to the peer do not depend on the map's order.
func (s *Source) takeDirty() []request.ID {
	s.dirtyMu.Lock()
	defer s.dirtyMu.Unlock()
	ids := make([]request.ID, 0, len(s.dirty))
	for id := range s.dirty {
		ids = append(ids, id)
	}
	clear(s.dirty)
	slices.SortFunc(ids, request.ID.Compare)
	return ids
}

// reportProgress passes the position of an entry to the machine. The caller holds mu.
func (s *Source) reportProgress(now time.Time, entry *request.Entry) {
	events, _ := entry.Position()
	s.handle(now, Progress{
		ID: entry.Spec().ID, Events: events, Finished: entry.State() == request.StateFinished,
	})
}
