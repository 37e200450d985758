package membership

import (
	"time"

	"knapweedhoist/wire"
)

// queuedLeave is a leave that is still to be repeated.
type queuedLeave struct {
	id, incarnation, successor string
	// endsAt is zero when not known.
	endsAt  time.Time
	repeats int
}

// leaveQueue holds the leaves that the next datagrams repeat, oldest first.
type leaveQueue []queuedLeave

// take returns the leaves of the next datagram and counts the repetition.
func (q *leaveQueue) take(now time.Time) []*wire.Leave {
	n := min(len(*q), maxLeavesPerBeat)
	var leaves []*wire.Leave
	var again leaveQueue
	for _, l := range (*q)[:n] {
		leaves = append(leaves, l.message(now))
		l.repeats--
		if l.repeats > 0 {
			again = append(again, l)
		}
	}
	*q = append((*q)[n:len(*q):len(*q)], again...)
	return leaves
}

func (l queuedLeave) message(now time.Time) *wire.Leave {
	message := &wire.Leave{Id: l.id, Incarnation: l.incarnation, Successor: l.successor}
	if !l.endsAt.IsZero() {
		message.NoticeMs = max(1, l.endsAt.Sub(now).Milliseconds())
	}
	return message
}
