package handover

import (
	"errors"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/engine"
	"knapweedhoist/invariant"
	"knapweedhoist/request"
	"knapweedhoist/wire"
)

// Times of the departure, relative to its start.
const (
	releaseAfter = 30 * time.Second
	endAfter     = 60 * time.Second
)

var errNoAnswer = errors.New("no answer")

// targetNode is a peer that can take requests over.
type targetNode struct {
	name      string
	registry  *request.Registry
	target    *Target
	dead      bool
	takenOver []*request.Entry
}

// queuedCall is a call that has not reached its peer yet.
type queuedCall struct {
	to     string
	call   *wire.Call
	report func(*wire.Answer, error)
}

// simulation is a leaving instance, two peers, and the network between them.
type simulation struct {
	now        time.Time
	checks     *invariant.Reporter
	registry   *request.Registry
	source     *Source
	sourceDead bool
	nodes      []*targetNode
	queue      []queuedCall
	entries    []*request.Entry
	// seenEvents is the position that the callers of each request have read.
	seenEvents map[request.ID]uint64
	// sends counts how often each call was sent to an endpoint.
	sends map[request.ID]int
	// deliverBeforeCopy is a fault: events reach the callers before they are copied.
	deliverBeforeCopy bool
	// resendUnrepeatable is a fault: calls that must not be repeated are sent again.
	resendUnrepeatable bool
	// lossUntilEnd allows lost messages until the end of the notice. Otherwise the
	// network works for the last 15 s of it, and every request must have an owner.
	lossUntilEnd bool
	// runningToEnd is set by runToEnd, so that advanceTime no longer stops the clock
	// 15 s before the end of the notice.
	runningToEnd bool
	// detectedErrors are the errors that the simulation itself found.
	detectedErrors []string
}

func newSimulation() *simulation {
	s := &simulation{
		now: start, checks: newReporter(),
		seenEvents: make(map[request.ID]uint64), sends: make(map[request.ID]int),
	}
	s.registry = request.NewRegistry(sourceName, s.checks, request.Config{})
	s.source = NewSource(sourceName, s.registry, s, s.checks)
	for _, name := range []string{peerName, otherName} {
		n := &targetNode{name: name, registry: request.NewRegistry(name, s.checks, request.Config{})}
		n.target = NewTarget(name, TargetConfig{}, n.registry, starter{sim: s, node: n}, s.checks)
		s.nodes = append(s.nodes, n)
	}
	for i := range 3 {
		s.entries = append(s.entries, s.accept(i == 0))
	}
	return s
}

func (s *simulation) accept(plain bool) *request.Entry {
	spec := request.Spec{
		ID: s.registry.NewID(), Team: "a", Service: "s", Kind: catalog.KindModel, Idempotent: true,
		Completion: &engine.Request{Model: "m"}, Received: s.now, Deadline: s.now.Add(time.Hour),
	}
	if plain {
		spec.Kind, spec.Idempotent, spec.Completion = catalog.KindPlain, false, nil
		spec.Call = &request.Call{Method: "POST", Path: "/"}
	}
	entry, err := s.registry.Create(s.now, spec)
	if err != nil {
		panic(err)
	}
	if err := entry.Admit(); err != nil {
		panic(err)
	}
	return entry
}

// starter runs the requests that a peer took over: it sends their calls at once, as
// backend.Runner does.
type starter struct {
	sim  *simulation
	node *targetNode
}

func (s starter) Start(entry *request.Entry) {
	s.node.takenOver = append(s.node.takenOver, entry)
	events, _ := entry.Position()
	// The copy may lack events in two cases. A call that was sent and must not be
	// repeated can only end with the outcome unknown, here as at the source. Callers of
	// a request that finished at the source have its last event and do not re-attach.
	finishedAtSource := s.sim.entries[entry.Spec().ID.Sequence-1].State() == request.StateFinished
	if entry.MaySend() && !finishedAtSource && events < s.sim.seenEvents[entry.Spec().ID] {
		s.sim.detectedErrors = append(s.sim.detectedErrors, "a copy that was taken over lacks events that the callers have read")
	}
	s.sim.advanceEntry(entry)
}

