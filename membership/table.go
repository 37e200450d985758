package membership

import (
	"time"

	"knapweedhoist/invariant"
	"knapweedhoist/timeline"
)

// Table holds the members and endpoints that this instance knows. It is not safe
// for concurrent use: the control goroutine owns it.
type Table struct {
	cfg      Config
	checker  invariant.Checker
	recorder timeline.Recorder

	// members is keyed by incarnation and excludes this instance; endpoints is keyed
	// by id. Values are replaced and never modified, since views share them.
	members   map[string]*Member
	endpoints map[string]*Endpoint
	// deadSince is when each dead member became dead, by incarnation.
	deadSince    map[string]time.Time
	left         *leftSet
	successors   *successors
	queuedLeaves leaveQueue

	self    Member
	started time.Time
	// round counts the calls of Tick.
	round uint64
	view  *View
	// viewStale is set when the table has changed since view was built.
	viewStale bool
}

// NewTable returns a table that knows only this instance.
func NewTable(cfg Config, checker invariant.Checker, recorder timeline.Recorder, now time.Time) *Table {
	cfg = cfg.withDefaults()
	return &Table{
		cfg: cfg, checker: checker, recorder: recorder,
		members: make(map[string]*Member), endpoints: make(map[string]*Endpoint),
		deadSince: make(map[string]time.Time),
		left:      newLeftSet(cfg.MaxLeftIncarnations), successors: newSuccessors(cfg.MaxLeftIncarnations),
		self: Member{
			ID: cfg.ID, Incarnation: cfg.Incarnation, Datacentre: cfg.Datacentre, State: Live, LastHeard: now,
			PeerAddress: cfg.PeerAddress, DatagramAddress: cfg.DatagramAddress, OperatorAddress: cfg.OperatorAddress,
		},
		started: now, viewStale: true,
	}
}

// Interval returns the time between two heartbeats of this instance.
func (t *Table) Interval() time.Duration {
	n := 1
	for _, m := range t.members {
		if m.Datacentre == t.cfg.Datacentre && m.State != Leaving && m.State != Dead {
			n++
		}
	}
	return max(MinInterval, time.Duration(n)*time.Second/MaxLocalDatagramsPerSecond)
}

// storeMember stores a member and checks the invariant that leaving is final. A new
// member is dropped when the table is full.
func (t *Table) storeMember(m Member) {
	if m.State != Leaving && t.left.has(m.Incarnation) {
		t.checker.Violated(invariant.Violation{
			Name: "membership/left_is_live", Step: "membership/put", Peer: m.ID,
			Detail: "incarnation " + m.Incarnation + " left and became " + m.State.String(),
		})
		m.State = Leaving
	}
	old, ok := t.members[m.Incarnation]
	if !ok && len(t.members) >= t.cfg.MaxMembers {
		return
	}
	if !ok || old.State != m.State {
		t.recordMember(m)
	}
	t.members[m.Incarnation] = &m
	t.viewStale = true
}

func (t *Table) recordMember(m Member) {
	t.recorder.Record(timeline.Event{
		Kind: timeline.KindMember, Peer: m.ID, Step: "membership/" + m.State.String(),
		Detail: m.Incarnation + " in " + m.Datacentre,
	})
}

// storeEndpoint stores an endpoint and checks the invariant that leaving is final. A
// new endpoint is dropped when the table is full.
func (t *Table) storeEndpoint(e Endpoint) {
	if !e.Leaving && t.left.has(e.Incarnation) {
		t.checker.Violated(invariant.Violation{
			Name: "membership/left_is_live", Step: "membership/put_endpoint", Peer: e.ID,
			Detail: "incarnation " + e.Incarnation + " left and became live",
		})
		e.Leaving = true
	}
	old, ok := t.endpoints[e.ID]
	if !ok && len(t.endpoints) >= t.cfg.MaxMembers {
		return
	}
	if !ok || old.Leaving != e.Leaving || old.Incarnation != e.Incarnation {
		t.recordEndpoint(e)
	}
	t.endpoints[e.ID] = &e
	t.viewStale = true
}

func (t *Table) recordEndpoint(e Endpoint) {
	step := "membership/live"
	if e.Leaving {
		step = "membership/leaving"
	}
	t.recorder.Record(timeline.Event{Kind: timeline.KindEndpoint, Endpoint: e.ID, Step: step, Detail: e.Incarnation})
}
