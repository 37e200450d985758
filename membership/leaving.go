package membership

import (
	"time"

	"knapweedhoist/wire"
)

// ApplyNotice applies a leave notice that this instance received directly, or its own
// leave. It returns the datagrams that announce the leave to all peers at once, or
// nil when the leave was known already and the notice has no new successor.
func (t *Table) ApplyNotice(now time.Time, notice Notice) []Outgoing {
	successorIsNew := t.successors.set(notice.Incarnation, notice.Successor)
	if t.left.has(notice.Incarnation) && !successorIsNew {
		return nil
	}
	ends := endTime(now, notice.Remaining)
	t.markLeft(notice.Incarnation, notice.Successor, ends)
	leave := queuedLeave{
		id: notice.ID, incarnation: notice.Incarnation, successor: notice.Successor,
		endsAt: ends, repeats: LeaveRepeats,
	}
	t.leaves = append(t.leaves, leave)
	beat := t.newHeartbeat(now, LocalState{Revision: t.self.Revision, RevisionAge: now.Sub(t.self.RevisionSince)})
	beat.Leaves = []*wire.Leave{leave.message(now)}
	return []Outgoing{{To: t.peerAddresses(), Beat: beat}}
}

// ApplyLeaves applies the leaves that a peer announced.
func (t *Table) ApplyLeaves(now time.Time, leaves []*wire.Leave) {
	for _, leave := range leaves {
		t.applyRelayedLeave(now, leave)
	}
}

// applyRelayedLeave applies a leave received from a peer and queues it for relayedLeaveRepeats repetitions.
func (t *Table) applyRelayedLeave(now time.Time, leave *wire.Leave) {
	if leave.GetIncarnation() == "" {
		return
	}
	t.successors.setFirst(leave.GetIncarnation(), leave.GetSuccessor())
	if t.left.has(leave.GetIncarnation()) {
		return
	}
	ends := endTime(now, milliseconds(leave.GetNoticeMs()))
	t.markLeft(leave.GetIncarnation(), leave.GetSuccessor(), ends)
	t.leaves = append(t.leaves, queuedLeave{
		id: leave.GetId(), incarnation: leave.GetIncarnation(), successor: leave.GetSuccessor(),
		endsAt: ends, repeats: relayedLeaveRepeats,
	})
}

// markLeft marks an incarnation as left; no other function does. It records the
// incarnation, known or not, and updates the member and the endpoints that have it.
func (t *Table) markLeft(incarnation, successor string, ends time.Time) {
	t.viewStale = true
	t.left.add(incarnation)
	if incarnation == t.cfg.Incarnation {
		t.self.State, t.self.Successor, t.self.EndsAt = Leaving, successor, ends
		return
	}
	if m, ok := t.members[incarnation]; ok {
		leaving := *m
		leaving.State, leaving.EndsAt = Leaving, ends
		if successor != "" {
			leaving.Successor = successor
		}
		t.storeMember(leaving)
	}
	for _, e := range t.endpoints {
		if e.Incarnation == incarnation {
			leaving := *e
			leaving.Leaving, leaving.EndsAt = true, ends
			t.storeEndpoint(leaving)
		}
	}
}

func endTime(now time.Time, left time.Duration) time.Time {
	if left <= 0 {
		return time.Time{}
	}
	return now.Add(left)
}

// peerAddresses returns the datagram addresses of all other members that are not dead.
func (t *Table) peerAddresses() []string {
	var to []string
	for _, m := range t.sortedMembers() {
		if m.State != Dead && m.DatagramAddress != "" {
			to = append(to, m.DatagramAddress)
		}
	}
	return to
}