// Send implements Transport.
func (s *simulation) Send(peer string, call *wire.Call, report func(*wire.Answer, error)) {
	s.queue = append(s.queue, queuedCall{to: peer, call: call, report: report})
}

// Announce implements Transport. An announcement reaches all live peers at once.
func (s *simulation) Announce(successor string) {
	for _, n := range s.nodes {
		if !n.dead {
			n.target.SuccessorAnnounced(s.now, sourceName, successor)
		}
	}
}

// advanceEntry takes one step of an entry: it sends an attempt or adds a token.
func (s *simulation) advanceEntry(entry *request.Entry) {
	id := entry.Spec().ID
	number := entry.LastAttempt()
	if !entry.Live(number) {
		if !entry.MaySend() && !s.resendUnrepeatable {
			return
		}
		next, _, err := entry.BeginAttempt()
		if err == nil && entry.MarkSent(next) == nil {
			s.sends[id]++
		}
		return
	}
	if entry.Spec().Kind == catalog.KindModel {
		_, tokens := entry.Position()
		_ = entry.AppendToken(number, tokens, "x")
	}
}

// readAsCallers reads the visible events of the source as its callers.
func (s *simulation) readAsCallers() {
	if s.sourceDead {
		return
	}
	for _, entry := range s.entries {
		if s.deliverBeforeCopy {
			events, _ := entry.Position()
			entry.Deliver(events)
		}
		id := entry.Spec().ID
		s.seenEvents[id] = max(s.seenEvents[id], entry.Visible())
	}
}

// deliverCall delivers the call at index i of the queue. If lost is set, the call does
// not reach the peer; if replyLost is set, the peer handles it but its answer is lost.
func (s *simulation) deliverCall(i int, lost, replyLost bool) {
	m := s.queue[i]
	s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
	n := s.node(m.to)
	answer, err := (*wire.Answer)(nil), errNoAnswer
	if !lost && !n.dead {
		if a := n.target.Handle(s.now, sourceName, m.call); !replyLost {
			answer, err = a, nil
		}
	}
	if m.report != nil && !s.sourceDead {
		m.report(answer, err)
	}
}

func (s *simulation) node(name string) *targetNode {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	panic(name)
}

func (s *simulation) livePeers() []Peer {
	var peers []Peer
	for i, n := range s.nodes {
		if !n.dead {
			peers = append(peers, Peer{Incarnation: n.name, Distance: i})
		}
	}
	return peers
}

func (s *simulation) killSource() {
	s.sourceDead = true
	s.queue = nil
	for _, n := range s.nodes {
		if !n.dead {
			n.target.SourceDead(s.now, sourceName)
		}
	}
}

func (s *simulation) killPeer(n *targetNode) {
	n.dead = true
	if !s.sourceDead {
		s.source.SetPeers(s.now, s.livePeers())
		s.source.PeerLost(s.now, n.name)
	}
}

// runToEnd delivers all calls and passes the end of the drain and of the notice.
func (s *simulation) runToEnd() {
	s.runningToEnd = true
	for range 200 {
		for len(s.queue) > 0 {
			s.deliverCall(0, false, false)
		}
		s.advanceTime(time.Second)
	}
}

// advanceTime advances the clock and calls the source. Unless messages may be lost
// until the end, the clock stops 15 s before the end of the notice until runToEnd runs.
func (s *simulation) advanceTime(d time.Duration) {
	s.now = s.now.Add(d)
	if latest := start.Add(endAfter - 15*time.Second); !s.lossUntilEnd && !s.runningToEnd && s.now.After(latest) {
		s.now = latest
	}
	if !s.sourceDead {
		s.source.Poll(s.now)
		s.source.Tick(s.now)
	}
	s.readAsCallers()
}
