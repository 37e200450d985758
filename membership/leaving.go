package membership

import (
	"time"

	"knapweedhoist/wire"
)

// ApplyNotice applies a leave that this instance learned from a Notice, including
// its own. It queues the leave for repetition and returns a heartbeat that announces
// it immediately to all members that are not dead, or nil if the leave was known and the
// notice has no new successor.
func (t *Table) ApplyNotice(now time.Time, notice Notice) []Outgoing {
	successorIsNew := t.successors.set(notice.Incarnation, notice.Successor)
	if t.left.has(notice.Incarnation) && !successorIsNew {
		return nil
	}
	endsAt := endTime(now, notice.Remaining)
	t.markLeft(notice.Incarnation, notice.Successor, endsAt)
	leave := queuedLeave{
		id: notice.ID, incarnation: notice.Incarnation, successor: notice.Successor,
		endsAt: endsAt, repeats: LeaveRepeats,
	}
	t.queuedLeaves = append(t.queuedLeaves, leave)
	heartbeat := t.newHeartbeat(now, LocalState{Revision: t.self.Revision, RevisionAge: now.Sub(t.self.RevisionSince)})
	heartbeat.Leaves = []*wire.Leave{leave.message(now)}
	return []Outgoing{{To: t.peerAddresses(), Heartbeat: heartbeat}}
}

// ApplyLeaves applies leaves that a peer announced over a session, outside its heartbeats, and queues the new ones for
// repetition.
func (t *Table) ApplyLeaves(now time.Time, leaves []*wire.Leave) {
	for _, leave := range leaves {
		t.applyRelayedLeave(now, leave)
	}
}

// applyRelayedLeave applies a leave received from a peer and queues it for relayedLeaveRepeats repetitions. Of a leave
// that is already known, it takes only the successor, if none is known yet.
func (t *Table) applyRelayedLeave(now time.Time, leave *wire.Leave) {
	if leave.GetIncarnation() == "" {
		return
	}
	t.successors.setIfUnknown(leave.GetIncarnation(), leave.GetSuccessor())
	if t.left.has(leave.GetIncarnation()) {
		return
	}
	endsAt := endTime(now, milliseconds(leave.GetNoticeMs()))
	t.markLeft(leave.GetIncarnation(), leave.GetSuccessor(), endsAt)
	t.queuedLeaves = append(t.queuedLeaves, queuedLeave{
		id: leave.GetId(), incarnation: leave.GetIncarnation(), successor: leave.GetSuccessor(),
		endsAt: endsAt, repeats: relayedLeaveRepeats,
	})
}

// markLeft is the only function that adds to t.left. It sets the state of this
// instance, or of the member and the endpoints with the incarnation, to leaving. It
// records the incarnation even if the table has no such member.
func (t *Table) markLeft(incarnation, successor string, endsAt time.Time) {
	t.viewStale = true
	t.left.add(incarnation)
	if incarnation == t.cfg.Incarnation {
		t.self.State, t.self.Successor, t.self.EndsAt = Leaving, successor, endsAt
		return
	}
	if m, ok := t.members[incarnation]; ok {
		leaving := *m
		leaving.State, leaving.EndsAt = Leaving, endsAt
		if successor != "" {
			leaving.Successor = successor
		}
		t.storeMember(leaving)
	}
	for _, e := range t.endpoints {
		if e.Incarnation == incarnation {
			leaving := *e
			leaving.Leaving, leaving.EndsAt = true, endsAt
			t.storeEndpoint(leaving)
		}
	}
}

// endTime returns the time at which an instance ends, or the zero time if remaining is 0 (unknown).
func endTime(now time.Time, remaining time.Duration) time.Time {
	if remaining <= 0 {
		return time.Time{}
	}
	return now.Add(remaining)
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
