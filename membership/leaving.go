package membership

import (
	"time"

	"knapweedhoist/wire"
)

// Notice takes a leave in that this instance learnt first hand, or its own. It
// returns the datagrams that tell all peers at once; nil when it was known.
func (t *Table) Notice(now time.Time, notice Notice) []Outgoing {
	successorIsNew := t.successors.set(notice.Incarnation, notice.Successor)
	if t.left.has(notice.Incarnation) && !successorIsNew {
		return nil
	}
	ends := endOf(now, notice.Left)
	t.depart(notice.Incarnation, notice.Successor, ends)
	leave := queuedLeave{
		id: notice.ID, incarnation: notice.Incarnation, successor: notice.Successor,
		endsAt: ends, repeats: LeaveRepeats,
	}
	t.leaves = append(t.leaves, leave)
	beat := t.beat(now, Local{Revision: t.self.Revision, RevisionAge: now.Sub(t.self.RevisionSince)})
	beat.Leaves = []*wire.Leave{leave.message(now)}
	return []Outgoing{{To: t.everyone(), Beat: beat}}
}

// Leaves takes the leaves in that a peer announced.
func (t *Table) Leaves(now time.Time, leaves []*wire.Leave) {
	for _, leave := range leaves {
		t.learn(now, leave)
	}
}

// learn takes a second-hand leave in and queues it for a few repetitions.
func (t *Table) learn(now time.Time, leave *wire.Leave) {
	if leave.GetIncarnation() == "" {
		return
	}
	t.successors.setFirst(leave.GetIncarnation(), leave.GetSuccessor())
	if t.left.has(leave.GetIncarnation()) {
		return
	}
	ends := endOf(now, milliseconds(leave.GetNoticeMs()))
	t.depart(leave.GetIncarnation(), leave.GetSuccessor(), ends)
	t.leaves = append(t.leaves, queuedLeave{
		id: leave.GetId(), incarnation: leave.GetIncarnation(), successor: leave.GetSuccessor(),
		endsAt: ends, repeats: relayRepeats,
	})
}

// depart is the only way for an incarnation to leave: it remembers the
// incarnation, known or not, and updates whatever has it.
func (t *Table) depart(incarnation, successor string, ends time.Time) {
	t.changed = true
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
		t.put(leaving)
	}
	for _, e := range t.endpoints {
		if e.Incarnation == incarnation {
			leaving := *e
			leaving.Leaving, leaving.EndsAt = true, ends
			t.putEndpoint(leaving)
		}
	}
}

func endOf(now time.Time, left time.Duration) time.Time {
	if left <= 0 {
		return time.Time{}
	}
	return now.Add(left)
}

// everyone returns the datagram addresses of all other members that may still run.
func (t *Table) everyone() []string {
	var to []string
	for _, m := range t.sorted() {
		if m.State != Dead && m.DatagramAddress != "" {
			to = append(to, m.DatagramAddress)
		}
	}
	return to
}
